"""Collectors: the fleet's tallies, summed up zone by zone.

The judge asks one host of each zone, which asks the hosts of its own; so
what a host sends does not grow with the fleet, and what changed since the
last time is all that goes over the wire within a zone.
"""

import asyncio

import grpc

from buckthornhold import observations
from buckthornhold.coordination import evidence
from buckthornhold.peers import evidence_pb2
from buckthornhold.peers import evidence_pb2_grpc


class Collector:
    """Sums up tallies of this host, its zone and the fleet."""

    def __init__(self, *, host) -> None:
        self._host = host
        self._settings = host.settings
        self._zone_tallies: dict[str, evidence.Tallies] = {}
        self._host_tallies: dict[str, observations.HostTallies] = {}

    async def answer(
        self, request: evidence_pb2.CollectRequest
    ) -> evidence_pb2.CollectReply:
        """Return this host's tallies or its zone's sum."""
        if request.whole_zone:
            tallies = await self._collect_zone()
            return evidence_pb2.CollectReply(
                tallies=observations.dump_tallies(tallies)
            )
        return self._host.moves.observed.answer(
            since=request.since, incarnation=request.incarnation
        )

    def retain_moves(self, open_moves: set[str]) -> None:
        """Forget what was counted for other moves."""
        for known in self._host_tallies.values():
            observations.drop_others(known.tallies, open_moves)
        for tallies in self._zone_tallies.values():
            observations.drop_others(tallies, open_moves)

    async def collect_fleet(self) -> evidence.Tallies:
        """Sum up all zones; one that can't be reached keeps its last sum."""
        by_zone: dict[str, list] = {}
        for link in self._host.links.list_all():
            by_zone.setdefault(link.zone, []).append(link)
        own = self._settings.zone
        await asyncio.gather(
            *[
                self._fetch_zone(zone, links)
                for zone, links in by_zone.items()
                if zone != own
            ]
        )
        total: evidence.Tallies = {}
        evidence.add_tallies(total, await self._collect_zone())
        for zone, tallies in self._zone_tallies.items():
            if zone != own:
                evidence.add_tallies(total, tallies)
        return total

    async def _fetch_zone(self, zone: str, links: list) -> None:
        for link in sorted(links, key=lambda link: link.host):
            reply = await self._fetch(
                link, evidence_pb2.CollectRequest(whole_zone=True)
            )
            if reply is not None:
                tallies = observations.load_tallies(reply.tallies)
                self._zone_tallies[zone] = tallies
                return

    async def _collect_zone(self) -> evidence.Tallies:
        """Sum up the hosts of this zone, each by its latest counts."""
        self.retain_moves({it.move for it in self._host.moves.list_open()})
        links = self._host.links.list_zone(self._settings.zone)
        await asyncio.gather(*map(self._fetch_host, links))
        total: evidence.Tallies = {}
        evidence.add_tallies(total, self._host.moves.observed.tallies)
        for known in self._host_tallies.values():
            evidence.add_tallies(total, known.tallies)
        return total

    async def _fetch_host(self, link) -> None:
        known = self._host_tallies.setdefault(
            link.host, observations.HostTallies()
        )
        reply = await self._fetch(
            link,
            evidence_pb2.CollectRequest(
                since=known.count, incarnation=known.incarnation
            ),
        )
        if reply is not None:
            known.take(reply)

    async def _fetch(self, link, request):
        stub = evidence_pb2_grpc.EvidenceStub(link.channel)
        try:
            return await stub.CollectTallies(
                request, timeout=self._settings.facts_push_timeout
            )
        except grpc.RpcError:
            return None
