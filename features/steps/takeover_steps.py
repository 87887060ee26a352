"""Steps for suspects that a host takes over from another."""

import asyncio
import dataclasses
import time

import behave

from buckthornhold import settings
from buckthornhold.coordination import poison_detectors
from features.steps import routing_steps
from testbed import offline_hosts

PROMPT = "a prompt under which an engine crashed"
HOLD_SECONDS = settings.DEFAULTS["suspect_hold"]
AT_ONCE_SECONDS = 0.5


@behave.given("suspects: a host that knows of a crash under a prompt")
def make_suspect(context):
    context.entry_host = routing_steps.start_host(context, engine_count=3)
    suspect = poison_detectors.Suspect(
        fingerprint=poison_detectors.make_fingerprint(
            offline_hosts.MODEL, PROMPT
        ),
        version="v1",
        start=0,
        position=5,
    )
    crash = poison_detectors.Crash(
        upstream="engine-0001/1",
        zone="zone-1",
        host="entry-1",
        time=time.time(),
        suspects=(suspect,),
    )
    fact = crash.make_fact(expires=time.time() + 60.0)
    context.entry_host.quarantines.detector.apply_fact(fact)


@behave.when("suspects: a request with that prompt arrives {origin}")
def admit(context, origin):
    contract = context.entry_host.make_contract(routing_steps.PROMPT_TOKENS)
    if origin == "by takeover from another host":
        contract = dataclasses.replace(contract, resumed=True)

    async def wait():
        started = time.monotonic()
        async with asyncio.timeout(HOLD_SECONDS + AT_ONCE_SECONDS):
            refusal = await context.entry_host.quarantines.admit(
                contract, PROMPT
            )
        return refusal, time.monotonic() - started

    context.refusal, context.waited = routing_steps.run(context, wait())


@behave.then("suspects: it may be sent at once")
def check_at_once(context):
    assert context.refusal is None, context.refusal
    assert context.waited < AT_ONCE_SECONDS, context.waited


@behave.then("suspects: it may be sent only after it was held")
def check_held(context):
    assert context.refusal is None, context.refusal
    assert context.waited >= HOLD_SECONDS, context.waited
