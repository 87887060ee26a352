"""Suspect slots: when and on which upstream a suspect request runs alone."""

from collections.abc import Iterable
import dataclasses

from buckthornhold.coordination import poison_detectors


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectSlot:
    """The time slot and upstream assigned to one suspect.

    All hosts compute the same assignment. ``predecessors`` are the uncleared
    suspects that run earlier on the same upstream.
    """

    slot: int
    upstream: str
    predecessors: tuple[str, ...]


def assign_slot(
    detector: poison_detectors.PoisonDetector,
    fingerprint: str,
    upstreams: Iterable[str],
) -> SuspectSlot:
    """Return the slot of a suspect on one of the upstreams.

    Each upstream gets one suspect per slot. Suspects without any output
    before the crash come first. A cleared suspect keeps its position until
    its crash is cleared, so that the other positions don't change.
    """
    places = _order_suspects(detector)
    number = places.index(fingerprint) if fingerprint in places else 0
    names = sorted(upstreams)
    slot, column = divmod(number, len(names))
    before = places[column : slot * len(names) : len(names)]
    return SuspectSlot(
        slot=slot,
        upstream=names[column],
        predecessors=tuple(
            suspect
            for suspect in before
            if detector.list_suspected_crashes(suspect)
        ),
    )


def _order_suspects(detector: poison_detectors.PoisonDetector) -> list[str]:
    order: dict[str, tuple] = {}
    for upstream in detector.list_isolated_crashes():
        if not detector.has_uncleared_suspect(upstream):
            continue
        for suspect in detector.list_suspects(upstream):
            place = (suspect.progressed, suspect.fingerprint)
            known = order.get(suspect.fingerprint, place)
            order[suspect.fingerprint] = min(place, known)
    return sorted(order, key=order.get)
