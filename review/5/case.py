"""Sessions during a rollout of a good version, while the two machines of a zone are stopped and started in turn."""
import asyncio
import os
import signal
import sys

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
import standins as s

SESSIONS = 160
REQUEST_INTERVAL_S = 1.6  # Below SessionS.
SESSION_S = 5.0
CONTACT_S = 4.0
GRACE_S = 8.0
ROLLOUT_S = 24.0
RESTARTS_AT_S = [3.0, 14.0]  # After the order: the first machine, then the second one.
ALLOWED = 3


async def serve(engine, request, writer):
    session = s.field(request["fields"], "Session")
    engine.record.add("session run", session=session, id=request["id"], version=engine.version)
    engine.history.append((engine.record.now(), session, request["id"], engine.version))
    engine.begin_stream(request, writer)
    for number in range(1, 4):
        engine.write_event(writer, number)
    engine.end_stream(writer)


class Balancer:
    """Asks each daemon once a second; two misses take it out, a 200 takes it in."""

    def __init__(self, daemons):
        self.daemons = daemons
        self.misses = {daemon.name: 0 for daemon in daemons}

    async def run(self):
        while True:
            for daemon in self.daemons:
                self.misses[daemon.name] = 0 if await daemon.is_ready() else self.misses[daemon.name] + 1
            await asyncio.sleep(1.0)

    def choose(self, requester):
        rotation = [d for d in self.daemons if self.misses[d.name] < 2] or self.daemons
        return rotation[requester % len(rotation)]


async def session(world, balancer, number, end):
    """One requester, whose requests belong to one session, each on a new channel or the kept one."""
    await asyncio.sleep(number / SESSIONS * REQUEST_INTERVAL_S)
    channel, daemon, count = None, None, 0
    while world.record.now() < end:
        count += 1
        attempt = f"s{number}-{count}"
        if channel is None or channel.writer is None:
            daemon = balancer.choose(number)
            channel = s.Channel(daemon.callers)
        world.record.add("sent", id=attempt, daemon=daemon.name)
        world.sent_to[attempt] = daemon.name
        try:
            status, _, _, whole = await channel.request(
                s.request_bytes("POST", "/lohu930/2f", attempt, b"prompt", 20000,
                                [("Model", "*"), ("Token-Usage", "300,24"), ("Session", f"session-{number}"),
                                 ("Prompt-Prefix", f"5c1e07a2:200,{number:08x}:100")]), 8.0)
            world.record.add("answered", id=attempt, status=status, whole=whole)
        except OSError:
            channel = None
        await asyncio.sleep(REQUEST_INTERVAL_S)


async def restart(world, daemon):
    daemon.send(signal.SIGTERM)
    world.disturbed[daemon.name] = [world.record.now(), None]
    code = await daemon.wait_ended(GRACE_S)
    if code is None:
        daemon.stop()
    await asyncio.sleep(0.2)
    daemon.start()
    await daemon.wait_ready()
    world.disturbed[daemon.name][1] = world.record.now()


def in_touch(world, daemon, at):
    if daemon not in world.disturbed:
        return at > world.started + CONTACT_S
    begin, end = world.disturbed[daemon]
    return at < begin or (end is not None and at > end + CONTACT_S)


def went_back(world, engines):
    """The runs on the old version by machines in touch, of sessions whose run before was on the new one."""
    runs = sorted(run for engine in engines for run in engine.history)
    last, back = {}, []
    for at, name, attempt, version in runs:
        before = last.get(name)
        if before and before[1] == "v2" and version == "v1" and at - before[0] < SESSION_S \
                and in_touch(world, world.sent_to[attempt], at):
            back.append(attempt)
        last[name] = (at, version)
    return back


async def case(world):
    world.sent_to, world.disturbed = {}, {}
    old = [s.Engine(world.store, world.record, f"i-old-{n}", "pitch-llm", "west-a", serve) for n in range(4)]
    new = [s.Engine(world.store, world.record, f"i-new-{n}", "pitch-llm", "west-a", serve, "v2") for n in range(4)]
    for engine in old + new:
        engine.history = []
    for engine in old:
        await engine.start()
    await world.store.put("op", "config", s.config())
    daemons = [world.daemon("front-west-a-1"), world.daemon("front-west-a-2")]
    for daemon in daemons:
        daemon.start()
    for daemon in daemons:
        if not await daemon.wait_ready():
            return 2
    world.started = world.record.now()
    balancer = Balancer(daemons)
    balancing = asyncio.create_task(balancer.run())
    end = world.started + CONTACT_S + 1.0 + ROLLOUT_S
    load = [asyncio.create_task(session(world, balancer, n, end)) for n in range(SESSIONS)]
    await asyncio.sleep(CONTACT_S + 1.0)
    ordered = world.record.now()
    await world.store.put("op", "rollout/pitch-llm", {"Service": "pitch-llm", "To": "v2", "DurationS": ROLLOUT_S})
    world.record.add("rollout ordered")
    for engine in new:
        await engine.start()
    if world.trouble:
        for daemon, at in zip(daemons, RESTARTS_AT_S):
            await asyncio.sleep(max(0.0, ordered + at - world.record.now()))
            asyncio.create_task(restart(world, daemon))
    await asyncio.gather(*load)
    balancing.cancel()
    back = went_back(world, old + new)
    status = world.store.value("status", "rollout/pitch-llm")
    world.record.add("outcome", status=status, back_on_old=back)
    print(f"rollout {status}; {len(back)} requests of sessions went back from the new version to the old one")
    if status and status["State"] == "rolled_back":
        return 2
    return 1 if len(back) > ALLOWED else 0


s.run_case(os.path.dirname(os.path.abspath(__file__)), case)
