"""Evidence servicers: what other hosts ask of facts and tallies."""

from buckthornhold.peers import evidence_pb2_grpc


class EvidenceServicer(evidence_pb2_grpc.EvidenceServicer):
    """Answers peers on facts and tallies."""

    def __init__(self, *, host) -> None:
        self._host = host

    async def PushFacts(self, request, context):  # noqa: N802
        """Take facts."""
        return await self._host.exchanges.take_pushed(
            request, time_left=context.time_remaining()
        )

    async def ExchangeFacts(self, request, context):  # noqa: N802
        """Return all facts unless the peer has them."""
        return self._host.exchanges.answer(request.digest)

    async def CollectTallies(self, request, context):  # noqa: N802
        """Return tallies of this host or of its zone."""
        return await self._host.judge.collector.answer(request)
