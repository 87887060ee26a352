"""Stand-ins of many entry hosts in one process, for one entry host.

They answer its probes under an address each, probe it as often as its
predecessors on a ring would, and have no state of their own.
"""

import argparse
import asyncio
import time

import grpc.aio

from buckthornhold import links
from buckthornhold import listings
from buckthornhold import probes
from buckthornhold import settings
from buckthornhold import traffic
from buckthornhold.coordination import departures
from buckthornhold.coordination import host_rankings
from buckthornhold.coordination import members
from buckthornhold.peers import evidence_pb2
from buckthornhold.peers import evidence_pb2_grpc
from buckthornhold.peers import members_pb2
from buckthornhold.peers import members_pb2_grpc

PEER_PORT = 7003
ADDRESSES_PER_NETWORK = 250
PROBE_TIMEOUT_SECONDS = 2.0
UPDATES = 2


def make_member(number: int, *, zones: int, network: str) -> members.Member:
    """Return a stand-in's record."""
    place = divmod(number, ADDRESSES_PER_NETWORK)
    return members.Member(
        host=f"peer-{number:03}",
        zone=f"zone-{number % zones}",
        address=f"{network}.{place[0]}.{place[1] + 1}:{PEER_PORT}",
        incarnation=1,
        sequence=1,
        state=members.MemberState.READY,
    )


class Fleet:
    """What all stand-ins say, as hosts at rest would."""

    def __init__(self, records: list[members.Member]) -> None:
        self._records = [probes.write_member(it) for it in records]
        self._next = 0
        self._digests = {
            "facts": 0,
            "departures": departures.Departures(
                list_links=list, on_departure=None, start_task=None
            ).digest(),
        }
        self._topics: dict[str, int] = {}

    @property
    def records(self) -> list:
        """All records, as messages."""
        return self._records

    def hear(self, topics) -> None:
        """Know what versions the entry host has, and never newer ones."""
        self._topics.update(topics)

    def make_message(self, sender) -> members_pb2.ProbeMessage:
        """Return a probe or its answer."""
        self._next = (self._next + UPDATES) % len(self._records)
        updates = self._records[self._next : self._next + UPDATES]
        now = int(time.time())
        return members_pb2.ProbeMessage(
            sender=sender,
            updates=updates,
            topics={**self._topics, listings.CHECK_TOPIC: now},
            digests=self._digests,
        )


class MembersServicer(members_pb2_grpc.MembersServicer):
    """Answers probes for one stand-in."""

    def __init__(self, *, fleet: Fleet, record) -> None:
        self._fleet = fleet
        self._record = record

    async def Probe(self, request, context):  # noqa: N802
        """Answer a probe."""
        self._fleet.hear(request.topics)
        return self._fleet.make_message(self._record)

    async def ProbeFor(self, request, context):  # noqa: N802
        """Answer for any other host."""
        return members_pb2.IndirectReply(answered=True)

    async def ListMembers(self, request, context):  # noqa: N802
        """Return every record."""
        return members_pb2.ListMembersReply(members=self._fleet.records)


class EvidenceServicer(evidence_pb2_grpc.EvidenceServicer):
    """Has the same facts as whoever asks."""

    async def ExchangeFacts(self, request, context):  # noqa: N802
        """Return no facts."""
        return evidence_pb2.FactList(digest=request.digest)

    async def PushFacts(self, request, context):  # noqa: N802
        """Take facts and have none."""
        return evidence_pb2.FactList()


async def serve(fleet: Fleet) -> list[grpc.aio.Server]:
    """Listen for each stand-in; return the servers, which are to be kept."""
    servers = []
    for record in fleet.records:
        server = grpc.aio.server()
        members_pb2_grpc.add_MembersServicer_to_server(
            MembersServicer(fleet=fleet, record=record), server
        )
        evidence_pb2_grpc.add_EvidenceServicer_to_server(
            EvidenceServicer(), server
        )
        server.add_insecure_port(record.address)
        await server.start()
        servers.append(server)
    return servers


async def probe(fleet: Fleet, target: members.Member) -> None:
    """Probe the entry host from its predecessors on the ring, in turn."""
    records = {record.host: record for record in fleet.records}
    ring = sorted([target.host, *records], key=host_rankings.hash_name)
    place = ring.index(target.host)
    steps = (len(ring) - 1).bit_length()
    senders = [records[ring[place - (1 << step)]] for step in range(steps)]
    counted = traffic.Traffic()
    channels = [links.open_channel(target.address, counted) for _ in senders]
    stub = members_pb2_grpc.MembersStub(channels[0])
    for record in fleet.records:
        message = members_pb2.ProbeMessage(sender=record)
        await stub.Probe(message, timeout=PROBE_TIMEOUT_SECONDS)
    while True:
        for sender, channel in zip(senders, channels, strict=True):
            await asyncio.sleep(settings.DEFAULTS["probe_interval"])
            stub = members_pb2_grpc.MembersStub(channel)
            reply = await stub.Probe(
                fleet.make_message(sender), timeout=PROBE_TIMEOUT_SECONDS
            )
            fleet.hear(reply.topics)


async def run(count: int, zones: int, network: str, target) -> None:
    """Serve and probe until the process is ended."""
    fleet = Fleet(
        [
            make_member(number, zones=zones, network=network)
            for number in range(count)
        ]
    )
    servers = await serve(fleet)
    await probe(fleet, target)
    await asyncio.gather(*[server.stop(grace=0) for server in servers])


def main() -> None:
    """Run the stand-ins."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--count", type=int, required=True)
    parser.add_argument("--zones", type=int, default=5)
    parser.add_argument("--network", required=True)
    parser.add_argument("--host", required=True)
    parser.add_argument("--address", required=True)
    arguments = parser.parse_args()
    target = members.Member(
        host=arguments.host,
        zone="zone-0",
        address=arguments.address,
        incarnation=1,
    )
    asyncio.run(
        run(arguments.count, arguments.zones, arguments.network, target)
    )


if __name__ == "__main__":
    main()
