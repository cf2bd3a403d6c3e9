"""Sessions while a bad version of a service is rolled back and the operator orders the next version."""
import asyncio
import os
import random
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins as s

SESSIONS = 120
SINGLE_REQUESTERS = 80
SHARED_PARTS = 40  # The prompts that requests have in common.
REQUEST_INTERVAL_S = 1.6  # Below SessionS.
SESSION_S = 5.0
CONTACT_S = 4.0
ROLLOUT_S = 16.0
BAD_SHARE = 0.5
ORDER_DELAY_S = 0.2  # From "rolled_back" to the operator's next order.
DRAIN_DELAY_S = 3.0  # From "rolled_back" until the engines of the bad version drain: "some seconds later".
DRAIN_TIMEOUT_S = 3.0
WATCHED_S = 8.0  # After the next order.
ROLLBACK_LIMIT_S = 30.0
ALLOWED = 3


async def serve(engine, request, writer):
    session = s.field(request["fields"], "Session")
    bad = engine.version == "v2" and engine.random.random() < BAD_SHARE
    engine.record.add("request run", session=session, id=request["id"], version=engine.version, bad=bad)
    engine.history.append((engine.record.now(), session, request["id"], engine.version))
    if bad:
        engine.write_answer(request, writer, b"failed", status=500)
        return
    engine.begin_stream(request, writer)
    for number in range(1, 4):
        engine.write_event(writer, number)
    engine.end_stream(writer)


async def requester(world, daemon, number, session):
    """Sends one request after the other on a kept channel; all belong to one session, or none does."""
    await asyncio.sleep(number / SESSIONS % 1.0 * REQUEST_INTERVAL_S)
    channel, count = s.Channel(daemon.callers), 0
    while not world.ended:
        count += 1
        attempt = f"{'s' if session else 'r'}{number}-{count}"
        prompt = f"{0x5c1e0000 + number % SHARED_PARTS:08x}:200,{number:08x}:100"
        fields = [("Model", "*"), ("Token-Usage", "300,24"), ("Prompt-Prefix", prompt)]
        if session:
            fields.append(("Session", f"session-{number}"))
        world.record.add("sent", id=attempt, daemon=daemon.name)
        try:
            status, _, _, whole = await channel.request(
                s.request_bytes("POST", "/lohu930/2f", attempt, b"prompt", 20000, fields), 8.0)
            world.record.add("answered", id=attempt, status=status, whole=whole)
            world.answers.append((world.record.now(), status))
        except OSError:
            channel = s.Channel(daemon.callers)
        await asyncio.sleep(REQUEST_INTERVAL_S)


def moved_to_withdrawn(engines, since):
    """The session's runs on the version that was rolled back, after a run of the session on another version."""
    last, moved = {}, []
    for at, name, attempt, version in sorted(run for engine in engines for run in engine.history if run[1]):
        before = last.get(name)
        if at > since and version == "v2" and before and before[1] != "v2" and at - before[0] < SESSION_S:
            moved.append(attempt)
        last[name] = (at, version)
    return moved


async def order(world, version, engines):
    await world.store.put("op", "rollout/pitch-llm",
                          {"Service": "pitch-llm", "To": version, "DurationS": ROLLOUT_S})
    world.record.add("rollout ordered", to=version)
    for engine in engines:
        await engine.start()


async def wait_rolled_back(world):
    end = world.record.now() + ROLLBACK_LIMIT_S
    while world.record.now() < end:
        status = world.store.value("status", "rollout/pitch-llm")
        if status and status["To"] == "v2" and status["State"] != "running":
            return status["State"] == "rolled_back"
        await asyncio.sleep(0.02)
    return False


async def remove_engines(world, engines):
    """As PROTOCOL.md says of rolled_back: the new engines drain some seconds later, and then leave."""
    await asyncio.sleep(DRAIN_DELAY_S)
    for engine in engines:
        await engine.register("draining")
    world.record.add("engines drain", version="v2")
    await asyncio.sleep(DRAIN_TIMEOUT_S + 1.0)
    for engine in engines:
        await world.store.put("servers", engine.name, None)
        engine.crash()


async def case(world):
    world.ended, world.answers = False, []
    sets = {version: [s.Engine(world.store, world.record, f"i-{version}-{n}", "pitch-llm", "west-a", serve, version)
                      for n in range(4)] for version in ("v1", "v2", "v3")}
    engines = [engine for group in sets.values() for engine in group]
    for number, engine in enumerate(engines):
        engine.history, engine.random = [], random.Random(number)
    for engine in sets["v1"]:
        await engine.start()
    await world.store.put("op", "config", s.config())
    daemons = [world.daemon("front-west-a-1"), world.daemon("front-west-a-2")]
    for daemon in daemons:
        daemon.start()
    for daemon in daemons:
        if not await daemon.wait_ready():
            return 2
    load = [asyncio.create_task(requester(world, daemons[n % 2], n, n < SESSIONS))
            for n in range(SESSIONS + SINGLE_REQUESTERS)]
    await asyncio.sleep(CONTACT_S + 1.0)
    await order(world, "v2", sets["v2"])
    if not await wait_rolled_back(world):
        return 2
    world.record.add("rolled back", version="v2")
    removal = asyncio.create_task(remove_engines(world, sets["v2"]))
    if world.trouble:
        await asyncio.sleep(ORDER_DELAY_S)
    else:
        await removal
    ordered = world.record.now()
    await order(world, "v3", sets["v3"])
    await asyncio.sleep(WATCHED_S)
    world.ended = True
    await asyncio.gather(*load)
    await removal
    moved = moved_to_withdrawn(engines, ordered)
    runs = [run for engine in engines for run in engine.history if run[0] > ordered]
    withdrawn = sum(run[3] == "v2" for run in runs)
    failed = sum(at > ordered and status != 200 for at, status in world.answers)
    world.record.add("outcome", moved=moved, runs=len(runs), runs_on_withdrawn=withdrawn, not_answered_200=failed)
    print(f"after the next order: {withdrawn} of {len(runs)} runs on the version that was rolled back, "
          f"{len(moved)} of sessions that were on another version; {failed} requests without a 200")
    return 1 if len(moved) > ALLOWED else 0


s.run_case(os.path.dirname(os.path.abspath(__file__)), case)
