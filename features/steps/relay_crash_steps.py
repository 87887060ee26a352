"""Steps for requests that crash the upstreams that execute them."""

import asyncio
import time

import behave

from buckthornhold.standins import users_platforms
from testbed import relay_fleets

CRASHING_BODY = b"crashes whoever runs it"
#: Time until a crashed upstream returns.
RETURN_SECONDS = 0.5
#: Time between two copies of the request.
PAUSE_SECONDS = 0.7
ADDED_UPSTREAMS = 4


class CrashingWorker(users_platforms.WireWorker):
    """An upstream that crashes when it receives a certain body."""

    def __init__(self, *, crash, **kwargs) -> None:
        super().__init__(**kwargs)
        self._crash = crash
        self.crashed_at: list[float] = []

    async def answer(self, request):
        if await request.read() != CRASHING_BODY:
            return await super().answer(request)
        self.crashed_at.append(time.monotonic())
        await self._crash(self.name)
        raise ConnectionResetError("crashed")


class CrashFleet(relay_fleets.RelayFleet):
    """Relay hosts with upstreams that crash and return."""

    def _make_worker(self, name, events):
        return CrashingWorker(name=name, events=events, crash=self._crash)

    async def _crash(self, name: str) -> None:
        link = self.upstream_links[name]
        await link.refuse()
        link.reset()
        asyncio.get_running_loop().create_task(self._return(name))

    async def _return(self, name: str) -> None:
        await asyncio.sleep(RETURN_SECONDS)
        await self.upstream_links[name].accept()
        self.list_worker(name, born=time.time_ns() // 1_000_000)

    def list_crashes(self) -> list[float]:
        """Return the times of the upstreams' crashes, in order."""
        found = [worker.crashed_at for worker in self.workers.values()]
        return sorted(moment for moments in found for moment in moments)


@behave.fixture
def run_crash_fleet(context, hosts):
    fleet = CrashFleet(hosts=hosts, linked=True)
    fleet.start()
    for number in range(3, 3 + ADDED_UPSTREAMS):
        fleet.run(fleet.add_worker(f"plain-{number}", 0))
        fleet.run(fleet.add_worker(f"model-{number}", relay_fleets.EVENTS))
    fleet.run(asyncio.sleep(1.0))
    yield fleet
    fleet.stop()


@behave.given(
    "wire: {count:d} relay hosts before upstreams that can be crashed"
)
def use_crash_fleet(context, count):
    context.fleet = behave.use_fixture(run_crash_fleet, context, hosts=count)
    context.copies = []


@behave.when(
    "wire: a crashing request is sent to {path} {count:d} times, at hosts in "
    "turn"
)
def send_copies(context, path, count):
    fleet = context.fleet

    async def run():
        for number in range(count):
            host = number % len(fleet.hosts)
            before = len(fleet.list_crashes())
            answer = await fleet.send(path, host=host, body=CRASHING_BODY)
            ran = len(fleet.list_crashes()) - before
            context.copies.append((answer.status, ran))
            await asyncio.sleep(PAUSE_SECONDS)

    fleet.run(run())


@behave.then("wire: at most {count:d} upstreams have crashed")
def check_crashes(context, count):
    found = len(context.fleet.list_crashes())
    assert 1 <= found <= count, (found, context.copies)


@behave.then(
    "wire: at most {count:d} of them more than {seconds:g} seconds after the "
    "third"
)
def check_late_crashes(context, count, seconds):
    crashes = context.fleet.list_crashes()
    late = [
        crashed_at
        for crashed_at in crashes[3:]
        if crashed_at > crashes[2] + seconds
    ]
    assert len(late) <= count, crashes


@behave.then(
    "wire: its last copies were refused with {status:d} and not executed"
)
def check_refused(context, status):
    assert context.copies[-3:] == [(status, 0)] * 3, context.copies


@behave.then("wire: other requests to {path} are served by each host")
def check_others_served(context, path):
    fleet = context.fleet
    for host in range(len(fleet.hosts)):
        answer = fleet.run(fleet.send(path, host=host, body=b"another"))
        assert answer.status == 200, answer.status
        assert not answer.broken


@behave.then("wire: the same request to {path} is served by each host")
def check_same_served(context, path):
    fleet = context.fleet
    for host in range(len(fleet.hosts)):
        answer = fleet.run(fleet.send(path, host=host))
        assert answer.status == 200, answer.status


@behave.when("wire: links between hosts are cut")
def cut_peer_links(context):
    for link in context.fleet.peer_links.values():
        link.harm("silence")


@behave.when("wire: all hosts restart")
def restart_hosts(context):
    context.fleet.run(context.fleet.restart_hosts())


@behave.when(
    "wire: {count:d} other requests to {path} are running while it is sent "
    "{copies:d} times"
)
def send_beside(context, count, path, copies):
    fleet = context.fleet
    for worker in fleet.workers.values():
        worker.work_seconds = 0.2

    async def call(number):
        """Send a request as clients do, with one retry."""
        for attempt in range(2):
            answer = await fleet.send(
                path,
                host=(number + attempt) % len(fleet.hosts),
                body=f"other {number}".encode(),
            )
            if answer.status == 200 and not answer.broken:
                break
        return answer

    async def run():
        answers = []
        for number in range(copies):
            others = [
                asyncio.ensure_future(call(number * count + other))
                for other in range(count)
            ]
            await asyncio.sleep(0.05)
            await fleet.send(
                path, host=number % len(fleet.hosts), body=CRASHING_BODY
            )
            answers += await asyncio.gather(*others)
        return answers

    context.others = fleet.run(run())


@behave.then("wire: each of the others is served, at the latest on its retry")
def check_beside(context):
    assert 1 <= len(context.fleet.list_crashes()) <= 3
    failed = [
        (answer.status, answer.body)
        for answer in context.others
        if answer.status != 200 or answer.broken
    ]
    assert not failed, failed


@behave.when("wire: upstreams abort {path} {count:d} times and keep running")
def abort_requests(context, path, count):
    fleet = context.fleet

    async def run():
        for number in range(count):
            for worker in fleet.workers.values():
                worker.script = ["lost"]
            await fleet.send(path, host=number % len(fleet.hosts))
        for worker in fleet.workers.values():
            worker.script = []

    fleet.run(run())
