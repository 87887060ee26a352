"""Steps on a zone that goes in an outage, during a move."""

import asyncio
import random
import threading
import time

import aiohttp
import behave

from features import environment
from testbed import callers
from testbed import drives
from testbed import histories
from testbed import machines
from testbed import moves
from testbed import payments
from testbed import reclaims
from testbed import stream_histories

PAY_RULE = (
    "\ncall service=entries-app operation=pay repeat=no deadline=2s"
    "  # asked by: a scenario\n"
)
SETTINGS = {
    **moves.SETTINGS,
    "claim_timeout": 1.0,
    "claim_peer_timeout": 0.5,
    "platform_timeout": 1.0,
}
ENGINE_OPTIONS = {"step_base": 0.008, "sampled": True}
MOVE_SECONDS = 20.0
RUN_SECONDS = 10.0
CALLERS = 18
TOKENS = (100, 600)
#: Short answers of more callers, as many as judge a move before its time.
MANY_CALLERS = 30
FEW_TOKENS = (4, 12)
LONG_MOVE_SECONDS = 60.0
LONG_RUN_SECONDS = 40.0
PAYMENTS = 150
#: Beginning of the outage and of the reclaim, and the outage's length.
OUTAGE_FROM = (1.0, 2.0)
RECLAIM_AFTER = (0.2, 1.0)
OUTAGE_SECONDS = 5.0
NOTICE = 3.0


@behave.given("a fleet with engines of two versions and payment services")
def use_fleet(context):
    environment.use_fresh_fleet(
        context,
        **{
            **moves.FLEET,
            "services_per_zone": 1,
            "settings": SETTINGS,
            "engine_options": ENGINE_OPTIONS,
        },
    )
    drives.wait_linked(context.fleet)


@behave.when("a zone goes in an outage during a move, by seed {seed:d}")
def run_half_done(context, seed):
    until = time.monotonic() + RUN_SECONDS
    begin_move(context, MOVE_SECONDS)
    run(context, seed, lambda: time.monotonic() > until, CALLERS, TOKENS)


@behave.when("a zone goes in an outage and a move goes on, by seed {seed:d}")
def run_until_done(context, seed):
    until = time.monotonic() + LONG_RUN_SECONDS
    begin_move(context, LONG_MOVE_SECONDS)

    def is_over():
        left = [it for it in context.fleet.entries if it.running]
        return all(map(has_ended, left)) or time.monotonic() > until

    run(context, seed, is_over, MANY_CALLERS, FEW_TOKENS)


def has_ended(entry):
    """Tell whether a host answers and says that the move is over."""
    reply = entry.operate("GET", "/status")
    if reply.status != 200:
        return False
    return all(it["state"] != "running" for it in reply.json()["moves"])


def run(context, seed, is_over, count, tokens):
    """Have callers ask until it is over, while a zone goes in an outage."""
    fleet = context.fleet
    draw = random.Random(seed)
    addresses = [entry.address for entry in fleet.entries]
    context.payers = payments.Payers(addresses=addresses, seed=seed)
    path = fleet.folder / "streams.jsonl"
    recorder = stream_histories.Recorder(path=path, fleet=fleet)
    outage = draw.uniform(*OUTAGE_FROM)
    zone = draw.choice(fleet.zones)
    lost = [
        it
        for it in [*fleet.entries, *fleet.engines, *fleet.services]
        if it.zone == zone
    ]
    print(f"seed {seed}: {zone} goes, outage from {outage:.1f} s")
    wave = reclaims.Wave(
        outage + draw.uniform(*RECLAIM_AFTER), lost, NOTICE, announced=False
    )

    def record(event, machine):
        recorder.record_event(event, machine)
        if event == "kill" and machine in fleet.services:
            fleet.keep_executions(machine)

    timers = [
        threading.Timer(outage, set_outage, [fleet, True]),
        threading.Timer(outage + OUTAGE_SECONDS, set_outage, [fleet, False]),
    ]
    waves = reclaims.Reclaims(fleet=fleet, waves=[wave], record=record)
    for timer in timers:
        timer.start()
    with waves:
        asyncio.run(
            run_callers(context, recorder, seed, is_over, count, tokens)
        )
        waves.wait()
    for timer in timers:
        timer.join()
    asyncio.run(context.payers.settle())
    for engine in fleet.engines:
        recorder.record_engine(engine)
    context.history = stream_histories.read(path)


