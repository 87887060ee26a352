"""Crash checks: whether upstreams whose streams broke have crashed."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import time

from buckthornhold import attempts
from buckthornhold import healths
from buckthornhold import part_guards
from buckthornhold import request_contracts
from buckthornhold import tracked_requests
from buckthornhold import upstreams
from buckthornhold.coordination import part_crashes
from buckthornhold.coordination import poison_detectors

#: Time in which all streams that one crash breaks are reported.
BROKEN_STREAMS_WAIT_SECONDS = 0.03
#: Time in which the peers' own records of a crash arrive.
PEER_RECORDS_WAIT_SECONDS = 0.1


class CrashChecks:
    """Checks upstreams and publishes what ran on those that crashed.

    ``running`` are the requests that this host's attempts run; it may change.
    ``wake`` is called when a check begins. ``find_parts`` returns the parts
    of a request's prompt that others may share.
    """

    def __init__(
        self,
        *,
        host,
        detector: poison_detectors.PoisonDetector,
        running: Mapping[attempts.Attempt, tracked_requests.TrackedRequest],
        wake: Callable[[], None],
        part_guard: part_guards.PartGuard,
        find_parts: Callable[
            [request_contracts.RequestContract], tuple[str, ...]
        ],
    ) -> None:
        self._host = host
        self._detector = detector
        self._running = running
        self._wake = wake
        self._part_guard = part_guard
        self._find_parts = find_parts
        self._broken_attempts: dict[
            tuple, dict[attempts.Attempt, poison_detectors.Suspect]
        ] = {}
        self._checks: dict[tuple, asyncio.Task] = {}

    @property
    def keys(self) -> set[tuple]:
        """Keys of the upstreams that are checked or have crashed."""
        return set(self._checks)

    def includes(self, upstream: upstreams.Upstream) -> bool:
        """Return whether an upstream is checked or has crashed."""
        return upstream.key in self._checks

    def add_broken(
        self, attempt: attempts.Attempt, suspect: poison_detectors.Suspect
    ) -> asyncio.Task:
        """Check the upstream of an attempt that broke."""
        key = attempt.upstream.key
        self._broken_attempts.setdefault(key, {})[attempt] = suspect
        return self.start(attempt.upstream)

    def forget_unlisted(self) -> None:
        """Forget upstreams that are no longer listed."""
        if not self._checks:
            return
        known = {upstream.key for upstream in self._host.upstreams.list_all()}
        for key in list(self._checks):
            if key not in known:
                del self._checks[key]
                self._broken_attempts.pop(key, None)

    def start(self, upstream: upstreams.Upstream) -> asyncio.Task:
        """Start the check of an upstream; return one that is under way."""
        task = self._checks.get(upstream.key)
        if task is None:
            announced = upstream.leaving
            task = asyncio.create_task(self._run_check(upstream, announced))
            self._checks[upstream.key] = task
            self._wake()
        return task

    async def _run_check(
        self, upstream: upstreams.Upstream, announced: bool
    ) -> healths.Health:
        health = await healths.check_health(upstream)
        if health is not healths.Health.CRASHED:
            self._broken_attempts.pop(upstream.key, None)
            self._checks.pop(upstream.key, None)
            return health
        self._host.counters.count_event("upstreams.crashed")
        await asyncio.sleep(BROKEN_STREAMS_WAIT_SECONDS)
        if announced or not self.record_crash(upstream):
            return health
        count = len(self._broken_attempts[upstream.key])
        self._host.logger.bind(step="quarantine", peer=upstream.name).warning(
            f"upstream crashed while running {count} requests"
        )
        await self._host.exchanges.wait_pushed(
            self._host.settings.facts_push_timeout
        )
        await asyncio.sleep(PEER_RECORDS_WAIT_SECONDS)
        return health

    def record_crash(self, upstream: upstreams.Upstream) -> bool:
        """Publish what ran on a crashed upstream; return if anything did."""
        suspects = self._broken_attempts.setdefault(upstream.key, {})
        for attempt, request in self._running.items():
            if attempt.upstream.key == upstream.key:
                suspects[attempt] = make_suspect(attempt, request)
        if not suspects:
            return False
        self._detector.publish_crash(
            poison_detectors.Crash(
                upstream=name_incarnation(upstream),
                zone=upstream.record.zone,
                host=self._host.settings.host,
                time=time.time(),
                suspects=tuple(suspects.values()),
            )
        )
        self._part_guard.publish_crash(
            name_incarnation(upstream),
            (
                part_crashes.PartSuspect(
                    content=suspect.fingerprint,
                    parts=self._find_parts(attempt.contract),
                )
                for attempt, suspect in suspects.items()
                if not suspect.progressed
            ),
        )
        return True


def make_suspect(
    attempt: attempts.Attempt,
    request: tracked_requests.TrackedRequest,
) -> poison_detectors.Suspect:
    """Return what an attempt ran on its upstream up to now."""
    return poison_detectors.Suspect(
        fingerprint=request.fingerprint,
        version=attempt.version,
        start=attempt.emitted_before,
        position=read_position(attempt),
        known=request.known_crashes,
    )


def name_incarnation(upstream: upstreams.Upstream) -> str:
    """Return the name of an upstream's incarnation in facts."""
    return f"{upstream.name}/{upstream.record.incarnation}"


def read_position(attempt: attempts.Attempt) -> int:
    """Return the offset in the response that an attempt has reached."""
    return attempt.emitted_before + attempt.tokens
