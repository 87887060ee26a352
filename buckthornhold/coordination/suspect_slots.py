"""Turns: when and where a suspect runs, apart from all others."""

from collections.abc import Iterable
import dataclasses

from buckthornhold.coordination import poison_detectors


@dataclasses.dataclass(frozen=True, kw_only=True)
class SuspectSlot:
    """The place of one suspect in the order that all hosts work out.

    ``before`` are the suspects that run on the same upstream first and have
    not been cleared yet.
    """

    slot: int
    upstream: str
    predecessors: tuple[str, ...]


def assign_slot(
    judge: poison_detectors.PoisonDetector,
    fingerprint: str,
    upstreams: Iterable[str],
) -> SuspectSlot:
    """Return the turn of a suspect on one of the upstreams.

    There is one suspect to each upstream in each slot; those that had
    yielded nothing come first. Who is cleared keeps its place until its
    whole crash is, so that the others keep theirs.
    """
    places = _order_suspects(judge)
    number = places.index(fingerprint) if fingerprint in places else 0
    names = sorted(upstreams)
    slot, column = divmod(number, len(names))
    before = places[column : slot * len(names) : len(names)]
    return SuspectSlot(
        slot=slot,
        upstream=names[column],
        predecessors=tuple(
            it for it in before if judge.list_suspected_crashes(it)
        ),
    )


def _order_suspects(judge: poison_detectors.PoisonDetector) -> list[str]:
    order: dict[str, tuple] = {}
    for upstream in judge.list_isolated_crashes():
        if not judge.has_uncleared_suspect(upstream):
            continue
        for suspect in judge.list_suspects(upstream):
            place = (suspect.progressed, suspect.fingerprint)
            known = order.get(suspect.fingerprint, place)
            order[suspect.fingerprint] = min(place, known)
    return sorted(order, key=order.get)
