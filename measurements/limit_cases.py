"""Requests, sizes and totals of the runs of shared limits."""

import dataclasses
import random

from buckthornhold import limit_uses

WINDOW_SECONDS = 8.0
#: Sizes in tokens with their weights and urgencies.
KINDS = ((9250, 122, 0), (2400, 148, 1), (960, 102, 2), (200, 130, 2))
LARGEST = 30_000
LARGEST_SHARE = 0.02
PLAIN_TOKENS = 200
#: Time that callers have; they return within a third of what is left.
CALLER_SECONDS = 10.0
#: Sizes of calm cases are Pareto-distributed within these bounds.
CALM_SIZES = (800.0, 11_000.0)
CALM_TAIL = 1.1


@dataclasses.dataclass(frozen=True, kw_only=True)
class Request:
    """One request; ``tries`` counts its refusals."""

    units: float
    urgency: int
    deadline: float
    tries: int = 0


def draw_calm_size(draw: random.Random) -> float:
    """Return a size of a calm case."""
    least, most = CALM_SIZES
    rest = 1 - (least / most) ** CALM_TAIL
    return least * (1 - draw.random() * rest) ** (-1 / CALM_TAIL)


def compute_calm_mean() -> float:
    """Return the mean size of calm cases."""
    least, most = CALM_SIZES
    part = (least / most) ** CALM_TAIL
    factor = CALM_TAIL / (CALM_TAIL - 1)
    return factor * (least - most * part) / (1 - part)


def read_totals(use) -> dict:
    """Return a use's totals by name."""
    if use is None:
        return {}
    return {
        "units": use.admitted,
        **{f"{kind}": units for kind, units in use.requested.items()},
    }


def make_use(totals: dict):
    """Return a use from totals by name."""
    return limit_uses.Use(
        admitted=totals.get("units", 0.0),
        requested={
            int(name): units
            for name, units in totals.items()
            if name != "units"
        },
    )
