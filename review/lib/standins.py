"""Stand-ins for the platform of the review's scripts: the metadata store, engines and requesters, on loopback.

They speak what PROTOCOL.md says. The daemons are the project's own program, started with the command of
deploy/system.toml. Only the standard library is used.
"""
import asyncio
import base64
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
HEARTBEAT_S = 1.2


PORTS = iter(random.sample(range(20000, 30000), 10000))  # Below the range from which connections get their ports.


def free_port():
    """Returns a loopback port that is free now, and that no outgoing connection takes meanwhile; none twice."""
    for port in PORTS:
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue
    raise OSError("no free port")


class Record:
    """Writes record.txt: one JSON object a line, with seconds since the start."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w")
        self._start = time.monotonic()

    def now(self):
        return time.monotonic() - self._start

    def add(self, event, **fields):
        line = json.dumps({"t": round(self.now(), 3), "event": event, **fields})
        self._file.write(line + "\n")
        self._file.flush()


async def read_head(reader):
    """Returns the first line and the header fields (a list of pairs); None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, OSError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields.append((name.strip(), value.strip()))
    return lines[0], fields


def field(fields, name, default=None):
    for key, value in fields:
        if key.lower() == name.lower():
            return value
    return default


async def read_chunk(reader):
    """Returns the next chunk; empty at the last one; raises if the channel ends."""
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size) if size else b""
    await reader.readexactly(2)
    return data


async def read_body(reader, fields):
    if field(fields, "Transfer-Encoding", "").lower() == "chunked":
        body = b""
        while True:
            part = await read_chunk(reader)
            if not part:
                return body
            body += part
    return await reader.readexactly(int(field(fields, "Content-Length", "0")))


class Store:
    """The platform's metadata store: rows, conditional transactions and the feed of changes."""

    def __init__(self):
        self.tables, self.log, self.version = {}, [], 100
        self.changed = asyncio.Condition()
        self.port = None
        self.down = False
        self._open = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def put(self, table, key, value):
        """Writes a row as the operator or an engine does; None removes it."""
        async with self.changed:
            self._write([(table, key, None if value is None else json.dumps(value).encode())])
            self.changed.notify_all()

    def set_down(self, down):
        """While it is down, the store answers every call with 503, and open calls are cut."""
        self.down = down
        if down:
            for writer in self._open:
                writer.close()

    def value(self, table, key):
        row = self.tables.get(table, {}).get(key)
        return None if row is None else json.loads(row[0])

    def _write(self, rows):
        self.version += 1
        for table, key, value in rows:
            if value is None:
                self.tables.setdefault(table, {}).pop(key, None)
            else:
                self.tables.setdefault(table, {})[key] = (value, self.version)
            self.log.append((table, key, value, self.version))

    def _row(self, table, key, value, version):
        row = {"Table": table, "part": "", "Key": key, "RowVersion": version}
        if value is None:
            return {**row, "Deleted": True}
        return {**row, "Value": base64.b64encode(value).decode()}

    def _page(self, rows):
        return {"Rows": rows, "HasMore": False, "RowVersion": self.version, "NowMs": int(time.monotonic() * 1000)}

    async def _serve(self, reader, writer):
        self._open.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                if self.down:
                    writer.write(b"HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")
                    continue
                status, value = await self._answer(method, urlsplit(target), body)
                text = json.dumps(value).encode()
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                             f"Content-Length: {len(text)}\r\n\r\n".encode() + text)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _answer(self, method, target, body):
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        await asyncio.sleep(0.004)
        if target.path == "/rows-get":
            table = query["Table"]
            start = query.get("From", "")
            rows = sorted((k, v) for k, v in self.tables.get(table, {}).items() if k >= start)
            return 200, self._page([self._row(table, k, v, n) for k, (v, n) in rows])
        if target.path == "/rows-feed":
            return 200, await self._feed(query["Table"], int(query["AfterRevision"]), int(query["WaitMs"]) / 1000)
        if target.path == "/rows-tx" and method == "POST":
            return await self._transaction(json.loads(body))
        return 404, {}

    async def _feed(self, table, after, wait_s):
        end = time.monotonic() + min(wait_s, 30.0)
        async with self.changed:
            while True:
                rows = [self._row(*entry) for entry in self.log if entry[0] == table and entry[3] > after]
                left = end - time.monotonic()
                if rows or left <= 0:
                    return self._page(rows)
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass

    async def _transaction(self, entries):
        async with self.changed:
            held = []
            met = True
            for row in entries.get("ExpectedRevision", []):
                found = self.tables.get(row["Table"], {}).get(row["Key"])
                met = met and (found[1] if found else 0) == row["RowVersion"]
                if found:
                    held.append(self._row(row["Table"], row["Key"], *found))
            if not met:
                return 412, {"Rows": held, "RowVersion": self.version, "NowMs": int(time.monotonic() * 1000)}
            rows = [(r["Table"], r["Key"], base64.b64decode(r["Value"])) for r in entries.get("Put", [])]
            rows += [(r["Table"], r["Key"], None) for r in entries.get("Remove", [])]
            self._write(rows)
            self.changed.notify_all()
            return 200, {"RowVersion": self.version, "NowMs": int(time.monotonic() * 1000)}


