"""Summary servicers: the gRPC service that receives summaries."""

from buckthornhold import summaries
from buckthornhold.peers import summaries_pb2_grpc


class SummaryServicer(summaries_pb2_grpc.SummariesServicer):
    """gRPC servicer that receives the summaries of other hosts."""

    def __init__(self, *, exchange: summaries.SummaryExchange) -> None:
        self._exchange = exchange

    async def Tell(self, request, context):  # noqa: N802
        """Apply a summary."""
        return self._exchange.handle(request)
