"""Bytes of summaries that one host sends and takes, by the fleet's size.

Messages are built with names as long as real ones and are not sent, so what
HTTP/2 adds is left out. Prints JSON.
"""

import collections
import json

from buckthornhold import summaries
from buckthornhold import summary_aggregates
from buckthornhold.peers import summaries_pb2

#: Hosts, availability zones, upstreams and workspaces.
SIZES = ((9, 3, 14, 5), (82, 3, 48, 16), (390, 5, 600, 16))
WINDOWS = 2
WINDOW = 353445120


def make_summary(number: int, upstreams: int, workspaces: int):
    """Return what one host would tell with requests everywhere."""
    summary = summaries_pb2.Summary(
        host=f"front-port-of-spain-{number}",
        zone="port-of-spain",
        incarnation=1774430466624267396,
        number=1000,
        time_of_day=1.77e9,
    )
    for place in range(upstreams):
        summary.loads.add(
            upstream=f"i-{place:010x}",
            requests=3,
            tokens=9000,
            ended=900,
            failed=9,
        )
    for window in range(WINDOWS):
        counts = {f"name{place:03}": 40 for place in range(workspaces)}
        summary.counts.add(window=WINDOW + window, counts=counts)
    for place in range(workspaces):
        summary.uses.add(workspace=f"name{place:03}", units=1234567.0)
    summary.demands["service1"] = 0.7
    summary.demands["service2"] = 0.3
    return summary


def measure(hosts: int, zones: int, upstreams: int, workspaces: int) -> dict:
    """Return the sizes and rates for one size of fleet."""
    own = make_summary(1, upstreams, workspaces)
    others = [
        make_summary(number, upstreams, workspaces) for number in range(2, 6)
    ]
    size = own.ByteSize()
    in_zone = hosts / zones
    interval = summaries.INTERVAL_SECONDS * max(
        1.0, in_zone / summaries.FULL_RATE_ZONE_HOSTS
    )
    row = {
        "hosts": hosts,
        "upstreams": upstreams,
        "workspaces": workspaces,
        "message_bytes": size,
        "interval": round(interval, 2),
    }
    if hosts - 1 <= summaries.FULL_MESH_MAX_PEERS:
        rate = (hosts - 1) * size / interval
        return row | {
            "out_per_second": round(rate),
            "in_per_second": round(rate),
        }
    total = summary_aggregates.aggregate_summaries(
        "front-port-of-spain-1/sum",
        own,
        fresh=others,
        known=others,
        increases=collections.Counter(),
        time_of_day=1.77e9,
    )
    answer = total.ByteSize()
    return row | {
        "sum_bytes": answer,
        "out_per_second": round(size / interval),
        "in_per_second": round(answer / interval),
        "collector_out_per_second": round(
            (in_zone - 1 + zones - 1) * answer / interval
        ),
        "collector_in_per_second": round(
            ((in_zone - 1) * size + (zones - 1) * answer) / interval
        ),
    }


def main() -> None:
    """Print the sizes for all sizes of fleets."""
    print(json.dumps([measure(*size) for size in SIZES], indent=2))


if __name__ == "__main__":
    main()
