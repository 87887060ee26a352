"""Sizes of calm cases, and totals by name, of the runs of shared limits."""

import random

from buckthornhold import limit_uses

#: Sizes of calm cases are Pareto-distributed within these bounds.
CALM_SIZES = (800.0, 11_000.0)
CALM_TAIL = 1.1


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
