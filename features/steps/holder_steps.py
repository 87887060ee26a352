"""Steps for the choice of record holders, with simulated links."""

import asyncio
import types

import behave
import grpc

from buckthornhold.coordination import handover_records
from buckthornhold.coordination import handovers
from buckthornhold.peers import handovers_pb2

NO_METADATA = grpc.aio.Metadata()
ZONE = "zone-a"


class Channel:
    """Accepts records in the own zone; calls to other zones time out."""

    def __init__(self, *, zone):
        self._zone = zone

    def unary_unary(self, method, **options):
        """Return a callable that stands for a method's stub."""

        async def call(request, timeout):
            if self._zone == ZONE:
                return handovers_pb2.HoldReply(outcome=handovers_pb2.HOLD_HELD)
            await asyncio.sleep(timeout)
            raise grpc.aio.AioRpcError(
                grpc.StatusCode.DEADLINE_EXCEEDED, NO_METADATA, NO_METADATA
            )

        return call

    def get_state(self, try_to_connect=False):
        """Return the state of a connection that silently drops packets."""
        return grpc.ChannelConnectivity.READY


def make_link(name, zone):
    return types.SimpleNamespace(
        host=name, zone=zone, channel=Channel(zone=zone)
    )


@behave.given("holders: a host with a neighbour, and 4 hosts of other zones")
def make_holders(context):
    links = [make_link("neighbour", ZONE)]
    for zone in ("zone-b", "zone-c"):
        links += [make_link(f"{zone}-{number}", zone) for number in range(2)]
    context.handovers = handovers.Handovers(
        host="entry",
        zone=ZONE,
        list_links=lambda: links,
        list_eligible_links=lambda: links,
        records=handover_records.HandoverRecords(
            limit_bytes=10**6, retention_seconds=60.0
        ),
        find_local=lambda request_id: None,
        take_local=None,
    )


@behave.when(
    "holders: the other zones stop answering and a record is replicated"
)
def hold(context):
    record = handovers.Record(request_id="request", entry_host="entry")

    async def hold_twice():
        first = await context.handovers.hold(record)
        return first or await context.handovers.hold(record, is_retry=True)

    context.holder = asyncio.run(hold_twice())


@behave.then("holders: the neighbour holds it after a retry")
def check_holder(context):
    assert context.holder == "neighbour", context.holder
