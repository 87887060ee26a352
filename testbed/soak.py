"""A seeded soak of relay hosts: ``python -m testbed.soak --seed 7``.

Hosts are the daemon's own processes on loopback; links, signals, clocks and
the store's stand-in misbehave by a plan that the seed gives. What callers
and upstreams saw is held against the promises. A plan is repeatable, what
the processes make of it is not.
"""

import argparse
import asyncio
import collections
import logging
import pathlib
import random
import shutil
import signal
import sys
import tempfile
import time

from buckthornhold.standins import users_clouds
from testbed import soak_callers
from testbed import soak_fleets
from testbed import soak_histories
from testbed import soak_plans

#: How hosts end without an answer of ours: by what was sent to them.
KILLED = -signal.SIGKILL
#: How slow the store and upstreams become, in seconds.
SLOW_STORE = 0.7
SLOW_WORK = 0.5
#: How the next requests at an upstream end.
ODD_ANSWERS = ("lost", "cut", "crossed", "500", "not_run", "extra")
ODD_STREAMS = ("lost", "cut", "mute", "not_run")
#: Requests that an upstream refuses with a time for which it wants none.
REFUSALS = 3
#: Odd answers that are given out at once, and the time to the next, in s.
ODD_ANSWERS_AT_ONCE = 3
ODD_ANSWERS_PAUSE = 0.2
#: Part of a drill's time for which the store is down; for the rest it lacks
#: what operators and upstreams wrote.
RESTORE_SHARE = 0.5
#: What each caller may still send once all is mended, in seconds.
CALM_SECONDS = 2.0
KEPT_SEEDS = pathlib.Path(__file__).with_name("soak_seeds.txt")


