"""Handover servicers: the gRPC service that holds records of peers."""

from collections.abc import Callable

from buckthornhold.coordination import handover_records
from buckthornhold.coordination import handovers
from buckthornhold.peers import handovers_pb2
from buckthornhold.peers import handovers_pb2_grpc


class HandoverServicer(handovers_pb2_grpc.HandoversServicer):
    """Serves the handover protocol: holds records of peers and finds them."""

    def __init__(
        self,
        *,
        records: handover_records.HandoverRecords,
        find_local: Callable[[str], handovers.Record | None],
        take_local: handovers.AsyncLookup,
        is_leaving: Callable[[], bool],
    ) -> None:
        self._records = records
        self._find_local = find_local
        self._take_local = take_local
        self._is_leaving = is_leaving

    async def Hold(self, request, context):  # noqa: N802
        """Store a peer's record."""
        if self._is_leaving():
            return handovers_pb2.HoldReply(outcome=handovers_pb2.HOLD_LEAVING)
        outcome = self._records.store(request.record)
        return handovers_pb2.HoldReply(outcome=outcome)

    async def Update(self, request, context):  # noqa: N802
        """Update a stored record."""
        known = self._records.update(request)
        return handovers_pb2.UpdateReply(known=known)

    async def Release(self, request, context):  # noqa: N802
        """Remove the records of finished requests."""
        for release in request.releases:
            self._records.release(release.request_id, release.epoch)
        return handovers_pb2.ReleaseReply()

    async def Find(self, request, context):  # noqa: N802
        """Return the record of a request that runs or is held on this host."""
        record = self._find_local(request.request_id)
        if record is None:
            record = self._records.find(request.request_id)
        return handovers_pb2.FindReply(record=record)

    async def Take(self, request, context):  # noqa: N802
        """Stop a request that runs on this host and return its record."""
        record = await self._take_local(request.request_id)
        return handovers_pb2.FindReply(record=record)
