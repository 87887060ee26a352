"""Memory of one relay host while long bodies come at once.

``python -m measurements.body_memory --clients 70 --kind chunked`` starts one
host as a process, with upstreams beside it, and prints JSON: the most resident
memory of the process, and what became of long and of short requests.
"""

import argparse
import asyncio
import json
import logging

from testbed import long_bodies


def main() -> None:
    """Measure once, and print JSON."""
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--clients", type=int, default=70)
    parser.add_argument("--kind", choices=long_bodies.KINDS, default="length")
    options = parser.parse_args()
    print(
        json.dumps(
            asyncio.run(long_bodies.measure(options.clients, options.kind))
        )
    )


if __name__ == "__main__":
    main()
