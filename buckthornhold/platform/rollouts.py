"""Decodes the operator's rollout orders and encodes their statuses."""

import json

import pydantic

from buckthornhold import stores
from buckthornhold.coordination import version_moves

#: Prefixes of the orders, one for each service, and of their statuses.
PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"
#: The operator's names for the states of a move.
STATE_NAMES = {
    version_moves.State.TRIAL: "running",
    version_moves.State.SWITCHING: "running",
    version_moves.State.DONE: "completed",
    version_moves.State.TAKEN_BACK: "rolled_back",
}


class _Order(pydantic.BaseModel, extra="ignore", frozen=True):
    """An order; unknown fields of newer formats are ignored."""

    service: str
    #: The version to move to, not a host.
    target: str
    durationS: pydantic.FiniteFloat


def decode(entry: stores.Entry) -> version_moves.Order | None:
    """Return the order in an entry, or None if the key is not an order's.

    Raises ValueError for an invalid order.
    """
    if not entry.key.startswith(PREFIX):
        return None
    order = _Order.model_validate_json(entry.value)
    return version_moves.Order(
        service=order.service,
        version=order.target,
        seconds=order.durationS,
        number=entry.version,
    )


def encode(progress: version_moves.Progress) -> tuple[str, str]:
    """Return the key and the text of a move's status."""
    order = progress.order
    status = {
        "service": order.service,
        "target": order.version,
        "state": STATE_NAMES[progress.state],
    }
    return STATUS_PREFIX + order.service, json.dumps(status)
