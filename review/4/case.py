"""All daemons are killed and start again, and one zone's engine comes back cold; with trouble, while the store is down.

Each daemon has its share of what a cold engine may get in a second, once it knows the other daemons. While the store is
down, the entries of all engines expire; they are written again at the engines' next heartbeats after its return.
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
ENGINE_DOWN_S = 4.4
EXPIRES_AFTER_S = 3.6  # Three heartbeats.
COLD_S = 3.0
REGISTERED_AFTER_S = [0.1, 1.6, 1.8]  # After the store is back; the pages say within about two seconds.
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


async def expire(world, engine):
    """Removes the entry of an engine that can't write to the store."""
    await asyncio.sleep(EXPIRES_AFTER_S)
    await world.store.put("servers", engine.name, None)


async def register_again(world, engine, store_back_at, after_s):
    """The engine's next heartbeat once the store is back."""
    await asyncio.sleep(max(0.0, store_back_at - world.record.now()) + after_s)
    cold_s = max(0.0, engine.cold_until - world.record.now())
    await engine.register("ready", int(cold_s * 1000))
    world.record.add("engine registered", engine=engine.name, cold_s=round(cold_s, 2))


async def return_cold(world, engine, store_back_at, after_s):
    await asyncio.sleep(ENGINE_DOWN_S)
    await engine.start(register=False)
    engine.cold_until = world.record.now() + COLD_S
    await register_again(world, engine, store_back_at, after_s)


async def return_daemon(world, daemon):
    await asyncio.sleep(DAEMONS_DOWN_S)
    daemon.start()


def make_engine(world, name, zone):
    engine = s.Engine(world.store, world.record, name, "pitch-llm", zone, serve)
    engine.arrivals, engine.sent_at, engine.cold_until = [], world.sent_at, 0.0
    return engine


def lose_power(world, tasks, lost, cold, kept):
    """The daemons are killed, one engine crashes and comes back cold; with trouble, the store goes down."""
    world.record.add("daemons and engine lost", store_too=world.trouble)
    for daemon in world.daemons:
        daemon.process.send_signal(signal.SIGKILL)
        daemon.process.wait()
        tasks.append(asyncio.create_task(return_daemon(world, daemon)))
    lost.crash()
    back_at = world.record.now() + (OUTAGE_S if world.trouble else 0.0)
    tasks.append(asyncio.create_task(expire(world, lost)))
    tasks.append(asyncio.create_task(return_cold(world, cold, back_at, REGISTERED_AFTER_S[0])))
    if not world.trouble:
        return
    world.store.set_down(True)
    asyncio.get_running_loop().call_later(OUTAGE_S, world.store.set_down, False)
    for engine, after_s in zip(kept, REGISTERED_AFTER_S[1:]):
        tasks.append(asyncio.create_task(expire(world, engine)))
        tasks.append(asyncio.create_task(register_again(world, engine, back_at, after_s)))


def most_in_a_second(engine):
    """The most requests that were sent and arrived inside one second while the engine was cold."""
    cold = [(sent, arrived) for sent, arrived in engine.arrivals if arrived < engine.cold_until]
    most = 0
    for start, _ in cold:
        most = max(most, sum(1 for sent, arrived in cold if sent >= start and arrived < start + 1.0))
    return most


async def case(world):
    world.sent_at, world.rotation = {}, set()
    lost, *kept = [make_engine(world, f"i-{zone}", zone) for zone in ENGINE_ZONES]
    cold = make_engine(world, "i-cold", ENGINE_ZONES[0])
    for engine in (lost, *kept):
        await engine.start()
    await world.store.put("op", "config", s.config())
    for number, (zone, region) in enumerate(ZONES):
        world.daemon(f"front-{zone}-{number}", zone=zone, region=region).start()
    for daemon in world.daemons:
        if not await daemon.wait_ready():
            return 2
    tasks = [asyncio.create_task(rotate(world))]
    begin, number = world.record.now(), 0
    while world.record.now() < begin + END_S:
        if lost and world.record.now() >= begin + LOSS_AT_S:
            lose_power(world, tasks, lost, cold, kept)
            lost = None
        number += 1
        tasks.append(asyncio.create_task(requester(world, number)))
        await asyncio.sleep(max(0.0, begin + number / REQUESTS_PER_S - world.record.now()))
    most = most_in_a_second(cold)
    world.record.add("outcome", most_in_a_second=most, bound=BOUND, arrivals_at_cold_engine=len(cold.arrivals))
    print(f"most requests in a second at the cold engine: {most}; bound {BOUND}; {len(cold.arrivals)} arrivals in all")
    return 2 if not cold.arrivals else 1 if most > BOUND else 0


s.run_case(os.path.dirname(os.path.abspath(__file__)), case)
