"""Healths: what became of an upstream whose stream broke."""

import asyncio
import enum

from buckthornhold import engines
from buckthornhold import upstreams

LIVENESS_TIMEOUT = 0.5
LIVENESS_TRIES = 2


class Health(enum.StrEnum):
    """What became of an upstream whose stream broke."""

    ALIVE = "alive"
    CRASHED = "crashed"
    UNREACHABLE = "unreachable"


async def check_health(upstream: upstreams.Upstream) -> Health:
    """Ask an upstream whether it is still the same process.

    One that refuses, or answers as another incarnation, has crashed; one
    that is silent may be cut off.
    """
    for _ in range(LIVENESS_TRIES):
        try:
            async with asyncio.timeout(LIVENESS_TIMEOUT):
                load = await upstream.engine.fetch_load()
        except TimeoutError:
            return Health.UNREACHABLE
        if not isinstance(load, engines.Load):
            continue
        same = load.incarnation == upstream.record.incarnation
        return Health.ALIVE if same else Health.CRASHED
    return Health.CRASHED
