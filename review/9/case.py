"""All entry hosts are killed while the store goes back to an older copy.

The store is away for a second and comes back from a copy 6 s old, with its
next era. All processes are killed as it goes away and are started again as it
is back. What operators and workers wrote is written again.

With PART=kill only the processes are killed, with PART=store only the store
goes back.
"""

import asyncio
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import fleet_2  # noqa: E402

COPY_AGE_SECONDS = 6.0
AWAY_SECONDS = 1.0
#: Time before the trouble, in which some windows are reported.
QUIET_SECONDS = 20.0
#: Time after the trouble: two windows and the time in which they are due.
REST_SECONDS = 18.0
REQUEST_PAUSE_SECONDS = 0.05
#: A window is reported every 5 s.
REPORT_POLLS = 200


async def run(fleet: fleet_2.Fleet) -> bool:
    """Return whether the rule ONE held."""
    fleet.store.era = 0

    async def serve(worker, request, writer) -> bool:
        fleet.record.write(f"{request.id} run by {worker.name}")
        return await fleet_2.serve_plainly(worker, request, writer)

    for number in range(2):
        await fleet.add_worker(f"plain-{number}", "desk", serve)
    fleet.routes = [
        fleet_2.make_route("look", "idempotent", "desk", maxAttempts=2)
    ]
    fleet.configure()
    await fleet.start()
    answers = {"served": 0, "other": 0}

    async def look(host, request_id: str) -> None:
        data = fleet_2.make_request("/look/a", request_id)
        answer = await fleet_2.send(host.callers, data, timeout=1.0)
        served = answer.status == 200 and answer.complete
        answers["served" if served else "other"] += 1
        fleet.record.write(f"{request_id}: {answer}")

    async def look_all() -> None:
        number = 0
        while True:
            number += 1
            for host in fleet.hosts:
                request_id = f"look-{number}-{host.name}"
                tasks.append(asyncio.ensure_future(look(host, request_id)))
            await asyncio.sleep(REQUEST_PAUSE_SECONDS)

    tasks: list[asyncio.Task] = []
    sending = asyncio.ensure_future(look_all())
    await asyncio.sleep(QUIET_SECONDS)
    reports = len(fleet.cloud.calls)
    for _ in range(REPORT_POLLS):
        if len(fleet.cloud.calls) > reports:
            break
        await asyncio.sleep(0.05)
    if fleet_2.is_troubled():
        await trouble(fleet, os.environ.get("PART", "both"))
    await asyncio.sleep(REST_SECONDS)
    sending.cancel()
    await asyncio.gather(*tasks)
    fleet.record.write(
        f"{answers['served']} requests served, {answers['other']} not"
    )
    return check_reports(fleet)


async def trouble(fleet: fleet_2.Fleet, part: str) -> None:
    """Kill all processes and restore the store, or one of the two."""
    goes_back = part != "kill"
    fleet.record.write("the store goes away" if goes_back else "no drill")
    fleet.store.down = goes_back
    if part != "store":
        for host in fleet.hosts:
            host.send(signal.SIGKILL)
            await host.process.wait()
            fleet.record.write(f"{host.name} is killed")
    await asyncio.sleep(AWAY_SECONDS)
    if goes_back:
        fleet.store.restore_older(COPY_AGE_SECONDS)
        fleet.store.down = False
        fleet.store.write_again()
        fleet.record.write(f"the store is back, era {fleet.store.era}")
    if part != "store":
        for host in fleet.hosts:
            await host.start()


def check_reports(fleet: fleet_2.Fleet) -> bool:
    """Return whether all accepted reports of a window have equal counts."""
    accepted: dict[int, dict] = {}
    conflicts = 0
    now = time.monotonic()
    for call in fleet.cloud.calls:
        if call.path != "/usage":
            continue
        window, counts = call.body["window"], call.body["counts"]
        known = accepted.setdefault(window, counts)
        conflict = call.status == 200 and known != counts
        conflicts += conflict
        fleet.record.write(
            f"{now - call.at:.1f} s ago {call.holder} reported window "
            f"{window}: {counts}, fence {call.fence}, answer {call.status}"
            f"{', other counts than before' if conflict else ''}"
        )
    return not conflicts


fleet_2.run_case(run)
