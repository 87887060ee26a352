"""Trees: how one message reaches all hosts by few copies from each.

A message goes to one host of each zone and from there down a tree over the
zone's members, so no host sends more than ``FAN_OUT`` copies of it and one
for each zone. In place of a host that does not take it, its sender reaches
those below.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from buckthornhold.coordination import host_rankings
from buckthornhold.coordination import members

FAN_OUT = 4
ROOTS_PER_ZONE = 2

#: Sends to a member in the tree below a root host; tells whether it took it.
PushFunction = Callable[[members.Member, str], Awaitable[bool]]


class BroadcastTree:
    """The trees over the members that this host sees. Sends nothing itself.

    Each root has a tree of its own, so the work of passing on is spread.
    Hosts that see different members may reach one twice, or miss one, and
    never pass in a circle: a child comes after its parent in an order that
    does not depend on who is seen.
    """

    def __init__(self, *, table: members.MemberTable) -> None:
        self._table = table

    async def send(self, push: PushFunction, *, purpose: str) -> None:
        """Send to all zones; ``purpose`` chooses their first hosts."""
        own = self._table.own
        zones = {member.zone for member in self._table.list_present()}
        sends = [self.send_to_subtree(push, root=own.host, parent=own.host)]
        sends += [
            self._send_to_zone(push, zone, purpose)
            for zone in zones - {own.zone}
        ]
        await asyncio.gather(*sends)

    async def send_to_subtree(
        self, push: PushFunction, *, root: str, parent: str
    ) -> None:
        """Send to a parent's children, or to theirs where one fails."""
        await asyncio.gather(
            *[
                self._send_child(push, root, child)
                for child in self._list_children(root, parent)
            ]
        )

    async def _send_to_zone(
        self, push: PushFunction, zone: str, purpose: str
    ) -> None:
        ranked = host_rankings.rank_members(
            self._table.list_present(zone=zone), purpose=purpose
        )
        for member in ranked[:ROOTS_PER_ZONE]:
            if await push(member, member.host):
                return

    async def _send_child(
        self, push: PushFunction, root: str, child: members.Member
    ) -> None:
        if not await push(child, root):
            await self.send_to_subtree(push, root=root, parent=child.host)

    def _list_children(self, root: str, parent: str) -> list[members.Member]:
        own = self._table.own
        present = self._table.list_present(zone=own.zone)
        ranked = host_rankings.rank_members(present, purpose=root)
        ranked.sort(key=lambda member: member.host != root)
        names = [member.host for member in ranked]
        if parent not in names:
            return []
        start = FAN_OUT * names.index(parent) + 1
        return [
            member
            for member in ranked[start : start + FAN_OUT]
            if member.host != own.host
        ]
