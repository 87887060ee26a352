"""Model engines: what they are asked and what they answer."""

import abc
import dataclasses

from buckthornhold import reasons


@dataclasses.dataclass(frozen=True, kw_only=True)
class Generation:
    """One order to an engine to generate a stream of tokens.

    ``emitted`` are the tokens the caller already has; the engine goes on
    after them. ``attempt`` tells attempts of one request apart.
    """

    request_id: str
    attempt: str
    model: str
    version: str
    workspace: str
    prompt: str
    max_tokens: int
    priority: int = 0
    emitted: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Tokens:
    """Tokens that arrived together; ``offset`` is the first one's."""

    offset: int
    texts: list[str]

    def skip_to(self, offset: int) -> "Tokens | None":
        """Return the part from an offset on, or None if there is none."""
        skipped = max(0, offset - self.offset)
        if skipped >= len(self.texts):
            return None
        return Tokens(offset=self.offset + skipped, texts=self.texts[skipped:])


@dataclasses.dataclass(frozen=True, kw_only=True)
class EndOfStream:
    """The engine's end marker with the count of all tokens.

    ``trailing`` tells that something followed the marker, which was dropped.
    """

    count: int
    trailing: bool = False


#: How a stream ends.
Last = EndOfStream | reasons.Failure
#: What an engine sends of a stream.
Event = Tokens | Last


class Sink(abc.ABC):
    """Takes a stream's tokens as they arrive.

    Tokens are given by a plain call, so that passing one on wakes no task.
    """

    @property
    @abc.abstractmethod
    def full(self) -> bool:
        """Whether ``make_room`` is to be awaited before more is given."""

    @abc.abstractmethod
    def take(self, tokens: Tokens) -> reasons.Failure | None:
        """Take tokens; a failure tells that the stream is to end."""

    @abc.abstractmethod
    async def make_room(self) -> None:
        """Return when more may be given."""


@dataclasses.dataclass(frozen=True, kw_only=True)
class Load:
    """An engine's load report; lags by the engine's own delay.

    ``versions`` are those that it has loaded or loads, as ``model@version``.
    ``slots`` is how many streams it runs at once, ``waiting_tokens`` what
    it has still to prefill, ``prefill_rate`` the tokens that it prefills a
    second and ``step_seconds`` the time of one decoding step, both as it
    measured them. They are 0 where an engine does not report them.
    """

    running: int
    queued: int
    cached_tokens: int
    incarnation: int
    leaving: bool
    versions: tuple[str, ...] = ()
    slots: int = 0
    waiting_tokens: int = 0
    prefill_rate: float = 0.0
    step_seconds: float = 0.0


class ModelEngine(abc.ABC):
    """A model engine that streams tokens."""

    @property
    @abc.abstractmethod
    def address(self) -> str:
        """The engine's address, as ``IP:port``."""

    @abc.abstractmethod
    async def generate(self, order: Generation, sink: Sink) -> Last:
        """Stream tokens to a sink; return the end marker or a failure.

        The caller bounds its waits and cancels the call, after which nothing
        of the stream arrives any more; the engine may go on with it until
        it is cancelled.
        """

    @abc.abstractmethod
    async def resume(
        self, request_id: str, sink: Sink, *, attempt: str, offset: int
    ) -> Last:
        """Stream a kept request's tokens from an offset on to a sink.

        The engine sends the request's tokens to this attempt alone from
        now on. It refuses when it does not keep the request.
        """

    @abc.abstractmethod
    async def cancel(
        self, request_id: str, *, attempt: str
    ) -> None | reasons.Failure:
        """End a request's work, if this attempt is still its reader."""

    @abc.abstractmethod
    async def export_cache(self, request_id: str) -> str | reasons.Failure:
        """Return a running request's KV cache as an opaque text."""

    @abc.abstractmethod
    async def import_cache(
        self, request_id: str, blob: str
    ) -> None | reasons.Failure:
        """Take in a KV cache that another engine exported."""

    @abc.abstractmethod
    async def fetch_load(self) -> Load | reasons.Failure:
        """Return the engine's latest load report."""

    @abc.abstractmethod
    async def give_order(
        self, order: dict[str, str], *, fence: int
    ) -> None | reasons.Failure:
        """Order a load of a version or adapter, or a change of role."""

    def close(self) -> None:
        """Close the connections that are kept at rest, if there are any."""
        return
