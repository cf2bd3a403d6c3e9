"""A requester sends debits whose body holds the bytes of another debit.

With trouble, the body is announced by a Transfer-Encoding whose last coding is not "chunked", so that its end
can't be known; without, by its length.
"""
import asyncio
import os
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins as s

CODINGS = ["identity", "gzip", "chunked, identity"]


async def serve_debit(engine, request, writer):
    engine.record.add("body", engine=engine.name, id=request["id"], bytes=len(request["body"]))
    await asyncio.sleep(0.06)
    engine.write_answer(request, writer, b"debited")


def outer_request(attempt, inner, coding):
    announced = f"Transfer-Encoding: {coding}" if coding else f"Content-Length: {len(inner)}"
    head = "\r\n".join([
        "POST /puxa403/2f HTTP/1.1", f"Host: {s.HOST}", f"Attempt-Id: {attempt}", "Deadline-Ms: 2500",
        f"Authorization: Token {s.KEY}", announced])
    return head.encode() + b"\r\n\r\n" + inner


async def case(world):
    engines = [s.Engine(world.store, world.record, f"i-till-{n}", "till", "west-a", serve_debit, slots=6)
               for n in range(3)]
    for engine in engines:
        await engine.start()
    await world.store.put("op", "config", s.config())
    daemon = world.daemon("front-west-a-1")
    daemon.start()
    if not await daemon.wait_ready():
        return 2
    sent = set()
    for number, coding in enumerate(CODINGS):
        inner = s.request_bytes("POST", "/puxa403/2f", f"inside-{number}", b"amount=999")
        attempt = f"outer-{number}"
        sent.add(attempt)
        world.record.add("sent", id=attempt, coding=coding if world.trouble else None, inside=f"inside-{number}")
        channel = s.Channel(daemon.callers)
        status, _, _, whole = await channel.request(
            outer_request(attempt, inner, coding if world.trouble else None), 4.0)
        world.record.add("answered", id=attempt, status=status, whole=whole)
        await asyncio.sleep(0.5)
        channel.close()
    ran = [attempt for engine in engines for attempt in engine.runs]
    smuggled = [attempt for attempt in ran if attempt not in sent]
    world.record.add("outcome", ran=ran, smuggled=smuggled)
    print(f"engines ran {ran}; never sent as requests: {smuggled}")
    return 1 if smuggled else 0


s.run_case(os.path.dirname(os.path.abspath(__file__)), case)
