"""Deliveries: an attempt's tokens, checked and passed on to the caller."""

from collections.abc import Callable

from buckthornhold import attempts
from buckthornhold import checks
from buckthornhold import engines
from buckthornhold import reasons
from buckthornhold import watches


class Delivery(engines.Sink):
    """Passes one attempt's tokens on, each at its own offset once.

    ``start`` is the offset from which the caller wants tokens. ``on_first``
    is called with the attempt's first tokens, ``on_progress`` with all.
    """

    def __init__(
        self,
        *,
        attempt: attempts.Attempt,
        check: checks.Check,
        watch: watches.Watch,
        sink: engines.Sink,
        start: int,
        on_first: Callable[[], None],
        on_progress: Callable[[], None],
    ) -> None:
        self._attempt = attempt
        self._check = check
        self._watch = watch
        self._sink = sink
        self._start = start
        self._on_first = on_first
        self._on_progress = on_progress

    @property
    def full(self) -> bool:
        """Whether the caller has to read before more is given."""
        return self._sink.full

    def take(self, tokens: engines.Tokens) -> reasons.Failure | None:
        """Take in tokens; a failure tells that they are not right."""
        first = not self._attempt.first_token_at
        checked = self._check.take(tokens, self._attempt)
        if isinstance(checked, reasons.Failure):
            return checked
        self._watch.note_heard()
        self._on_progress()
        if first:
            self._on_first()
        part = tokens.skip_to(self._start)
        if part is not None:
            self._sink.take(part)
        return None

    async def make_room(self) -> None:
        """Wait for the caller; the upstream's silence doesn't count then."""
        self._watch.stop_reading()
        await self._sink.make_room()
        self._watch.start_reading()
