"""Soak histories: what callers and upstreams saw, held against promises.

Needs no network. Times are in seconds on one monotonic clock.
"""

import collections
from collections.abc import Iterable
import dataclasses
import http

#: A host is judged by promises with a time once nothing has disturbed it for
#: so long, in seconds (the deployments' ``contactMs``).
CONTACT_SECONDS = 4.0
#: A configuration is in force so long after it was written (``configMs``).
CONFIGURATION_SECONDS = 3.0
#: So long after its entry says so an upstream gets nothing (``drainMs``).
DRAIN_SECONDS = 3.0
#: A request may run so long after its caller has left, in seconds, and a few
#: of them may run later.
DEPARTED_SECONDS = 0.5
FEW = 3
#: Part of the calm end's requests that are served at least (the pages'
#: promise of recovery).
LEAST_SERVED = 0.25
#: Statuses that promise that a request has not run.
PROMISES = (
    http.HTTPStatus.REQUEST_TIMEOUT,
    http.HTTPStatus.MISDIRECTED_REQUEST,
    http.HTTPStatus.TOO_MANY_REQUESTS,
    http.HTTPStatus.SERVICE_UNAVAILABLE,
)
#: Statuses that say that the configuration does not allow a request.
DENIALS = (
    http.HTTPStatus.UNAUTHORIZED,
    http.HTTPStatus.FORBIDDEN,
    http.HTTPStatus.NOT_FOUND,
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Run:
    """An upstream has begun to work on a request.

    ``odd`` tells that it was to break off, or to answer as nobody should.
    """

    upstream: str
    at: float
    method: str
    path: str
    body: str
    workspace: str
    odd: bool = False


@dataclasses.dataclass(kw_only=True)
class Request:
    """A request as its caller sent it, and what came of it.

    ``status`` is 0 without an answer; ``whole`` tells that the answer came
    to its end, ``gave_up`` that the caller left before, ``hung`` that it did
    so long after the time that the request had.
    """

    request_id: str
    kind: str
    host: str
    method: str
    path: str
    body: str
    key: str
    sent_at: float
    told_at: float = 0.0
    status: int = 0
    seal: str = ""
    answer: str = ""
    event_ids: list[int] = dataclasses.field(default_factory=list)
    whole: bool = False
    gave_up: bool = False
    hung: bool = False
    runs: list[Run] = dataclasses.field(default_factory=list)

    @property
    def repeatable(self) -> bool:
        """Whether it may run more than once."""
        return self.kind in ("look", "ask")

    @property
    def streamed(self) -> bool:
        """Whether its answer is a stream of events."""
        return self.kind in ("chat", "ask")


@dataclasses.dataclass(kw_only=True)
class History:
    """All that happened in a soak.

    ``disturbed`` are the times of each host's disturbances, ``drained``
    those in which each upstream's entry said that it leaves, ``revoked``
    when each key was taken away, and ``planned`` are the hosts' stops.
    ``announced`` are the times in which each upstream's answers said so.
    ``calm_since`` is when everything has been mended for long enough.
    Promises with a time are not judged unless ``timed``: on a machine that is
    too busy to run the hosts none of them is bound by those.
    """

    workspace: str
    events: int
    seals: dict[str, str]
    requests: dict[str, Request] = dataclasses.field(default_factory=dict)
    unasked: list[str] = dataclasses.field(default_factory=list)
    disturbed: dict[str, list[tuple[float, float]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    planned: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    drained: dict[str, list[tuple[float, float]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    announced: dict[str, list[tuple[float, float]]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(list)
    )
    revoked: dict[str, float] = dataclasses.field(default_factory=dict)
    calm_since: float = float("inf")
    timed: bool = True

    def in_touch(self, host: str, since: float, until: float) -> bool:
        """Tell whether nothing disturbed a host from ``since`` on."""
        return self.timed and not any(
            begun <= until and ended >= since - CONTACT_SECONDS
            for begun, ended in self.disturbed[host]
        )


def check(history: History) -> list[str]:
    """Return what was promised and not kept."""
    found = [f"{it}: ran and was never sent" for it in history.unasked]
    for request in history.requests.values():
        for text in _check_request(history, request):
            found.append(
                f"{request.request_id} ({request.kind} at {request.host}, "
                f"status {request.status}): {text}"
            )
    found += _check_announced(history)
    found += _check_departed(history)
    if history.calm_since < float("inf"):
        found += _check_recovery(history)
    return found


def _check_request(history: History, request: Request) -> Iterable[str]:
    yield from _check_runs(history, request)
    if request.hung and history.in_touch(
        request.host, request.sent_at, request.told_at
    ):
        yield "no answer, long after its time"
    if request.status in PROMISES and request.runs and not request.repeatable:
        yield "refused as not run, and has run"
    if request.status in DENIALS and request.key not in history.revoked:
        yield "denied, though every configuration allows it"
    if request.status == http.HTTPStatus.OK:
        yield from _check_success(history, request)
    if (
        request.runs
        and not request.repeatable
        and not request.whole
        and not request.gave_up
        and _is_planned_loss(history, request)
    ):
        yield "lost its answer by a planned stop of its host"


def _check_runs(history: History, request: Request) -> Iterable[str]:
    if len(request.runs) > 1 and not request.repeatable:
        yield f"ran {len(request.runs)} times"
    for run in request.runs:
        sent = (request.method, request.path, request.body)
        if (run.method, run.path, run.body) != sent:
            yield f"ran changed at {run.upstream}"
        if run.workspace != history.workspace:
            yield f"ran for {run.workspace!r} at {run.upstream}"
        if not history.in_touch(request.host, request.sent_at, run.at):
            continue
        revoked_at = history.revoked.get(request.key)
        if (
            revoked_at is not None
            and request.sent_at > revoked_at + CONFIGURATION_SECONDS
        ):
            yield "ran with a key that was taken away"
        for begun, ended in history.drained[run.upstream]:
            if begun + DRAIN_SECONDS < run.at < ended:
                yield f"ran at {run.upstream}, which leaves"


def _check_announced(history: History) -> Iterable[str]:
    """Check that no host sends on what it was told of an upstream."""
    told: dict[tuple[str, str, float], float] = {}
    for request in sorted(
        history.requests.values(), key=lambda it: it.told_at
    ):
        for run in request.runs:
            for begun, ended in history.announced[run.upstream]:
                if not begun < run.at < ended:
                    continue
                place = (run.upstream, request.host, begun)
                told_at = told.get(place)
                if request.whole and not run.odd and told_at is None:
                    told[place] = request.told_at
                if told_at is None or request.sent_at < (
                    told_at + DRAIN_SECONDS
                ):
                    continue
                if history.in_touch(request.host, told_at, run.at):
                    yield (
                        f"{request.request_id}: ran at {run.upstream}, which "
                        f"had told {request.host} that it leaves"
                    )


def _check_departed(history: History) -> Iterable[str]:
    """Check that hosts send nothing for callers that have left."""
    late = [
        request.request_id
        for request in history.requests.values()
        if request.gave_up and request.told_at and not request.hung
        for run in request.runs
        if run.at > request.told_at + DEPARTED_SECONDS
        and history.in_touch(request.host, request.sent_at, run.at)
    ]
    if len(late) > FEW:
        yield (
            f"{', '.join(late)}: ran over {DEPARTED_SECONDS} s after their "
            "callers had left"
        )


def _check_success(history: History, request: Request) -> Iterable[str]:
    if not request.whole:
        if request.event_ids != list(range(1, len(request.event_ids) + 1)):
            yield f"events {request.event_ids}"
        return
    if not request.seal:
        yield "a success without an upstream's seal"
        return
    if request.streamed:
        if request.event_ids != list(range(1, history.events + 1)):
            yield f"whole with the events {request.event_ids}"
        return
    answers = [f"{it.upstream} {request.request_id}" for it in request.runs]
    if request.answer not in answers:
        yield f"answered {request.answer!r}"
    elif history.seals[request.answer.split()[0]] != request.seal:
        yield "the seal is another upstream's"


def _is_planned_loss(history: History, request: Request) -> bool:
    """Tell whether a host was told to stop, and was else undisturbed.

    An upstream that broke off is no fault of the host's.
    """
    if any(it.odd for it in request.runs):
        return False
    stops = history.planned[request.host]
    told_at = request.told_at
    return any(
        request.sent_at - CONTACT_SECONDS < it <= told_at for it in stops
    ) and history.in_touch(request.host, request.sent_at, told_at)


def _check_recovery(history: History) -> Iterable[str]:
    late = [
        it
        for it in history.requests.values()
        if it.sent_at >= history.calm_since
        and not it.gave_up
        and it.key not in history.revoked
    ]
    served = sum(it.status == http.HTTPStatus.OK and it.whole for it in late)
    if not late:
        yield "nobody asked for anything after all was mended"
    elif served < LEAST_SERVED * len(late):
        yield f"{served} of {len(late)} served after all was mended"
