"""Part guards: refusal of prompts with a part that crashes upstreams.

Both request paths use one. ``coordination.part_detectors`` decides from what
all hosts have seen of a part.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
import random
import time

from buckthornhold.coordination import facts
from buckthornhold.coordination import part_crashes
from buckthornhold.coordination import part_detectors

#: Hosts publish the same clearance within this time. Spread over it, most
#: learn that it is known before they would.
CLEARANCE_JITTER_SECONDS = 0.08


class PartGuard:
    """Clears suspected parts and refuses those that are poison.

    ``start`` runs a coroutine in the background, ``read_time`` returns seconds
    since the epoch.
    """

    def __init__(
        self,
        *,
        host,
        start: Callable,
        read_time: Callable[[], float] = time.time,
    ) -> None:
        self._host = host
        self._start = start
        self._read_time = read_time
        self._detector = part_detectors.PartDetector(
            known=host.exchanges.known,
            publish=host.exchanges.publish,
            crash_retention=host.settings.crash_retention,
            poison_retention=host.settings.poison_retention,
            read_time=read_time,
        )
        host.exchanges.receive_with(self._receive_fact)

    @property
    def detector(self) -> part_detectors.PartDetector:
        """Decides from the facts of all hosts which parts are poison."""
        return self._detector

    async def admit(self, parts: Collection[str]) -> str:
        """Return why a prompt with these parts is refused, else "".

        Waits until a recent crash of a suspected part can be judged.
        """
        reason = self._detector.find_poison_reason(parts)
        if reason:
            return reason
        for part in parts:
            if self._detector.needs_clearance(part):
                await self._judge(part)
        return self._detector.find_poison_reason(parts)

    def record_answer(
        self, parts: Iterable[str], answered_at: float | None = None
    ) -> None:
        """Record that an answer to a request with these parts has begun.

        ``answered_at`` is on the monotonic clock; without it, it is now.
        """
        if answered_at is None:
            answered_at = time.monotonic()
        self._detector.record_answer(parts, answered_at)

    def publish_crash(
        self,
        upstream: str,
        suspects: Iterable[part_crashes.PartSuspect],
    ) -> None:
        """Publish the requests that an upstream crashed before answering."""
        suspects = tuple(suspect for suspect in suspects if suspect.parts)
        if not suspects:
            return
        self._detector.publish_crash(
            part_crashes.PartCrash(
                upstream=upstream,
                host=self._host.settings.host,
                time=self._read_time(),
                suspects=suspects,
            )
        )
        parts = {part for suspect in suspects for part in suspect.parts}
        suspected = ", ".join(
            f"{part} in {len(self._detector.list_crashes(part))}"
            for part in sorted(parts)
        )
        self._log(upstream).info(
            f"parts of unanswered prompts, suspected in crashes: {suspected}"
        )
        for part in parts:
            if self._detector.needs_clearance(part):
                self._start(self._judge(part), step="judge part")

    def prune(self) -> None:
        """Remove expired crashes."""
        self._detector.prune()

    async def _judge(self, part: str) -> None:
        """Judge a part once all hosts had time to report and clear it."""
        wait = self._detector.find_settled_time(part) - time.monotonic()
        if wait > 0:
            await asyncio.sleep(wait)
        self._detector.detect_poison(part)

    def _receive_fact(self, fact: facts.Fact) -> None:
        try:
            crash = self._detector.apply_fact(fact)
        except facts.PARSE_ERRORS as error:
            self._log(fact.key).warning(f"fact can't be read: {error!r}")
            return
        if crash is None:
            return
        for part in self._detector.list_clearable(crash):
            self._start(self._clear_later(part), step="clear part")

    async def _clear_later(self, part: str) -> None:
        await asyncio.sleep(random.uniform(0.0, CLEARANCE_JITTER_SECONDS))
        self._detector.publish_clearance(part)

    def _log(self, peer: str):
        return self._host.logger.bind(step="quarantine", peer=peer)