class Soak:
    """Plays one seed's plan over a fleet."""

    def __init__(self, *, fleet: soak_fleets.SoakFleet, seed: int) -> None:
        self._fleet = fleet
        self._history = fleet.history
        self._rng = random.Random(f"soak answers {seed}")

    async def play(self, faults: list[soak_plans.SoakFault]) -> None:
        """Bring all faults, each in its time, and mend them."""
        started = time.monotonic()
        async with asyncio.TaskGroup() as group:
            for fault in faults:
                group.create_task(self._play_one(fault, started))

    async def _play_one(
        self, fault: soak_plans.SoakFault, started: float
    ) -> None:
        await asyncio.sleep(started + fault.start - time.monotonic())
        begin = getattr(self, f"_harm_{fault.group.replace(' ', '_')}")
        await begin(fault)

    def _disturb(self, name: str, fault: soak_plans.SoakFault) -> None:
        now = time.monotonic()
        self._history.disturbed[name].append((now, now + fault.length))

    def _disturb_all(self, fault: soak_plans.SoakFault) -> None:
        for process in self._fleet.processes:
            self._disturb(process.name, fault)

    async def _harm_host(self, fault: soak_plans.SoakFault) -> None:
        processes = self._fleet.processes
        await self._harm_process(
            processes[fault.target % len(processes)], fault
        )

    async def _harm_all_hosts(self, fault: soak_plans.SoakFault) -> None:
        async with asyncio.TaskGroup() as group:
            for process in self._fleet.processes:
                group.create_task(self._harm_process(process, fault))

    async def _harm_process(
        self, process: soak_fleets.SoakHost, fault: soak_plans.SoakFault
    ) -> None:
        if process.busy:
            return
        process.busy = True
        try:
            await self._harm_idle(process, fault)
        finally:
            process.busy = False

    async def _harm_idle(self, process, fault) -> None:
        if fault.kind == "reload":
            process.send(signal.SIGHUP)
            return
        if fault.kind == "stop":
            self._history.planned[process.name].append(time.monotonic())
            status = await process.end(signal.SIGTERM)
            if status != 0:
                process.note_end()
        else:
            self._disturb(process.name, fault)
        if fault.kind == "step clock":
            process.send(signal.SIGUSR1)
            return
        if fault.kind == "freeze":
            process.send(signal.SIGSTOP)
            await asyncio.sleep(fault.length)
            process.send(signal.SIGCONT)
            return
        if fault.kind == "kill":
            if await process.end(signal.SIGKILL) != KILLED:
                process.note_end()
            await asyncio.sleep(fault.length)
        await process.start()
        self._disturb(process.name, fault)

    async def _harm_store_link(self, fault) -> None:
        number = fault.target % len(self._fleet.store_links)
        self._disturb(self._fleet.processes[number].name, fault)
        await self._harm_link(self._fleet.store_links[number], fault)

    async def _harm_caller_link(self, fault) -> None:
        number = fault.target % len(self._fleet.caller_links)
        self._disturb(self._fleet.processes[number].name, fault)
        await self._harm_link(self._fleet.caller_links[number], fault)

    async def _harm_upstream_link(self, fault) -> None:
        self._disturb_all(fault)
        await self._harm_link(
            self._fleet.upstream_links[self._pick_upstream(fault)], fault
        )

    async def _harm_peer_link(self, fault) -> None:
        pairs = sorted(self._fleet.peer_links)
        pair = pairs[fault.target % len(pairs)]
        for number in pair:
            self._disturb(self._fleet.processes[number].name, fault)
        await self._harm_link(self._fleet.peer_links[pair], fault)

    async def _harm_zone(self, fault) -> None:
        self._disturb_all(fault)
        zones = sorted({it.settings["zone"] for it in self._fleet.processes})
        zone = zones[fault.target % len(zones)]
        await self._harm_links(self._fleet.list_zone_links(zone), fault)

    async def _harm_link(self, link, fault) -> None:
        await self._harm_links([link], fault)

    async def _harm_links(self, links, fault) -> None:
        for link in links:
            link.harm(fault.kind)
        await asyncio.sleep(fault.length)
        for link in links:
            link.harm("")

    async def _harm_store(self, fault) -> None:
        self._disturb_all(fault)
        store = self._fleet.store
        if fault.kind == "lost answers":
            store.lost_answers += 5
        if fault.kind == "forget history":
            store.forget_history()
        if fault.kind == "down":
            store.down = True
            await asyncio.sleep(fault.length)
            store.down = False
        if fault.kind == "slow":
            store.delay_seconds = SLOW_STORE
            await asyncio.sleep(fault.length)
            store.delay_seconds = 0.0

    async def _harm_store_copy(self, fault) -> None:
        """Take the store down and bring it up as an older copy.

        The operator and the upstreams write again what they wrote.
        """
        self._disturb_all(fault)
        store = self._fleet.store
        store.down = True
        await asyncio.sleep(fault.length * RESTORE_SHARE)
        store.restore_older(self._rng.uniform(*soak_plans.COPY_AGES))
        store.down = False
        await asyncio.sleep(fault.length * (1 - RESTORE_SHARE))
        store.write_again()

    async def _harm_upstream(self, fault) -> None:
        name = self._pick_upstream(fault)
        worker = self._fleet.workers[name]
        link = self._fleet.upstream_links[name]
        if fault.kind == "odd answers":
            words = ODD_STREAMS if worker.events else ODD_ANSWERS
            ends = time.monotonic() + fault.length
            while time.monotonic() < ends:
                worker.script += self._rng.choices(
                    words, k=ODD_ANSWERS_AT_ONCE
                )
                await asyncio.sleep(ODD_ANSWERS_PAUSE)
        if fault.kind == "slow answers":
            worker.work_seconds = SLOW_WORK
            await asyncio.sleep(fault.length)
            worker.work_seconds = soak_fleets.WORK_SECONDS
        if fault.kind == "crash":
            link.closed = True
            link.reset()
            await asyncio.sleep(fault.length)
            link.closed = False
        if fault.kind == "goes dark" and not link.dark:
            await link.go_dark()
            await asyncio.sleep(fault.length)
            await link.return_from_dark()
        if fault.kind == "drain":
            self._fleet.list_worker(name, state="draining")
            begun = time.monotonic()
            await asyncio.sleep(fault.length)
            self._history.drained[name].append((begun, time.monotonic()))
            self._fleet.list_worker(name)
        if fault.kind == "wants a pause":
            worker.extra_fields = {"Retry-After": f"{fault.length / 2:.2f}"}
            worker.script += ["not_run"] * REFUSALS
            await asyncio.sleep(fault.length)
            worker.extra_fields = {}
        if fault.kind == "says it leaves":
            worker.extra_fields = {"Server-Leaving": "1"}
            begun = time.monotonic()
            await asyncio.sleep(fault.length + soak_histories.DRAIN_SECONDS)
            self._history.announced[name].append((begun, time.monotonic()))
            worker.extra_fields = {}
            # It starts anew under its name; who knows it as leaving may send.
            self._fleet.list_worker(name, born=time.time_ns() // 1_000_000)
        if fault.kind == "swap address":
            await self._swap_addresses(name, fault)

    async def _swap_addresses(self, name, fault) -> None:
        """Give an upstream's address to another one of its kind."""
        others = [
            it
            for it, worker in self._fleet.workers.items()
            if bool(worker.events) == bool(self._fleet.workers[name].events)
        ]
        other = others[(others.index(name) + 1) % len(others)]
        links = self._fleet.upstream_links
        links[name].target, links[other].target = (
            links[other].target,
            links[name].target,
        )
        await asyncio.sleep(fault.length)
        links[name].target, links[other].target = (
            links[other].target,
            links[name].target,
        )

    async def _harm_operator(self, fault) -> None:
        if fault.kind == "revoke key" and len(self._fleet.keys) > 1:
            key = self._fleet.keys.pop()
            self._history.revoked[key] = time.monotonic()
        self._fleet.write_configuration()

    def _pick_upstream(self, fault) -> str:
        names = sorted(self._fleet.workers)
        return names[fault.target % len(names)]


async def run_seed(options, seed: int, folder: pathlib.Path) -> list[str]:
    """Play a seed; return what was promised and not kept."""
    faults = soak_plans.drop_clashes(
        soak_plans.plan_faults(seed=seed, seconds=options.seconds)
    )
    # Told to end, the soak ends its hosts as well.
    asyncio.get_running_loop().add_signal_handler(
        signal.SIGTERM, asyncio.current_task().cancel
    )
    fleet = soak_fleets.SoakFleet(hosts=options.hosts, folder=folder)
    fleet.history.timed = not options.untimed
    found = []
    try:
        await fleet.begin()
        soak = Soak(fleet=fleet, seed=seed)
        async with soak_callers.Crowd(fleet=fleet, seed=seed, each=3):
            await soak.play(faults)
            if not await fleet.wait_ready():
                found.append("a host isn't ready after all was mended")
            await asyncio.sleep(soak_histories.CONTACT_SECONDS)
            fleet.history.calm_since = time.monotonic()
            await asyncio.sleep(CALM_SECONDS)
        statuses = await asyncio.gather(
            *(it.end(signal.SIGTERM) for it in fleet.processes)
        )
        if any(statuses):
            found.append(f"told to stop, the hosts exit with {statuses}")
    finally:
        await fleet.end()
    for process in fleet.processes:
        for status in process.unasked_ends:
            found.append(f"{process.name} ended by itself with {status}")
    for window in fleet.cloud.conflicts:
        found.append(f"two reports for the window {window}")
    found += list_shared_tokens(fleet.cloud.calls)
    found += soak_histories.check(fleet.history)
    report(seed, faults, fleet.history, found)
    return found


def list_shared_tokens(calls: list[users_clouds.CloudCall]) -> list[str]:
    """Return the fencing tokens under which two holders have acted."""
    holders = collections.defaultdict(set)
    for call in calls:
        holders[call.fence].add(call.holder)
    return [
        f"token {fence} of {', '.join(sorted(names))}"
        for fence, names in holders.items()
        if len(names) > 1
    ]


def read_kept_seeds() -> list[int]:
    """Return the seeds that once broke a promise."""
    lines = KEPT_SEEDS.read_text().splitlines()
    return [int(it.split()[0]) for it in lines if not it.startswith("#")]


def report(seed, faults, history, found) -> None:
    """Print what a seed did and found."""
    requests = history.requests.values()
    served = sum(it.status == 200 and it.whole for it in requests)
    print(
        f"seed {seed}: {len(faults)} faults, {len(requests)} requests, "
        f"{served} served, {sum(len(it.runs) for it in requests)} runs, "
        f"{len(found)} promises broken",
        flush=True,
    )
    for text in found:
        print(f"  {text}", flush=True)


def main() -> None:
    """Play the seeds that are asked for; exit with 1 if one is broken."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--seed", type=int, default=1, help="the first one")
    parser.add_argument("--count", type=int, default=1, help="how many seeds")
    parser.add_argument("--hosts", type=int, default=4, help="relay hosts")
    parser.add_argument(
        "--seconds", type=float, default=12.0, help="in which faults begin"
    )
    parser.add_argument(
        "--keep", type=pathlib.Path, help="folder for logs of broken seeds"
    )
    parser.add_argument(
        "--untimed",
        action="store_true",
        help="don't judge promises with a time, as on a busy machine",
    )
    parser.add_argument(
        "--kept", action="store_true", help="the seeds that once failed"
    )
    options = parser.parse_args()
    # Workers' connections are broken on purpose; the server logs each one.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    broken = 0
    seeds = list(range(options.seed, options.seed + options.count))
    if options.kept:
        seeds = read_kept_seeds()
    for seed in seeds:
        with tempfile.TemporaryDirectory() as name:
            folder = pathlib.Path(name)
            found = asyncio.run(run_seed(options, seed, folder))
            broken += bool(found)
            if found and options.keep:
                shutil.copytree(
                    folder, options.keep / f"seed-{seed}", dirs_exist_ok=True
                )
    print(f"{len(seeds) - broken} seeds passed, {broken} broken")
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
