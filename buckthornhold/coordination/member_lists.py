"""Member lists: what is computed from the records of all members.

They are read for each request and are as long as the fleet, so each is
computed once after a record has changed.
"""

from collections.abc import Iterable

from buckthornhold.coordination import host_rankings


class MemberLists:
    """Lists of the members at one state of the table.

    ``others`` are the members besides ``own`` that are not gone.
    """

    def __init__(self, *, own, others: Iterable) -> None:
        self._own = own
        self._others = list(others)
        self._present: dict[str | None, list] = {}
        self._rankings: dict[tuple[str | None, str], list] = {}
        self._ring: list[str] | None = None

    @property
    def others(self) -> list:
        """The other members that are not gone, even if doubted."""
        return self._others

    @property
    def ring(self) -> list[str]:
        """The names of all members not gone, in ring order."""
        if self._ring is None:
            names = [member.host for member in [self._own, *self._others]]
            self._ring = sorted(names, key=host_rankings.hash_name)
        return self._ring

    def list_present(self, zone: str | None) -> list:
        """Return the present members, also this host; of a zone or all."""
        if zone not in self._present:
            self._present[zone] = [
                member
                for member in [self._own, *self._others]
                if member.present and zone in (None, member.zone)
            ]
        return self._present[zone]

    def rank_present(self, zone: str | None, purpose: str) -> list:
        """Return the present members of a zone or all, ranked."""
        key = (zone, purpose)
        if key not in self._rankings:
            self._rankings[key] = host_rankings.rank_members(
                self.list_present(zone), purpose=purpose
            )
        return self._rankings[key]
