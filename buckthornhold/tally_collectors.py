"""Tally collectors: the fleet's tallies of requests, summed up by zone.

The host that decides on moves queries one host of each zone, which queries
the hosts of its zone. So a host's traffic does not grow with the fleet.
Within a zone hosts only send the counts that changed since the last query.
"""

import asyncio

import grpc

from buckthornhold import observations
from buckthornhold.coordination import evidence
from buckthornhold.peers import evidence_pb2
from buckthornhold.peers import evidence_pb2_grpc


class Collector:
    """Collects the tallies of this host, its zone and the fleet."""

    def __init__(self, *, host) -> None:
        self._host = host
        self._settings = host.settings
        self._zone_tallies: dict[str, evidence.Tallies] = {}
        self._host_tallies: dict[str, observations.HostTallies] = {}

    async def answer(
        self, request: evidence_pb2.CollectRequest
    ) -> evidence_pb2.CollectReply:
        """Return this host's tallies, or the sum of its zone."""
        if request.whole_zone:
            tallies = await self._collect_zone()
            return evidence_pb2.CollectReply(
                tallies=observations.dump_tallies(tallies)
            )
        return self._host.moves.observed.answer(
            since=request.since, incarnation=request.incarnation
        )

    def retain_moves(self, open_moves: set[str]) -> None:
        """Drop the tallies of all moves but the open ones."""
        for host_tallies in self._host_tallies.values():
            observations.drop_others(host_tallies.tallies, open_moves)
        for tallies in self._zone_tallies.values():
            observations.drop_others(tallies, open_moves)

    async def collect_fleet(self) -> evidence.Tallies:
        """Return the sum of all zones.

        For a zone that can't be reached it includes the last known sum.
        """
        links_by_zone: dict[str, list] = {}
        for link in self._host.links.list_all():
            links_by_zone.setdefault(link.zone, []).append(link)
        own = self._settings.zone
        await asyncio.gather(
            *[
                self._fetch_zone(zone, links)
                for zone, links in links_by_zone.items()
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
        """Return the sum of this zone's hosts, each by its latest tallies."""
        self.retain_moves({plan.move for plan in self._host.moves.list_open()})
        links = self._host.links.list_zone(self._settings.zone)
        await asyncio.gather(*map(self._fetch_host, links))
        total: evidence.Tallies = {}
        evidence.add_tallies(total, self._host.moves.observed.tallies)
        for host_tallies in self._host_tallies.values():
            evidence.add_tallies(total, host_tallies.tallies)
        return total

    async def _fetch_host(self, link) -> None:
        host_tallies = self._host_tallies.setdefault(
            link.host, observations.HostTallies()
        )
        reply = await self._fetch(
            link,
            evidence_pb2.CollectRequest(
                since=host_tallies.count, incarnation=host_tallies.incarnation
            ),
        )
        if reply is not None:
            host_tallies.take(reply)

    async def _fetch(self, link, request):
        stub = evidence_pb2_grpc.EvidenceStub(link.channel)
        try:
            return await stub.CollectTallies(
                request, timeout=self._settings.facts_push_timeout
            )
        except grpc.RpcError as error:
            # The last known tallies count until the host answers again.
            self._host.logger.bind(
                step="collect tallies", peer=link.address
            ).debug(f"no tallies received: {error!r}"[:200])
            return None
