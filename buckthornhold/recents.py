"""Recent requests: what an entry host did with each, for explanations."""

import collections
import time

from buckthornhold import attempts
from buckthornhold import grammars
from buckthornhold import reasons
from buckthornhold import rules
from buckthornhold import signals

#: How many attempts of one request are kept, the newest ones.
MAX_ATTEMPTS = 8
#: Steps that look for a version and an upstream that may serve a request.
ROUTING_STEPS = ("version", "route", "room")


class RecentRequest:
    """What is known of one request.

    It keeps the attempts themselves, which cost nothing while requests are
    served; they are described when somebody asks.
    """

    __slots__ = (
        "attempts",
        "ended",
        "failure",
        "revision",
        "route",
        "time",
        "workspace",
    )

    def __init__(self, *, revision: int) -> None:
        #: When it was first seen, in seconds since the epoch.
        self.time = time.time()
        #: Rules revision in force then.
        self.revision = revision
        #: Who asks for what; empty when it was refused before it was read.
        self.workspace = ""
        self.route = ""
        #: Attempts, each with the upstream's load when it was chosen.
        self.attempts: list[tuple[attempts.Attempt, int]] = []
        self.ended = False
        self.failure: reasons.Failure | None = None

    @property
    def outcome(self) -> str:
        """``running``, ``answered`` or ``refused``."""
        if not self.ended:
            return "running"
        return "refused" if self.failure else "answered"


class Recents:
    """Keeps the newest requests of one entry host in memory.

    It follows the host's signals; nothing waits for it.
    """

    def __init__(self, *, host, size: int) -> None:
        self._host = host
        self._settings = host.settings
        self._size = size
        self._requests: collections.OrderedDict[str, RecentRequest] = (
            collections.OrderedDict()
        )
        signals.request_read.connect(self._read_request, sender=host)
        signals.attempt_started.connect(self._start_attempt, sender=host)
        signals.request_finished.connect(self._end_request, sender=host)

    def describe(self, request_id: str) -> dict | None:
        """Return what is known of a request, None if it isn't kept."""
        request = self._requests.get(request_id)
        if request is None:
            return None
        contract = (
            request.attempts[-1][0].contract if request.attempts else None
        )
        return {
            "request_id": request_id,
            "host": self._settings.host,
            "zone": self._settings.zone,
            "time": request.time,
            "revision": request.revision,
            "workspace": request.workspace,
            "route": request.route,
            "priority": contract.priority if contract else 0,
            "attempts": [
                self._describe_attempt(attempt, in_flight)
                for attempt, in_flight in request.attempts
            ],
            "rules": [
                grammars.format_rule(rule)
                for rule in self._list_rules(request)
            ],
            "rules_changed": self._have_rules_changed(request),
            "outcome": request.outcome,
            "failure": describe_failure(request.failure),
        }

    def _have_rules_changed(self, request: RecentRequest) -> bool:
        return request.revision != self._host.revisions.current.number

    def _list_rules(self, request: RecentRequest) -> list[rules.Rule]:
        """Return the rules that decided, if they are still in force."""
        if self._have_rules_changed(request):
            return []
        rule_set = self._host.rules
        if not request.attempts:
            host = self._settings.host
            return list_refusing(rule_set, request, host=host)
        attempt = request.attempts[-1][0]
        found = [
            rule
            for rule in list_routing(rule_set, request.route)
            if not isinstance(rule, rules.ServeRule)
            or rule.version == attempt.version
        ]
        limit = rule_set.find_limit(request.workspace)
        return [*found, limit] if limit else found

    def _describe_attempt(
        self, attempt: attempts.Attempt, in_flight: int
    ) -> dict:
        """Describe an attempt; ``seconds`` is 0 while it runs.

        ``time`` is when it was sent, in seconds since the epoch.
        """
        seconds = (
            attempt.ended_at - attempt.started_at if attempt.ended_at else 0.0
        )
        return {
            "time": time.time() - (time.monotonic() - attempt.started_at),
            "upstream": attempt.upstream.name,
            "zone": attempt.upstream.record.zone,
            "version": attempt.version,
            "router": self._host.router.name,
            "in_flight": in_flight,
            "seconds": round(seconds, 6),
            "tokens": attempt.tokens,
            "failure": describe_failure(attempt.failure),
        }

    def _read_request(
        self, sender, *, request_id: str, workspace: str, route: str
    ) -> None:
        request = self._keep(request_id)
        request.ended = False
        request.workspace = workspace
        request.route = route

    def _start_attempt(self, sender, *, attempt: attempts.Attempt) -> None:
        request = self._keep(attempt.contract.request_id)
        request.ended = False
        request.workspace = attempt.contract.workspace
        request.route = attempt.contract.route
        request.attempts.append((attempt, attempt.upstream.in_flight))
        if len(request.attempts) > MAX_ATTEMPTS:
            del request.attempts[0]

    def _end_request(self, sender, *, request_id: str, failure) -> None:
        request = self._keep(request_id)
        request.ended = True
        request.failure = failure

    def _keep(self, request_id: str) -> RecentRequest:
        request = self._requests.get(request_id)
        if request is None:
            revision = self._host.revisions.current.number
            request = RecentRequest(revision=revision)
            self._requests[request_id] = request
            if len(self._requests) > self._size:
                self._requests.popitem(last=False)
        return request


def list_routing(rule_set: rules.RuleSet, route: str) -> list[rules.Rule]:
    """Return the rules that say where requests of a route may go."""
    service, _, operation = route.partition("/")
    found = [
        *rule_set.list_serves(route),
        rule_set.find_move(route),
        rule_set.find_call(service, operation),
    ]
    return [rule for rule in found if rule]


def list_refusing(
    rule_set: rules.RuleSet, request: RecentRequest, *, host: str
) -> list[rules.Rule]:
    """Return the rules by which a request was refused before an attempt."""
    if request.failure is None:
        return []
    if request.failure.reason is reasons.Reason.HOST_DRAINING:
        drain = rule_set.find_drain(host)
        return [drain] if drain else []
    if request.failure.reason is reasons.Reason.LIMIT_REACHED:
        limit = rule_set.find_limit(request.workspace)
        return [limit] if limit else []
    if request.failure.reason is reasons.Reason.ZONE_EVACUATED:
        evacuations: list[rules.Rule] = [*rule_set.list_evacuations()]
        return evacuations + list_routing(rule_set, request.route)
    if request.failure.step not in ROUTING_STEPS:
        return []
    return list_routing(rule_set, request.route)


def describe_failure(failure: reasons.Failure | None) -> dict | None:
    """Return all that a failure says; ``retry_after`` is in seconds."""
    if failure is None:
        return None
    return {
        "reason": failure.reason.value,
        "step": failure.step,
        "peer": failure.peer,
        "ran": failure.ran.value,
        "detail": failure.detail,
        "retry_after": failure.retry_after,
    }
