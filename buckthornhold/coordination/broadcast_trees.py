"""Broadcast trees that deliver a message to all hosts with bounded fan-out.

A message is sent to one root host of each zone and forwarded down a tree of
the zone's members. So no host sends more than ``FAN_OUT`` copies, plus one
per zone. If a host doesn't accept the message, its parent sends it to the
host's children instead.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from buckthornhold.coordination import host_rankings
from buckthornhold.coordination import members

FAN_OUT = 4
ROOTS_PER_ZONE = 2

#: Sends to a member in a root host's tree; returns whether it was accepted.
PushFunction = Callable[[members.Member, str], Awaitable[bool]]


class BroadcastTree:
    """Trees over the members in this host's view; sending is up to the caller.

    Each root has its own tree, which distributes the forwarding load. If
    hosts have different views, a host may be reached twice or missed, but
    there are no cycles: a child follows its parent in an order that doesn't
    depend on the view.
    """

    def __init__(self, *, table: members.MemberTable) -> None:
        self._table = table

    async def send(self, push: PushFunction, *, purpose: str) -> None:
        """Send to all zones; ``purpose`` determines the remote root hosts."""
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
        """Send to a parent's children; replace a failed one by its own."""
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
