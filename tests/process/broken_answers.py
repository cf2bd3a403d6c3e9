"""One gateway daemon, and engines that answer each kind of request with bytes that are no whole answer.

Guards against a broken answer that a caller takes for a whole one, and against a request that is held until its time
limit though its broken answer has come. After each broken answer an ordinary request has to be answered as in calm.
FORM: status, field-name, coding, early-upload (an answer without a length, cut while the request is still being written).
"""
import asyncio
import os
import random
import socket
import sys
import tempfile

ROOT = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..")
sys.path.insert(0, os.path.join(ROOT, "review", "lib"))
import standins as s

if "BUILD" in os.environ:  # The stand-ins start the program of the deploy file; here the one of this build.
    s.ROOT = tempfile.mkdtemp()
    os.symlink(os.path.abspath(os.path.join(ROOT, "deploy")), os.path.join(s.ROOT, "deploy"))
    os.symlink(os.environ["BUILD"], os.path.join(s.ROOT, "target"))

FORM = os.environ.get("FORM", "status")
SEED = int(os.environ.get("SEED", "1"))
UPLOAD_BYTES = 4 << 20
# So that the daemon can't have written a long request before the engine's end of the connection.
RECEIVE_BUFFER_BYTES = 4096
BODY = b"the engine's whole body"
# Above what the daemon buffers: it has begun to pass this on when the cut comes.
LARGE_PART = b"a part of a large body;" * 20000
EVENTS = b"id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
KINDS = {"read": ("GET", "/cufi504/1"), "debit": ("POST", "/puxa403/1"), "stream": ("POST", "/lohu930/1")}
TIME_LIMIT_S = 1.2  # TimeoutMs of the routes that aren't streams.
# A stream that has begun waits so long for another engine, of which there is none. Longer than each cut takes.
DEADLINE_MS = 1000 if FORM == "early-upload" else 2500


def chunked(body):
    return f"{len(body):x}\r\n".encode() + body + b"\r\n0\r\n\r\n"


