"""Checks: an answer's events held against what was emitted before."""

import time

from buckthornhold import attempts
from buckthornhold import engines
from buckthornhold import event_ids
from buckthornhold import reasons


class Check:
    """The emitted tokens of one answer, each at its own offset once.

    The caller has ``start`` tokens, whose text has the ``digest``, if that
    is known. With ``repeats`` those of them that were not emitted here may
    be generated again, and are held against it.
    """

    def __init__(
        self,
        *,
        emitted: list[str],
        max_tokens: int,
        start: int = 0,
        digest: int | None = None,
        repeats: bool = False,
    ) -> None:
        self._emitted = emitted
        self._known_count = len(emitted)
        self._max_tokens = max_tokens
        self._start = start
        self._digest = digest
        self._repeats = repeats and digest is not None

    @property
    def emitted(self) -> list[str]:
        """Tokens that were right and were taken in."""
        return self._emitted

    @property
    def missing(self) -> bool:
        """Whether the caller has tokens that were not emitted here."""
        return len(self._emitted) < self._start

    @property
    def lost(self) -> bool:
        """Whether the caller's text is missing and can't be had again."""
        return self.missing and not self._repeats

    def is_callers(self) -> bool:
        """Tell whether what was emitted goes on from the caller's text."""
        if self._digest is None or self.missing:
            return True
        text = self._emitted[: self._start]
        return event_ids.digest_texts(text) == self._digest

    def take(
        self, event: engines.Event, attempt: attempts.Attempt
    ) -> engines.Event:
        """Take in an event; return it, or a failure if it is not right."""
        if isinstance(event, reasons.Failure):
            return event
        if isinstance(event, engines.Tokens):
            return self._take_tokens(event, attempt)
        if event.count != len(self._emitted):
            return _break_off(attempt, "answer is short")
        if self.missing:
            return self._lose(attempt, "generated again, it is shorter")
        return event

    def _take_tokens(
        self, event: engines.Tokens, attempt: attempts.Attempt
    ) -> engines.Event:
        if event.offset != len(self._emitted):
            return _break_off(attempt, "token offset is wrong")
        if event.offset + len(event.texts) > self._max_tokens:
            return _break_off(attempt, "answer is too long")
        if not attempt.first_token_at:
            attempt.first_token_at = time.monotonic()
        attempt.tokens += len(event.texts)
        was_missing = self.missing
        self._emitted.extend(event.texts)
        if was_missing and not self.is_callers():
            return self._lose(attempt, "generated again, it is another text")
        return event

    def _lose(self, attempt: attempts.Attempt, detail: str) -> reasons.Failure:
        """Forget text that is not the caller's, and say so."""
        del self._emitted[self._known_count :]
        return reasons.Failure(
            reason=reasons.Reason.TEXT_LOST,
            step="check answer",
            peer=attempt.upstream.name,
            ran=reasons.Ran.YES,
            detail=detail,
        )


def _break_off(attempt: attempts.Attempt, detail: str) -> reasons.Failure:
    return reasons.Failure(
        reason=reasons.Reason.UPSTREAM_BROKEN,
        step="check answer",
        peer=attempt.upstream.name,
        ran=reasons.Ran.YES,
        detail=detail,
    )