class Engine:
    """One engine. `serve` gets (engine, request, writer) for each request that it runs and writes the answer."""

    def __init__(self, store, record, name, service, zone, serve, version="v1", slots=64):
        self.store, self.record, self.name, self.service, self.zone = store, record, name, service, zone
        self.serve, self.version, self.slots = serve, version, slots
        self.runs = []
        self.open = set()

    async def start(self, register=True):
        self.born = int(time.time() * 1000)
        self._server = await asyncio.start_server(self._channel, "127.0.0.1", 0, limit=1 << 20)
        self.port = self._server.sockets[0].getsockname()[1]
        if register:
            await self.register("ready")

    async def register(self, state, cold_ms=0):
        await self.store.put("servers", self.name, {
            "Service": self.service, "Address": f"127.0.0.1:{self.port}", "Zone": self.zone,
            "Version": self.version, "Slots": self.slots, "State": state, "ColdRemainingMs": cold_ms,
            "Sequence": 0, "born": self.born})

    def crash(self):
        """Ends at once: nobody listens any more, and open channels are reset."""
        self._server.close()
        for writer in list(self.open):
            reset(writer)

    async def _channel(self, reader, writer):
        self.open.add(writer)
        try:
            while True:
                head = await read_head(reader)
                if head is None:
                    return
                line, fields = head
                body = await read_body(reader, fields)
                method, target, _ = line.split(" ")
                request = {"method": method, "target": target, "fields": fields, "body": body,
                           "id": field(fields, "Attempt-Id", "")}
                if field(fields, "Expect-Instance", self.name) != self.name:
                    writer.write(f"HTTP/1.1 421 X\r\nAttempt-Id: {request['id']}\r\nInstance-Id: {self.name}\r\n"
                                 "Content-Length: 0\r\n\r\n".encode())
                    continue
                if not request["id"]:
                    writer.write(b"HTTP/1.1 400 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                    continue
                self.runs.append(request["id"])
                self.record.add("run", engine=self.name, version=self.version, id=request["id"], method=method,
                                target=target)
                if await self.serve(self, request, writer) is False:
                    return
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self.open.discard(writer)
            writer.close()

    @staticmethod
    def signature(request):
        return f"Attempt-Id: {request['id']}\r\nResponse-Signature: sig.{request['id']}\r\n"

    def write_answer(self, request, writer, body=b"ok", status=200, extra=""):
        writer.write(f"HTTP/1.1 {status} X\r\n{self.signature(request)}{extra}"
                     f"Content-Length: {len(body)}\r\n\r\n".encode("latin-1") + body)

    def begin_stream(self, request, writer):
        writer.write(("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" + self.signature(request) +
                      "Confidence: 100\r\nTransfer-Encoding: chunked\r\n\r\n").encode("latin-1"))

    @staticmethod
    def write_event(writer, number):
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")

    @staticmethod
    def end_stream(writer):
        writer.write(b"0\r\n\r\n")


def reset(writer):
    """Breaks a channel off as a crashed process does: with a reset."""
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Daemon:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, store, record, folder, name, zone="west-a", region="west", grace_s=8):
        self.store, self.record, self.folder, self.name = store, record, folder, name
        self.callers, self.readiness, self.metrics, self.peers = (free_port() for _ in range(4))
        self.settings = os.path.join(folder, f"{name}.yaml")
        with open(self.settings, "w") as file:
            file.write(f"""profile: gateway
instance: {name}
failure_domain: {zone}
region: {region}
domains:
  west-a: west
  hill-a: hill
  west-b: west
listen:
  callers: 127.0.0.1:{self.callers}
  readiness: 127.0.0.1:{self.readiness}
  metrics: 127.0.0.1:{self.metrics}
  peers: 127.0.0.1:{self.peers}
link_mbps: 1000
store: 127.0.0.1:{store.port}
grace_period_seconds: {grace_s}
bounds:
  retry_share: 0.9
  retry_reserve: 56
  retry_window_seconds: 10
  cold_factor: 1.5
  cold_slack: 5
  trial_exposure: 0.15
""")
        self.process = None
        self.starts = 0

    def start(self):
        with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
            command = re.search(r'^run = "(.*)"$', file.read(), re.MULTILINE).group(1).split(" ")
        command = [self.settings if word.endswith("settings.toml") else word for word in command]
        self.starts += 1
        self.log = os.path.join(self.folder, f"{self.name}-{self.starts}.log")
        with open(self.log, "w") as output:
            self.process = subprocess.Popen(command, cwd=ROOT, stdout=output, stderr=output)
        self.record.add("daemon started", daemon=self.name, pid=self.process.pid)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.readiness)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            head = await read_head(reader)
            writer.close()
            return head is not None and " 200 " in head[0]
        except OSError:
            return False

    async def wait_ready(self, seconds=10.0):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.05)
        return False

    def send(self, number):
        self.record.add("signal", daemon=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def wait_ended(self, seconds):
        end = time.monotonic() + seconds
        while self.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.02)
        return self.process.poll()

    def stop(self):
        if self.process and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Channel:
    """A requester's kept channel. request() returns (status, fields, body, whole)."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1 << 20)

    def close(self):
        if self.writer:
            self.writer.close()
            self.writer = None

    async def request(self, raw, timeout_s=30.0):
        """Sends bytes as they are. Status 0: the channel ended without an answer."""
        if self.writer is None:
            await self.open()
        try:
            self.writer.write(raw)
            return await asyncio.wait_for(self._answer(), timeout_s)
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            self.close()
            return 0, [], b"", False
        except asyncio.TimeoutError:
            self.close()
            return -1, [], b"", False

    async def _answer(self):
        head = await read_head(self.reader)
        if head is None:
            self.close()
            return 0, [], b"", False
        status, fields, body = int(head[0].split(" ")[1]), head[1], b""
        try:
            if field(fields, "Transfer-Encoding", "").lower() == "chunked":
                while part := await read_chunk(self.reader):
                    body += part
            else:
                body = await self.reader.readexactly(int(field(fields, "Content-Length", "0")))
        except (ConnectionError, OSError, asyncio.IncompleteReadError):
            self.close()
            return status, fields, body, False
        if field(fields, "Connection", "").lower() == "close":
            self.close()
        return status, fields, body, True


HOST = "ficu95.example"
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"


def route(name, prefix, kind, service, **more):
    return {"Name": name, "Hostname": HOST, "Prefix": prefix, "Kind": kind, "Service": service, "Public": False,
            "AllowedRegions": [], **more}


STREAM_ROUTE = route("r-stream", "/lohu930/", "streaming", "pitch-llm", TimeoutMs=20000, TargetLatencyMs=2000,
                     Priority=0, MaxAttempts=3, Sticky=True, Resumable=True, TargetGapMs=1200, Sizes=["m0", "m1", "m2"])
DEBIT_ROUTE = route("r-debit", "/puxa403/", "non_idempotent", "till", TimeoutMs=1200, TargetLatencyMs=400,
                    Priority=2, MaxAttempts=1)
READ_ROUTE = route("r-read", "/cufi504/", "idempotent", "till", TimeoutMs=1200, TargetLatencyMs=400, Priority=2,
                   MaxAttempts=2)


def config(version=7, routes=(STREAM_ROUTE, DEBIT_ROUTE, READ_ROUTE)):
    return {"Version": version, "Routes": list(routes),
            "Services": [
                {"Name": "pitch-llm", "HealthCheckPath": "/health", "MaxConnections": 370, "Protocol": "h1",
                 "Tls": False, "ColdStartS": 3.0, "ColdPerS": 12.0,
                 "Engine": {"Slots": 64, "Models": [{"Name": "m0", "Cost": 0.016}, {"Name": "m1", "Cost": 0.12},
                                                    {"Name": "m2", "Cost": 0.24}]}},
                {"Name": "till", "HealthCheckPath": "/health", "MaxConnections": 110, "Protocol": "h1",
                 "Tls": False, "ColdStartS": 0.0, "ColdPerS": 0.0}],
            "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000,
                       "IdleTimeoutMs": 15000},
            "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1, "AllowedRegions": []}]}


def request_bytes(method, target, attempt, body=b"", deadline_ms=2500, fields=()):
    """A whole request; the fields are pairs of text in latin-1."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}", f"Attempt-Id: {attempt}",
             f"Deadline-Ms: {deadline_ms}", f"Authorization: Token {KEY}"]
    lines += [f"{name}: {value}" for name, value in fields]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def run_case(folder, case, limit_s=110):
    """Runs `case(world)` and exits with its verdict: 0 held, 1 broken, 2 could not run."""
    class World:
        pass

    async def play(world):
        world.trouble = os.environ.get("TROUBLE", "1") != "0"
        world.record = Record(folder)
        world.folder = tempfile.mkdtemp()
        world.store = Store()
        await world.store.start()

        def daemon(name, **more):
            made = Daemon(world.store, world.record, world.folder, name, **more)
            world.daemons.append(made)
            return made
        world.daemon = daemon
        return await asyncio.wait_for(case(world), limit_s)

    async def main():
        world = World()
        world.daemons, world.folder, world.record = [], None, None
        playing = asyncio.ensure_future(play(world))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, playing.cancel)
        try:
            verdict = await playing
        except (Exception, asyncio.CancelledError) as failure:  # The case itself failed: no verdict on the rule.
            if world.record:
                world.record.add("could not run", error=repr(failure))
            print(f"could not run: {failure!r}", file=sys.stderr)
            verdict = 2
        finally:
            for made in world.daemons:
                made.stop()
        if world.record:
            world.record.add("verdict", exit=verdict)
        print({0: "held", 1: "BROKEN", 2: "could not run"}[verdict])
        if verdict != 2 and world.folder:
            import shutil
            shutil.rmtree(world.folder, ignore_errors=True)
        else:
            print(f"logs: {world.folder}", file=sys.stderr)
        return verdict

    try:
        code = asyncio.run(main())
    except BaseException as failure:  # Python itself would exit with 1, which here means that the rule was broken.
        print(f"could not run: {failure!r}", file=sys.stderr)
        code = 2
    sys.stdout.flush()
    os._exit(code)
