"""Processor time of one choice of an upstream by the number of engines.

Prints JSON: microseconds for each choice on a host of a fleet of 390 that
knows all engines of a service: the list of upstreams, then the router's
choice. ``scan`` reads and filters all upstreams each time, as was done
before the index by service; ``indexed`` uses it. Each is measured with the
routers of ``relay_routers`` and of ``paced_routers``.
"""

import json
import statistics
import time
import types

from buckthornhold import engine_speeds
from buckthornhold import logs
from buckthornhold import paced_routers
from buckthornhold import relay_routers
from buckthornhold import relay_upstreams
from buckthornhold import service_indexes
from buckthornhold import upstream_directories
from buckthornhold.coordination import pause_detectors
from buckthornhold.scheduling import paces

ENGINE_COUNTS = (36, 600)
SERVICES = ("s", "other")
SLOTS = 32
IN_FLIGHT = 12
REMOTE_LOAD = 9
#: Tokens that wait at every tenth engine.
REMOTE_TOKENS = 4000
ROUNDS = 600
REPEATS = 5
#: Time between two choices on one host; tables are used for a second.
ARRIVAL_SECONDS = 0.1
MICROSECONDS = 1_000_000


def make_upstreams(count: int) -> relay_upstreams.RelayUpstreams:
    """Return a host's upstreams: so many engines, and another service's."""
    records = [
        upstream_directories.UpstreamRecord(
            name=f"{service}{number}",
            service=service,
            address="",
            zone="abc"[number % 3],
            slots=SLOTS,
        )
        for service in SERVICES
        for number in range(count)
    ]
    directory = types.SimpleNamespace(
        generation=0, list_records=lambda: list(records)
    )
    host = types.SimpleNamespace(
        logger=logs.bind(host="h", zone="a"),
        directory=directory,
        summaries=types.SimpleNamespace(add_source=lambda fill: None),
        engine_speeds=engine_speeds.EngineSpeeds(),
    )
    upstreams = relay_upstreams.RelayUpstreams(host=host)
    upstreams.refresh()
    now = pause_detectors.read_boot_clock()
    for number, upstream in enumerate(upstreams.list_all()):
        waiting = [] if number % 10 else [(REMOTE_TOKENS, now)]
        upstream.set_remote_load(REMOTE_LOAD, waiting)
    for upstream in upstreams.list_service(SERVICES[0])[:IN_FLIGHT]:
        upstream.record_request()
    return upstreams


def list_by_scan(upstreams: relay_upstreams.RelayUpstreams, service: str):
    """Return what ``list_service`` returns, from all upstreams."""
    upstreams.refresh()
    now = time.monotonic()
    active = [
        it
        for it in upstreams.list_all()
        if it.record.service == service
        and not it.leaving
        and upstreams._backoffs.admits(it.key, it.in_flight)
    ]
    healthy = [
        it for it in active if it.paused_until <= now and not it.is_silent(now)
    ]
    return service_indexes.exclude_failing(healthy) or healthy or active


def measure(choose) -> float:
    """Return the median of some runs, in microseconds a choice."""
    found = []
    for _ in range(REPEATS):
        started = time.process_time()
        for number in range(ROUNDS):
            choose(number)
        found.append((time.process_time() - started) / ROUNDS)
    return round(statistics.median(found) * MICROSECONDS, 1)


def measure_engines(count: int) -> dict:
    """Measure all ways with so many engines."""
    upstreams = make_upstreams(count)
    speeds = engine_speeds.EngineSpeeds()
    ticks = iter(range(1_000_000_000))
    routers = {
        "today": relay_routers.EngineRouter(zone="a", speeds=speeds),
        "paced": paced_routers.PacedEngineRouter(
            zone="a",
            speeds=speeds,
            joint_paces=paces.JointPaces(clock=time.monotonic),
            clock=lambda: next(ticks) * ARRIVAL_SECONDS / 2,
        ),
    }
    row: dict = {"engines": count}
    busy = upstreams.list_service(SERVICES[0])[:IN_FLIGHT]
    for way, list_service in (
        ("scan", lambda: list_by_scan(upstreams, SERVICES[0])),
        ("indexed", lambda: upstreams.list_service(SERVICES[0])),
    ):
        row[f"{way} list"] = measure(lambda _, run=list_service: run())
        for name, router in routers.items():

            def choose(number, router=router, run=list_service):
                workload = relay_routers.Workload(
                    prefix=f"p{number % 97}",
                    shared_tokens=1500,
                    own_tokens=900,
                )
                for it in busy:
                    it.record_activity()
                router.choose(run(), workload)

            row[f"{way} {name}"] = measure(choose)
    return row


def main() -> None:
    """Measure and print the figures."""
    rows = [measure_engines(count) for count in ENGINE_COUNTS]
    print(json.dumps({"rows": rows}, indent=1))


if __name__ == "__main__":
    main()
