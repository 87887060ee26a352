"""Pace of the engine's stand-in, as it measures it itself."""

from buckthornhold.standins import engine_options

#: Weight of the latest step in the means.
STEP_WEIGHT = 0.1


class Pace:
    """Running means of an engine's prefill rate and decoding step.

    They start at what the engine's options give, as an engine that
    profiles itself when it starts would know it.
    """

    def __init__(self, *, options: engine_options.EngineOptions) -> None:
        self._chunk = options.prefill_chunk
        half_full = options.step_per_running * options.max_running / 2
        self._step_seconds = options.step_base + half_full
        chunk_seconds = options.prefill_chunk * options.prefill_per_token
        self._chunk_seconds = self._step_seconds + chunk_seconds

    @property
    def prefill_rate(self) -> float:
        """Tokens prefilled a second while there are enough."""
        return self._chunk / self._chunk_seconds

    @property
    def step_seconds(self) -> float:
        """Time of one decoding step."""
        return self._step_seconds

    def note_step(self, seconds: float, *, prefilled: int) -> None:
        """Take the time of one step and how many tokens it prefilled."""
        self._step_seconds += STEP_WEIGHT * (seconds - self._step_seconds)
        if prefilled >= self._chunk:
            change = seconds - self._chunk_seconds
            self._chunk_seconds += STEP_WEIGHT * change
