"""Seeded runs of the choice of upstreams, without a network.

Hosts see each other's loads 0.5 to 2 s late. ``today`` are the routers of
``relay_routers``, ``paced`` those of ``paced_routers``, and ``all`` knows the
state of every upstream. Prints JSON: for engines the utilisation of the
busiest over the mean (work by capacity), times of the first event in seconds
and the tokens that were read again; for plain services the times of calls and
the calls that an upstream refused as full.
"""

import argparse
import json

from testbed import uneven_loads

RUN_SECONDS = 30.0


def run_case(
    case: str, *, hosts: int, kind: str, seed: int, seconds: float, rate: float
) -> dict:
    """Run one case and return its figures."""
    options = {"hosts": hosts, "kind": kind, "seed": seed}
    bench: uneven_loads.EngineBench | uneven_loads.PlainBench
    if case.startswith("plain"):
        bench = uneven_loads.PlainBench(upstreams=int(case[-1]), **options)
    else:
        factors = (
            uneven_loads.UNEVEN_PACES
            if case == "uneven"
            else uneven_loads.EQUAL_PACES
        )
        bench = uneven_loads.EngineBench(
            engines=36, pace_factors=factors, rate=rate, **options
        )
    bench.run(seconds)
    return bench.summarize()


def main() -> None:
    """Play the cases and print the figures."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--hosts", type=int, nargs="*", default=[9, 91, 390])
    parser.add_argument(
        "--cases", nargs="*", default=["uneven", "equal", "plain3", "plain4"]
    )
    parser.add_argument("--kinds", nargs="*", default=["today", "paced"])
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2, 3])
    parser.add_argument("--seconds", type=float, default=RUN_SECONDS)
    parser.add_argument("--rate", type=float, default=uneven_loads.ENGINE_RATE)
    arguments = parser.parse_args()
    for case in arguments.cases:
        for hosts in arguments.hosts:
            for kind in [*arguments.kinds, "all"]:
                for seed in arguments.seeds:
                    figures = run_case(
                        case,
                        hosts=hosts,
                        kind=kind,
                        seed=seed,
                        seconds=arguments.seconds,
                        rate=arguments.rate,
                    )
                    row = {"case": case, "hosts": hosts, "kind": kind}
                    print(json.dumps({**row, "seed": seed, **figures}))


if __name__ == "__main__":
    main()
