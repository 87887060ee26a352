"""A process that holds a role when it can, and the checker of holders.

Run as a program it writes its history as JSON lines to a file: ``taken``
and ``lost`` with the fencing number, and ``acted`` for each moment at which
it believed to be the holder. Times are of a clock that all processes share.
"""

import argparse
import asyncio
import json

import loguru

from buckthornhold import clients
from buckthornhold import counters
from buckthornhold import stores
from buckthornhold.coordination import leases
from buckthornhold.coordination import pause_detectors

ACT_INTERVAL = 0.02


def check_holders(lines: list[str]) -> list[str]:
    """Return what is wrong with a history of holders of one role."""
    events = [json.loads(line) for line in lines]
    events.sort(key=lambda it: it["time"])
    wrong = []
    newest = {"fence": 0, "holder": ""}
    for event in events:
        if event["kind"] == "taken":
            if event["fence"] <= newest["fence"]:
                wrong.append(f"fence {event['fence']} after {newest}")
            newest = event
            continue
        if event["kind"] != "acted":
            continue
        if event["holder"] != newest["holder"]:
            wrong.append(f"{event} while {newest} is the holder")
    return wrong


async def hold(arguments: argparse.Namespace) -> None:
    """Try to hold the role for good and record what was believed."""

    def record(kind: str, fence: int) -> None:
        event = {
            "kind": kind,
            "time": pause_detectors.read_boot_clock(),
            "holder": arguments.name,
            "fence": fence,
        }
        with open(arguments.history, "a") as history:
            history.write(json.dumps(event) + "\n")

    def notice(taken: bool) -> None:
        held = keeper.active_lease
        record("taken" if taken else "lost", held.fence if held else 0)

    async with clients.make_session() as session:
        keeper = leases.LeaderElector(
            store=stores.HttpStore(
                session=session, address=arguments.platform, timeout=0.3
            ),
            role="mover",
            holder=arguments.name,
            ttl=arguments.ttl,
            margin=arguments.ttl / 5,
            notify=notice,
            logger=loguru.logger,
            counters=counters.Counters(address=None, prefix=""),
        )
        await keeper.start()
        while True:
            held = keeper.active_lease
            if held is not None:
                record("acted", held.fence)
            await asyncio.sleep(ACT_INTERVAL)


def main() -> None:
    """Run one process that tries to hold the role."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--platform", required=True)
    parser.add_argument("--name", required=True)
    parser.add_argument("--history", required=True)
    parser.add_argument("--ttl", type=float, default=1.5)
    asyncio.run(hold(parser.parse_args()))


if __name__ == "__main__":
    main()
