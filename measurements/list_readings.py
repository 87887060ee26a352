"""Processor time of a watcher's reading of the platform's list.

Prints JSON: milliseconds from the body on until the host's upstreams are
up to date, by the number of listed upstreams, beside 390 entry hosts, with
nothing changed since the last reading, one upstream listed anew, and a
notice running.
"""

import argparse
import asyncio
import contextlib
import json
import time

from buckthornhold import hosts
from buckthornhold import listings
from buckthornhold.coordination import broadcasts
from testbed import offline_hosts

ENTRY_COUNT = 390
ROUNDS = 20
TIMEOUT_SECONDS = 1.0
MILLISECONDS = 1000


class Platform:
    """Stands for a session whose answers are there at once."""

    def __init__(self, records: list[hosts.HostRecord]) -> None:
        self.records = records
        self.notices: list[hosts.Notice] = []
        self._body = b""

    def write(self) -> None:
        """Write the body that is read from now on."""
        values = {
            "hosts": [it.model_dump(mode="json") for it in self.records],
            "notices": [it.model_dump(mode="json") for it in self.notices],
        }
        self._body = json.dumps(values).encode()

    @contextlib.asynccontextmanager
    async def get(self, url: str, **options):
        """Answer a call."""
        yield self

    def raise_for_status(self) -> None:
        """Do nothing: the answer is right."""

    async def read(self) -> bytes:
        """Return the body."""
        return self._body

    async def json(self) -> dict:
        """Return what the body says."""
        return json.loads(self._body)


class Watcher:
    """A host that reads the list itself, whose readings are timed."""

    def __init__(
        self, front: offline_hosts.OfflineEntryHost, platform: Platform
    ) -> None:
        self._front = front
        self._platform = platform
        part = broadcasts.Broadcasts(
            table=front.members,
            transport=None,
            logger=front.logger,
            counters=front.counters,
        )
        self._listed = listings.SharedHostList(
            inner=hosts.HttpHostList(
                session=platform, address="platform", timeout=TIMEOUT_SECONDS
            ),
            table=front.members,
            broadcast=part,
            notify=front.upstreams.apply_listing,
        )

    async def read(self) -> float:
        """Read the list; return the seconds of processor time."""
        self._platform.write()
        before = time.process_time()
        self._front.upstreams.apply_listing(await self._listed.fetch())
        return time.process_time() - before

    async def measure(self, change=lambda number: None) -> float:
        """Return the milliseconds of a reading behind each change."""
        await self.read()
        spent = 0.0
        for number in range(ROUNDS):
            change(number)
            spent += await self.read()
            await asyncio.sleep(0)
        return round(spent / ROUNDS * MILLISECONDS, 3)


async def measure_size(engine_count: int) -> dict:
    """Measure a list of so many upstreams."""
    records = [
        offline_hosts.make_engine_record(it) for it in range(engine_count)
    ]
    records += [
        offline_hosts.make_entry_record(it) for it in range(ENTRY_COUNT)
    ]
    platform = Platform(records)
    front = await offline_hosts.make_host(engine_count=0)
    watcher = Watcher(front, platform)

    def replace(number: int) -> None:
        record = offline_hosts.make_engine_record(engine_count)
        platform.records = [
            *records,
            record.model_copy(update={"incarnation": number + 2}),
        ]

    try:
        row = {
            "listed": engine_count,
            "unchanged": await watcher.measure(),
            "one_changed": await watcher.measure(replace),
        }
        first = records[0]
        platform.notices = [
            hosts.Notice(
                host=first.host,
                incarnation=first.incarnation,
                seconds_left=60.0,
            )
        ]
        row["noticed"] = await watcher.measure()
        return row
    finally:
        await front.on_shutdown()


async def main() -> None:
    """Measure at several sizes and print the figures."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument(
        "--listed", type=int, nargs="*", default=[60, 600, 2400]
    )
    arguments = parser.parse_args()
    rows = [await measure_size(it) for it in arguments.listed]
    print(json.dumps({"rows": rows}, indent=1))


if __name__ == "__main__":
    asyncio.run(main())
