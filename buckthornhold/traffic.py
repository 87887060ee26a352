"""Traffic between entry hosts: bytes of messages by gRPC service."""

import asyncio
import collections

import grpc
import grpc.aio

EMPTY_METADATA = grpc.aio.Metadata()


class Traffic:
    """Counts the serialized messages that pass a channel or a server.

    Bytes are those of the protobuf messages, without the frames of the
    transport below.
    """

    def __init__(self) -> None:
        self._bytes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._messages: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )

    @property
    def totals(self) -> dict[str, dict[str, int]]:
        """Bytes and messages since the start, by service and direction."""
        totals: dict[str, dict[str, int]] = {}
        for (service, direction), amount in self._bytes.items():
            counts = totals.setdefault(service, {})
            counts[f"{direction}_bytes"] = amount
            counts[f"{direction}_messages"] = self._messages[
                service, direction
            ]
        return totals

    def wrap_channel(self, channel: grpc.aio.Channel) -> "CountedChannel":
        """Return a channel that counts what passes it."""
        return CountedChannel(channel=channel, traffic=self)

    def make_interceptor(self) -> grpc.aio.ServerInterceptor:
        """Return a server's interceptor that counts what passes it."""
        return _CountingInterceptor(traffic=self)

    def count(self, method: str, direction: str, size: int) -> None:
        """Count one message of a method such as ``/package.Service/Do``."""
        service = method.strip("/").partition("/")[0].rpartition(".")[2]
        self._bytes[service, direction] += size
        self._messages[service, direction] += 1

    def wrap_writer(self, method: str, write):
        """Return a serializer that counts the bytes it makes."""

        def write_counted(message):
            data = write(message)
            self.count(method, "sent", len(data))
            return data

        return write_counted

    def wrap_reader(self, method: str, read):
        """Return a deserializer that counts the bytes it reads."""

        def read_counted(data):
            self.count(method, "received", len(data))
            return read(data)

        return read_counted


class CountedChannel:
    """A gRPC channel whose unary calls are counted.

    A call that is open when the channel closes, or made afterwards, fails
    as unavailable; gRPC would cancel whoever waits for it. One whose reply
    can't be read fails, too; gRPC would return None. The channel is
    ``silent`` while the last call that ended had no answer in time.
    """

    def __init__(self, *, channel: grpc.aio.Channel, traffic: Traffic) -> None:
        self._channel = channel
        self._traffic = traffic
        self._open_calls = 0
        self._silent = False

    @property
    def silent(self) -> bool:
        """Whether the last call that ended had no answer in time."""
        return self._silent

    @property
    def open_calls(self) -> int:
        """How many calls wait for their answers."""
        return self._open_calls

    def __getattr__(self, name: str):
        return getattr(self._channel, name)

    def unary_unary(
        self,
        method: str,
        request_serializer=None,
        response_deserializer=None,
        **kwargs,
    ):
        """Return a callable for a method, as ``grpc.aio.Channel`` does."""
        make_call = self._channel.unary_unary(
            method,
            request_serializer=self._traffic.wrap_writer(
                method, request_serializer
            ),
            response_deserializer=self._traffic.wrap_reader(
                method, response_deserializer
            ),
            **kwargs,
        )

        async def call(request, **options):
            self._open_calls += 1
            try:
                answer = await make_call(request, **options)
                self._silent = False
                if answer is None:
                    raise _make_error(
                        grpc.StatusCode.INTERNAL, "the reply can't be read"
                    )
                return answer
            except grpc.aio.AioRpcError as error:
                late = error.code() is grpc.StatusCode.DEADLINE_EXCEEDED
                self._silent = late
                raise
            except grpc.aio.UsageError as error:
                raise _make_error(
                    grpc.StatusCode.UNAVAILABLE, str(error)
                ) from error
            except asyncio.CancelledError:
                if asyncio.current_task().cancelling():
                    raise
                raise _make_error(
                    grpc.StatusCode.UNAVAILABLE, "the channel was closed"
                ) from None
            finally:
                self._open_calls -= 1

        return call


def _make_error(code: grpc.StatusCode, details: str) -> grpc.aio.AioRpcError:
    return grpc.aio.AioRpcError(
        code, EMPTY_METADATA, EMPTY_METADATA, details=details
    )


class _CountingInterceptor(grpc.aio.ServerInterceptor):
    def __init__(self, *, traffic: Traffic) -> None:
        self._traffic = traffic

    async def intercept_service(self, continuation, details):
        handler = await continuation(details)
        if handler is None or handler.request_deserializer is None:
            return handler
        return handler._replace(
            request_deserializer=self._traffic.wrap_reader(
                details.method, handler.request_deserializer
            ),
            response_serializer=self._traffic.wrap_writer(
                details.method, handler.response_serializer
            ),
        )
