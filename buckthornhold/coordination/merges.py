"""Three-way merge of documents that consist of keyed lines."""

from collections.abc import Callable
import dataclasses

#: Lines of one key, in order; empty if the key is absent.
Lines = tuple[str, ...]


@dataclasses.dataclass(frozen=True, kw_only=True)
class LineConflict:
    """A key whose lines two changes modified in different ways."""

    key: str
    base: Lines
    theirs: Lines
    mine: Lines


@dataclasses.dataclass(frozen=True, kw_only=True)
class Merge:
    """Result of a merge; ``text`` is only valid without conflicts."""

    text: str
    conflicts: tuple[LineConflict, ...] = ()


def merge_lines(
    *,
    base: str,
    theirs: str,
    mine: str,
    find_key: Callable[[str], str | None],
) -> Merge:
    """Apply the difference between ``base`` and ``mine`` to ``theirs``.

    ``find_key`` returns the key of a line. A line without one, such as a
    comment, is its own key.
    """
    if theirs == base:
        return Merge(text=mine)
    if mine in (base, theirs):
        return Merge(text=theirs)
    groups = [_group(text, find_key) for text in (base, theirs, mine)]
    changes: dict[str, Lines] = {}
    conflicts = []
    for key in dict.fromkeys([*groups[0], *groups[2]]):
        old, other, new = [group.get(key, ()) for group in groups]
        if new in (old, other):
            continue
        if other == old:
            changes[key] = new
            continue
        conflicts.append(
            LineConflict(key=key, base=old, theirs=other, mine=new)
        )
    return Merge(
        text=_apply(theirs, changes, find_key), conflicts=tuple(conflicts)
    )


def _find_key(line: str, find_key: Callable[[str], str | None]) -> str | None:
    if not line.strip():
        return None
    return find_key(line) or line.strip()


def _group(
    text: str, find_key: Callable[[str], str | None]
) -> dict[str, Lines]:
    groups: dict[str, Lines] = {}
    for line in text.splitlines():
        key = _find_key(line, find_key)
        if key is None:
            continue
        groups[key] = (*groups.get(key, ()), line.rstrip())
    return groups


def _apply(
    text: str,
    changes: dict[str, Lines],
    find_key: Callable[[str], str | None],
) -> str:
    remaining = dict(changes)
    lines = []
    for line in text.splitlines():
        key = _find_key(line, find_key)
        if key not in changes:
            lines.append(line)
            continue
        lines.extend(remaining.pop(key, ()))
    for added in remaining.values():
        lines.extend(added)
    return "".join(f"{line}\n" for line in lines)
