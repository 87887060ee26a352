"""Move eras: orders and states of moves after the store was restored.

The operator writes a lost order again, under another revision. Such an order
is the same move, with the number that it had first. An order that was
replaced in the lost seconds shows up again under its old revision; it doesn't
come into force again. In one era an order with a higher number replaces the
known one.
"""

from collections.abc import Iterable
import dataclasses
import json

import pydantic

from buckthornhold.coordination import store_eras
from buckthornhold.coordination import version_moves

_STATES = pydantic.TypeAdapter(list[version_moves.Progress])
#: Orders of a service that are remembered to recognise replaced ones.
MAX_REMEMBERED_ORDERS = 8
#: States in the order in which a move takes them.
STATE_RANKS = {
    version_moves.State.TRIAL: 0,
    version_moves.State.SWITCHING: 1,
    version_moves.State.DONE: 2,
    version_moves.State.TAKEN_BACK: 2,
}


class KnownOrders:
    """Holds the order in force of each service."""

    def __init__(self) -> None:
        self._orders: dict[str, version_moves.Order] = {}
        #: Number under which the order in force was seen last.
        self._latest_numbers: dict[str, int] = {}
        self._remembered: dict[str, list[version_moves.Order]] = {}

    def list_services(self) -> list[str]:
        """Return the services that have an order."""
        return list(self._orders)

    def find(self, service: str) -> version_moves.Order | None:
        """Return the order in force of a service."""
        return self._orders.get(service)

    def apply(self, order: version_moves.Order) -> bool:
        """Take in an order; return whether it is another move."""
        service = order.service
        known = self._orders.get(service)
        latest = self._latest_numbers.get(service, 0)
        era = store_eras.find_era(order.number)
        if known is not None:
            if is_same_move(order, known):
                # Hosts that saw it in different eras agree on the first.
                if order.number < known.number:
                    self._orders[service] = order
                self._latest_numbers[service] = max(latest, order.number)
                return False
            if order.number <= latest:
                return False
            if era > store_eras.find_era(latest) and self._is_replaced(order):
                return False
        self._orders[service] = order
        self._latest_numbers[service] = order.number
        remembered = self._remembered.setdefault(service, [])
        remembered.append(order)
        del remembered[:-MAX_REMEMBERED_ORDERS]
        return True

    def identify(
        self, progress: version_moves.Progress
    ) -> version_moves.Progress:
        """Return the progress with its order's first known number."""
        order = self._orders.get(progress.order.service)
        if order is None or not is_same_move(order, progress.order):
            return progress
        return dataclasses.replace(progress, order=order)

    def _is_replaced(self, order: version_moves.Order) -> bool:
        """Tell whether this process knew the order in an earlier era."""
        revision = store_eras.find_revision(order.number)
        return any(
            is_same_order(order, remembered)
            and store_eras.find_revision(remembered.number) == revision
            for remembered in self._remembered.get(order.service, ())
        )


def is_same_order(
    first: version_moves.Order, second: version_moves.Order
) -> bool:
    """Tell whether two orders are equal but for their numbers."""
    return dataclasses.replace(first, number=0) == dataclasses.replace(
        second, number=0
    )


def is_same_move(
    first: version_moves.Order, second: version_moves.Order
) -> bool:
    """Tell whether two orders are one that was written in two eras."""
    eras = {store_eras.find_era(it.number) for it in (first, second)}
    return len(eras) > 1 and is_same_order(first, second)


def merge_states(
    known: dict[str, version_moves.Progress],
    stored: dict[str, version_moves.Progress],
) -> dict[str, version_moves.Progress]:
    """Return the states in force when a restored store has others.

    Known states stay in force where the store has lost them. The end of a
    move that the store has counts.
    """
    merged = dict(known)
    for service, progress in stored.items():
        own = known.get(service)
        if own is None or _replaces(progress, own):
            merged[service] = progress
    return merged


def _replaces(
    stored: version_moves.Progress, own: version_moves.Progress
) -> bool:
    is_one_move = stored.order.number == own.order.number or is_same_move(
        stored.order, own.order
    )
    if not is_one_move:
        return stored.order.number > own.order.number
    return STATE_RANKS[stored.state] >= STATE_RANKS[own.state]


def dump_states(states: Iterable[version_moves.Progress]) -> str:
    """Return the states of moves as JSON."""
    return json.dumps([dataclasses.asdict(progress) for progress in states])


def load_states(text: str) -> dict[str, version_moves.Progress]:
    """Parse the states of moves by service; raise ValueError if invalid."""
    states = _STATES.validate_json(text)
    return {progress.order.service: progress for progress in states}
