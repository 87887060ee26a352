"""The operator's roll-out orders, and the statuses written for them."""

import json

import pydantic

from buckthornhold import stores
from buckthornhold.coordination import version_moves

#: Below which the operator writes an order for each service, and where the
#: system answers it.
PREFIX = "op/rollout/"
STATUS_PREFIX = "status/rollout/"
#: The operator's words for a move's states.
STATE_NAMES = {
    version_moves.State.TRIAL: "running",
    version_moves.State.SWITCHING: "running",
    version_moves.State.DONE: "completed",
    version_moves.State.TAKEN_BACK: "rolled_back",
}


class _Order(pydantic.BaseModel, extra="ignore", frozen=True):
    """Fields that are not known are left out: orders may grow."""

    service: str
    #: The version to move to, not a host.
    target: str
    durationS: pydantic.FiniteFloat


def decode(entry: stores.Entry) -> version_moves.Order | None:
    """Return the order that an entry holds, None if it isn't one's entry.

    Raises ValueError for an order that can't be read.
    """
    if not entry.key.startswith(PREFIX):
        return None
    found = _Order.model_validate_json(entry.value)
    return version_moves.Order(
        service=found.service,
        version=found.target,
        seconds=found.durationS,
        number=entry.version,
    )


def encode(progress: version_moves.Progress) -> tuple[str, str]:
    """Return key and text of the status of a move."""
    order = progress.order
    status = {
        "service": order.service,
        "target": order.version,
        "state": STATE_NAMES[progress.state],
    }
    return STATUS_PREFIX + order.service, json.dumps(status)
