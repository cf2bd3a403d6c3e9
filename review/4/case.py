"""A loss of power: all daemons and engines end and start again; with trouble, the store is down for that time too.

The engines come back cold. Each daemon has its share of what a cold engine may get in a second, once it knows the
other daemons.
"""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins as s

ZONES = [("west-a", "west"), ("west-a", "west"), ("west-a", "west"), ("hill-a", "hill"), ("hill-a", "hill"),
         ("hill-a", "hill"), ("west-b", "west"), ("west-b", "west")]
ENGINE_ZONES = ["west-a", "hill-a", "west-b"]
REQUESTS_PER_S = 78.0  # The three kinds of streams of the site.
LOSS_AT_S = 6.0
DAEMONS_DOWN_S = 2.0
OUTAGE_S = 4.5
ENGINES_DOWN_S = 4.4
COLD_S = 3.0
REGISTERED_AFTER_S = [0.1, 0.75, 1.1]  # Their next heartbeats after the store is back, at most 1.2 s.
END_S = 20.0
BOUND = 12.0 * 1.5 + 5  # ColdPerS x ColdOverage + ColdSlack.


async def serve(engine, request, writer):
    now = engine.record.now()
    engine.arrivals.append((engine.sent_at.get(request["id"], now), now))
    engine.begin_stream(request, writer)
    await writer.drain()
    for number in range(1, 4):
        await asyncio.sleep(0.05)
        engine.write_event(writer, number)
        await writer.drain()
    engine.end_stream(writer)


async def requester(world, number):
    """One request, and one retry of it when it was refused, after the time that the refusal names."""
    for attempt_number in (1, 2):
        attempt = f"r{number}-{attempt_number}"
        ready = [d for d in world.daemons if d.name in world.rotation] or world.daemons
        channel = s.Channel(ready[number % len(ready)].callers)
        world.sent_at[attempt] = world.record.now()
        world.record.add("sent", id=attempt)
        try:
            status, fields, _, whole = await channel.request(
                s.request_bytes("POST", "/lohu930/2f", attempt, b"prompt", 20000,
                                [("Model", "*"), ("Token-Usage", "300,24"),
                                 ("Prompt-Prefix", f"5c1e{number % 40:04x}:200,{number:08x}:100")]), 20.0)
        except OSError:
            status, fields, whole = 0, [], False
        world.record.add("answered", id=attempt, status=status, whole=whole)
        channel.close()
        if status == 200 and whole:
            return
        await asyncio.sleep(min(float(s.field(fields, "Retry-After", "0.1")), 6.0))


async def rotate(world):
    misses = {}
    while True:
        for daemon in world.daemons:
            misses[daemon.name] = 0 if await daemon.is_ready() else misses.get(daemon.name, 0) + 1
        world.rotation = {name for name, count in misses.items() if count < 2}
        await asyncio.sleep(1.0)


async def return_engine(world, engine, store_back_at, heartbeat_phase_s):
    await asyncio.sleep(ENGINES_DOWN_S)
    await engine.start(register=False)
    engine.cold_until = world.record.now() + COLD_S
    # It writes to the store about every heartbeat interval, and is heard at its next one after the store's return.
    if world.trouble:
        await asyncio.sleep(max(0.0, store_back_at - world.record.now()) + heartbeat_phase_s)
    await engine.register("ready", int(max(0.0, engine.cold_until - world.record.now()) * 1000))
    world.record.add("engine registered", engine=engine.name, cold_s=round(engine.cold_until - world.record.now(), 2))


async def return_daemon(world, daemon):
    await asyncio.sleep(DAEMONS_DOWN_S)
    daemon.start()


def make_engines(world, generation):
    made = []
    for number, zone in enumerate(ENGINE_ZONES):
        engine = s.Engine(world.store, world.record, f"i-{generation}-{number}", "pitch-llm", zone, serve)
        engine.arrivals, engine.sent_at, engine.cold_until = [], world.sent_at, 0.0
        made.append(engine)
    return made


def most_in_a_second(engine):
    """The most requests that were sent and arrived inside one second while the engine was cold."""
    cold = [(sent, arrived) for sent, arrived in engine.arrivals if arrived < engine.cold_until]
    most = 0
    for start, _ in cold:
        most = max(most, sum(1 for sent, arrived in cold if sent >= start and arrived < start + 1.0))
    return most


async def case(world):
    world.sent_at, world.rotation = {}, set()
    before, after = make_engines(world, "a"), make_engines(world, "b")
    for engine in before:
        await engine.start()
    await world.store.put("op", "config", s.config())
    for number, (zone, region) in enumerate(ZONES):
        world.daemon(f"front-{zone}-{number}", zone=zone, region=region).start()
    for daemon in world.daemons:
        if not await daemon.wait_ready():
            return 2
    tasks = [asyncio.create_task(rotate(world))]
    begin, lost, number = world.record.now(), False, 0
    while world.record.now() < begin + END_S:
        if not lost and world.record.now() >= begin + LOSS_AT_S:
            lost = True
            world.record.add("loss of power", store_too=world.trouble)
            for daemon in world.daemons:
                daemon.process.send_signal(signal.SIGKILL)
                daemon.process.wait()
                tasks.append(asyncio.create_task(return_daemon(world, daemon)))
            for engine in before:
                engine.crash()
            back_at = world.record.now() + (OUTAGE_S if world.trouble else 0.0)
            for engine in before:
                await world.store.put("servers", engine.name, None)
            for place, engine in enumerate(after):
                phase_s = REGISTERED_AFTER_S[place]
                tasks.append(asyncio.create_task(return_engine(world, engine, back_at, phase_s)))
            if world.trouble:
                world.store.set_down(True)
                asyncio.get_running_loop().call_later(OUTAGE_S, world.store.set_down, False)
        number += 1
        tasks.append(asyncio.create_task(requester(world, number)))
        await asyncio.sleep(max(0.0, begin + number / REQUESTS_PER_S - world.record.now()))
    most = {engine.name: most_in_a_second(engine) for engine in after}
    served = sum(len(engine.arrivals) for engine in after)
    world.record.add("outcome", most_in_a_second=most, bound=BOUND, arrivals_after=served)
    print(f"most requests in a second at a cold engine: {most}; bound {BOUND}; {served} arrivals after the loss")
    return 2 if not served else 1 if max(most.values()) > BOUND else 0


s.run_case(os.path.dirname(os.path.abspath(__file__)), case)
