"""Steps on where records are held, with links on paper."""

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
    """Answers that a record is held, or nothing at all."""

    def __init__(self, *, zone):
        self._zone = zone

    def unary_unary(self, method, **options):
        """Return what makes calls of a method."""

        async def call(request, timeout):
            if self._zone == ZONE:
                return handovers_pb2.HoldReply(outcome=handovers_pb2.HOLD_HELD)
            await asyncio.sleep(timeout)
            raise grpc.aio.AioRpcError(
                grpc.StatusCode.DEADLINE_EXCEEDED, NO_METADATA, NO_METADATA
            )

        return call

    def get_state(self, try_to_connect=False):
        """Tell what a connection looks like whose packets get lost."""
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


@behave.when("holders: the other zones fall silent and a record is to be held")
def hold(context):
    record = handovers.Record(request_id="request", entry_host="entry")

    async def hold_twice():
        first = await context.handovers.hold(record)
        return first or await context.handovers.hold(record, is_retry=True)

    context.holder = asyncio.run(hold_twice())


@behave.then("holders: the neighbour holds it when it is tried again")
def check_holder(context):
    assert context.holder == "neighbour", context.holder
