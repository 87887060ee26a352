"""Steps for requests with a part that crashes the engines that answer it."""

import asyncio
import time

import behave

from buckthornhold.standins import users_platforms
from features.steps import relay_crash_steps
from testbed import relay_fleets

DEADLY_PART = "dead01"
SHARED_PARTS = ("aa01", "bb02")
#: Time that an engine needs for a prompt before it begins its answer.
PREFILL_SECONDS = 0.05
ENGINES_ADDED = 6
SHOWN_BY_CRASHES = 5


class PartCrashingWorker(users_platforms.WireWorker):
    """An engine that crashes as it begins to answer a deadly prompt."""

    def __init__(self, *, crash, **kwargs) -> None:
        super().__init__(**kwargs)
        self.work_seconds = PREFILL_SECONDS
        self._crash = crash
        self.crashed_at: list[float] = []

    async def answer(self, request):
        if DEADLY_PART not in request.headers.get("Prompt-Prefix", ""):
            return await super().answer(request)
        await asyncio.sleep(PREFILL_SECONDS)
        self.crashed_at.append(time.monotonic())
        await self._crash(self.name)
        raise ConnectionResetError("crashed")


class PartCrashFleet(relay_crash_steps.CrashFleet):
    """Relay hosts with engines that a part of a prompt crashes."""

    def _make_worker(self, name, events):
        return PartCrashingWorker(name=name, events=events, crash=self._crash)

    async def send_prompt(self, path, *, number, host, deadly):
        """Send a request that shares all but its own part with others."""
        middle = (DEADLY_PART,) if deadly else ()
        parts = (SHARED_PARTS[0], *middle, SHARED_PARTS[1], f"c{number:04x}")
        return await self.send(
            path,
            host=host,
            body=f"prompt {number}".encode(),
            headers={
                "Prompt-Prefix": ",".join(f"{part}:100" for part in parts),
                "Token-Counts": f"{100 * len(parts)},8",
            },
        )


@behave.fixture
def run_part_crash_fleet(context, hosts):
    fleet = PartCrashFleet(hosts=hosts, linked=True)
    fleet.start()
    for number in range(3, 3 + ENGINES_ADDED):
        fleet.run(fleet.add_worker(f"model-{number}", relay_fleets.EVENTS))
    fleet.run(asyncio.sleep(1.0))
    yield fleet
    fleet.stop()


@behave.given(
    "wire: {count:d} relay hosts before engines that a part can crash"
)
def use_part_crash_fleet(context, count):
    context.fleet = behave.use_fixture(
        run_part_crash_fleet, context, hosts=count
    )
    context.deadly = context.copies = []
    context.sound = []


@behave.when(
    "wire: {count:d} requests to {path} with a deadly part are sent beside "
    "sound ones, at hosts in turn"
)
def send_deadly(context, count, path):
    fleet = context.fleet

    async def run():
        for number in range(count):
            host = number % len(fleet.hosts)
            crashes = len(fleet.list_crashes())
            number += 100 * len(context.deadly)
            sound = asyncio.ensure_future(
                fleet.send_prompt(
                    path, number=2 * number, host=host, deadly=False
                )
            )
            answer = await fleet.send_prompt(
                path, number=2 * number + 1, host=host, deadly=True
            )
            ran = len(fleet.list_crashes()) - crashes
            context.deadly.append((answer.status, ran))
            context.sound.append((crashes, await sound))
            await asyncio.sleep(relay_crash_steps.PAUSE_SECONDS)

    fleet.run(run())


@behave.then(
    "wire: the last {count:d} requests with the deadly part were refused with "
    "{status:d} and not executed"
)
def check_deadly_refused(context, count, status):
    assert context.deadly[-count:] == [(status, 0)] * count, context.deadly


@behave.then("wire: sound requests sent after the fifth crash were served")
def check_sound_served(context):
    """A sound request may run on an engine as it crashes, not later ones."""
    crashes = len(context.fleet.list_crashes())
    wrong = [
        (before, answer.status, answer.broken)
        for before, answer in context.sound
        if before >= min(crashes, SHOWN_BY_CRASHES)
        and (answer.status != 200 or answer.broken)
    ]
    assert not wrong, wrong
    assert any(before >= crashes for before, _ in context.sound)


@behave.then(
    "wire: at most {count:d} upstreams have crashed more than {seconds:g} "
    "seconds after the fifth"
)
def check_late_part_crashes(context, count, seconds):
    crashes = context.fleet.list_crashes()
    late = [
        crashed_at
        for crashed_at in crashes[SHOWN_BY_CRASHES:]
        if crashed_at > crashes[SHOWN_BY_CRASHES - 1] + seconds
    ]
    assert len(late) <= count, crashes