def begin_move(context, seconds):
    """Put a move and the payments' rule in force on all entry hosts."""
    text = moves.make_rules(context, seconds=seconds) + PAY_RULE
    context.fleet.apply_rules(text)
    for entry in context.fleet.entries:
        machines.wait_until(
            lambda entry=entry: moves.read_move(entry)["state"] == "running",
            what=f"{entry.name} knows the move's first step",
        )


def set_outage(fleet, down):
    fleet.platform.set_faults(store_down=down, list_down=down, cloud_down=down)


async def run_callers(context, recorder, seed, is_over, count, tokens):
    addresses = [entry.address for entry in context.fleet.entries]
    over = asyncio.Event()
    connector = aiohttp.TCPConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as session:
        await asyncio.gather(
            watch(is_over, over),
            context.payers.run(requests=PAYMENTS, seconds=RUN_SECONDS),
            *[
                run_caller(
                    session,
                    addresses,
                    random.Random(f"{seed}/{number}"),
                    recorder,
                    over,
                    tokens,
                )
                for number in range(count)
            ],
        )


async def watch(is_over, over):
    """Set an event when it is over."""
    while not await asyncio.to_thread(is_over):
        await asyncio.sleep(0.2)
    over.set()


async def run_caller(session, addresses, draw, recorder, over, tokens):
    while not over.is_set():
        start = draw.randrange(len(addresses))
        chat = await callers.follow_chat(
            session,
            addresses[start:] + addresses[:start],
            request_id=f"{draw.getrandbits(128):032x}",
            prompt=f"{draw.random()} rule",
            max_tokens=draw.randrange(*tokens),
            give_up_after=30.0,
        )
        recorder.record_chat(chat)


@behave.then("the streams' history breaks no promise")
def check_streams(context):
    found = stream_histories.check(context.history)
    print(found)
    assert found["requests"] and found["whole"], found
    assert found["accepted_lost"] == 0, found
    assert found["wrong_or_short"] == 0, found
    assert found["sent_after_bound"] == 0, found
    versions = {
        it["version"]
        for it in context.history
        if it["kind"] == "sent" and "version" in it
    }
    assert versions == {"v1", "v2"}, versions


@behave.then("the payments' history breaks no promise")
def check_payments(context):
    events = [
        *context.payers.events,
        *payments.list_executions(context.fleet.list_executions()),
    ]
    verdict = histories.check_history(events)
    print(verdict)
    assert verdict.requests == PAYMENTS and verdict.executions, verdict
    assert not verdict.violations, verdict
    assert verdict.unknown_share <= 0.1, verdict


@behave.then("the move is done on the hosts that are left")
def check_done(context):
    check_move(context)
    for entry in context.fleet.entries:
        if entry.running:
            assert moves.read_move(entry)["state"] == "done", entry.name


@behave.then("the move has ended on the hosts that are left, with a reason")
def check_move(context):
    left = [entry for entry in context.fleet.entries if entry.running]
    assert len(left) == len(context.fleet.entries) - 1
    for entry in left:
        machines.wait_until(
            lambda entry=entry: moves.read_move(entry)["state"] != "running",
            timeout=MOVE_SECONDS,
            what=f"{entry.name} says how the move ended",
        )
    ended = [moves.read_move(entry) for entry in left]
    print([(it["state"], it["reason"]) for it in ended])
    assert len({it["state"] for it in ended}) == 1, ended
    assert all(it["reason"] for it in ended), ended