class Form:
    """One way of answering: the bytes after the status line, and what happens to the connection."""

    def __init__(self, name, line=b"HTTP/1.1 200 X", fields=b"", framing="length", cut=False, end="keep", pause_s=0.05,
                 upload=False, sound=False, large=False):
        self.name, self.line, self.fields, self.framing, self.cut, self.end = name, line, fields, framing, cut, end
        self.pause_s, self.upload, self.sound, self.large = pause_s, upload, sound, large

    def bytes_for(self, request_id, stream):
        body = EVENTS if stream else BODY
        kind = b"Content-Type: text/event-stream\r\nConfidence: 100\r\n" if stream else b""
        head = (self.line + b"\r\nAttempt-Id: " + request_id + b"\r\nResponse-Signature: sig." + request_id + b"\r\n" +
                kind + self.fields)
        if self.framing == "length":
            head += f"Content-Length: {len(body)}\r\n".encode()
        if self.framing == "chunked":
            head += b"Transfer-Encoding: chunked\r\n"
        if self.cut:  # After a whole event, so that only the framing tells that something is missing.
            body = LARGE_PART if self.large and not stream else body[:len(EVENTS) // 2]
        return head + b"\r\n" + (chunked(body) if self.framing in ("chunked", "hidden-chunked") else body)


def forms():
    if FORM == "status":
        for status in ("000", "001", "099", "600", "999"):
            for framing in ("length", "chunked", "none"):
                yield Form(f"{status} {framing}", line=f"HTTP/1.1 {status} X".encode(), framing=framing,
                           end="close" if framing == "none" else "keep")
    if FORM == "field-name":
        for byte in (b" ", b"\t", b"\x00", b"\x01", b"\x1f", b"\x7f"):
            for name in (b"X-Field", b"Content-Length", b"Transfer-Encoding"):
                value = {b"X-Field": b"x", b"Transfer-Encoding": b"chunked"}.get(name, str(len(BODY)).encode())
                for line in (byte + name, name[:4] + byte + name[4:], name + byte):
                    framing = {b"Transfer-Encoding": "hidden-chunked", b"X-Field": "length"}.get(name, "none")
                    yield Form(f"{line!r}", fields=line + b": " + value + b"\r\n", framing=framing,
                               end="keep" if framing == "length" else "close")
    if FORM == "coding":
        for coding in ("gzip", "identity", "", "chunked, gzip", "gzip, chunked", "chunked, chunked", "chunked;q=1"):
            yield Form(repr(coding), fields=f"Transfer-Encoding: {coding}\r\n".encode(), framing="hidden-chunked",
                       end="close")
    if FORM == "early-upload":
        for end in ("reset", "close", "end-then-reset"):
            for fields in (b"", b"Connection: close\r\n"):
                for pause_s in (0.05, 0.4, random.uniform(0.0, 0.4)):
                    yield Form(f"{end} after {pause_s:.2f} s, {fields!r}", fields=fields, framing="none", cut=True,
                               end=end, pause_s=pause_s, upload=True)
            for status in ("404", "500"):
                yield Form(f"{status}, {end}", line=f"HTTP/1.1 {status} X".encode(), framing="none", cut=True, end=end,
                           upload=True)
            yield Form(f"{end} after a large part", framing="none", cut=True, end=end, upload=True, large=True)
        yield Form("sound, read to the end", framing="none", end="read-on", upload=True, sound=True)


class Engine(s.Engine):
    """Answers what `form` says once it has read a head; without a form, reads the whole request and answers it."""

    form = None

    async def start(self):
        await super().start()
        # Connections take the size of the buffer over from the listening socket.
        for listening in self._server.sockets:
            listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    async def _channel(self, reader, writer):
        try:
            while (head := await s.read_head(reader)) is not None:
                await self._serve_one(head, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            writer.close()

    async def _serve_one(self, head, reader, writer):
        _, fields = head
        request_id = s.field(fields, "Attempt-Id", "").encode()
        form = self.form if request_id.startswith(b"broken") else None
        if form and form.upload:
            reader._transport.pause_reading()  # The rest of the request stays in the system's small buffer.
        else:
            await s.read_body(reader, fields)
        if not request_id:
            writer.write(b"HTTP/1.1 400 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
            return
        form = form or Form("sound")
        writer.write(form.bytes_for(request_id, self.service == "pitch-llm"))
        if form.end == "keep":
            return
        await asyncio.sleep(form.pause_s)
        if form.end == "read-on":
            writer.write_eof()
            reader._transport.resume_reading()
            await s.read_body(reader, fields)
        if form.end == "end-then-reset":
            writer.write_eof()
            await asyncio.sleep(form.pause_s)
        if form.end in ("reset", "end-then-reset"):
            s.reset(writer)
        writer.close()
        raise ConnectionError


def fault(form, kind, status, body, whole, took_s):
    """Returns what is wrong with what a caller got, or nothing."""
    expected = EVENTS if kind == "stream" else BODY
    if form.sound:
        return None if (status, whole, body) == (200, True, expected) else "a sound answer did not arrive"
    if whole and 200 <= status < 300:
        return "a broken answer passes for a whole one"
    if not status or (status != 200 and not 400 <= status <= 599):
        return "the caller got no answer in the protocol"
    if status != 502 and not (status == 200 and not whole):
        return "the broken answer was not told to the caller"
    if kind != "stream" and took_s >= TIME_LIMIT_S:
        return "the request was held until its time limit"
    return None


async def case(world):
    random.seed(SEED)
    engines = []
    for name, service in (("i-llm-0", "pitch-llm"), ("i-till-0", "till")):
        engines.append(Engine(world.store, world.record, name, service, "west-a", None))
        await engines[-1].start()
    config = s.config()
    config["Limits"]["MaxBodyBytes"] = 2 * UPLOAD_BYTES
    await world.store.put("op", "config", config)
    daemon = world.daemon("front-west-a-1")
    daemon.start()
    if not await daemon.wait_ready():
        return 2

    async def heartbeats():
        while True:
            await asyncio.sleep(s.HEARTBEAT_S)
            for engine in engines:
                await engine.register("ready")
    beats = asyncio.ensure_future(heartbeats())

    async def ask(kind, request_id, body):
        method, target = KINDS[kind]
        more = [("Model", "m0"), ("Token-Usage", "1460,80"), ("Prompt-Prefix", "00000001:800,00000002:250")]
        channel = s.Channel(daemon.callers)
        begin = world.record.now()
        answer = await channel.request(
            s.request_bytes("POST" if body else method, target, request_id, body, DEADLINE_MS, more), 5.0)
        channel.close()
        return *answer, world.record.now() - begin

    async def play(form, kind, number):
        """Sends a request that is answered with the form, then an ordinary one; returns what is wrong, or nothing."""
        status, _, body, whole, took_s = await ask(kind, f"broken-{kind}-{number}",
                                                        b"x" * UPLOAD_BYTES if form.upload else b"")
        found = fault(form, kind, status, body, whole, took_s)
        ordinary, _, _, ordinary_whole, _ = await ask(kind, f"ordinary-{kind}-{number}", b"")
        if not found and (ordinary != 200 or not ordinary_whole):
            found = f"the ordinary request after it got {ordinary}"
        world.record.add("answer", form=form.name, kind=kind, status=status, whole=whole, took_s=round(took_s, 3),
                         fault=found)
        if found:
            print(f"{form.name}, {kind}: status {status}, whole {whole}, {len(body)} bytes, {took_s:.2f} s: {found}")
        return found

    results = []
    for number, form in enumerate(forms()):
        for engine in engines:
            engine.form = form
        results += await asyncio.gather(*[play(form, kind, number) for kind in KINDS])
    faults = [found for found in results if found]
    beats.cancel()
    alive = daemon.process.poll() is None
    print(f"{FORM}, seed {SEED}: {len(results)} answers, {len(faults)} faults, daemon alive {alive}")
    return 0 if alive and not faults else 1


s.run_case(tempfile.mkdtemp(), case, 170)
