"""Sentinel outcomes: why something failed, at which step and peer."""

import dataclasses
import enum


class Ran(enum.StrEnum):
    """Whether a refused request was run by an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Reason(enum.StrEnum):
    """Every reason for a refusal or a failed step.

    Each member has a counter of its own; see ``counters``.
    """

    ANSWER_CROSSED = "answer_crossed"
    ANSWER_NOT_KEPT = "answer_not_kept"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    CALLER_GONE = "caller_gone"
    CHANGE_NOT_FOUND = "change_not_found"
    CALLER_TOO_SLOW = "caller_too_slow"
    DEADLINE_PASSED = "deadline_passed"
    FENCE_OLD = "fence_old"
    HOST_DRAINING = "host_draining"
    HOST_NOT_READY = "host_not_ready"
    HOST_FULL = "host_full"
    ID_REUSED = "id_reused"
    ID_EXPIRED = "id_expired"
    LEASE_TOO_SHORT = "lease_too_short"
    NOT_HOLDER = "not_holder"
    INTERNAL_ERROR = "internal_error"
    LIMIT_REACHED = "limit_reached"
    METHOD_NOT_ALLOWED = "method_not_allowed"
    NO_ROOM = "no_room"
    NO_UPSTREAM = "no_upstream"
    NOT_AUTHORIZED = "not_authorized"
    ORDER_OVERRIDDEN = "order_overridden"
    ORDER_REFUSED = "order_refused"
    OUTCOME_UNKNOWN = "outcome_unknown"
    POISON_REQUEST = "poison_request"
    REGION_NOT_ALLOWED = "region_not_allowed"
    RETRY_BUDGET = "retry_budget"
    RULE_CONFLICT = "rule_conflict"
    RULE_INVALID = "rule_invalid"
    SHARE_EXCEEDED = "share_exceeded"
    STILL_RUNNING = "still_running"
    STREAM_MOVED = "stream_moved"
    STREAM_UNREACHABLE = "stream_unreachable"
    STORE_CONFLICT = "store_conflict"
    STORE_HISTORY_GONE = "store_history_gone"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_VALUE_TOO_LARGE = "store_value_too_large"
    TEXT_LOST = "text_lost"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_PATH = "unknown_path"
    UNKNOWN_REQUEST = "unknown_request"
    UNKNOWN_REVISION = "unknown_revision"
    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_STREAM = "unknown_stream"
    UPSTREAM_BROKEN = "upstream_broken"
    UPSTREAM_ERROR = "upstream_error"
    UPSTREAM_LEAVING = "upstream_leaving"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    UPSTREAM_UNREACHABLE = "upstream_unreachable"
    UPSTREAMS_COLD = "upstreams_cold"
    VERSION_WITHDRAWN = "version_withdrawn"
    ZONE_EVACUATED = "zone_evacuated"
    PEER_REFUSED = "peer_refused"
    PEER_UNREACHABLE = "peer_unreachable"


class RetryReason(enum.StrEnum):
    """Every reason for sending a request to an upstream again."""

    CONNECT_FAILED = "connect_failed"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_LEAVING = "upstream_leaving"
    UPSTREAM_ERROR = "upstream_error"
    STREAM_TRUNCATED = "stream_truncated"
    STREAM_STALLED = "stream_stalled"
    ANSWER_CROSSED = "answer_crossed"


@dataclasses.dataclass(frozen=True, kw_only=True)
class Failure:
    """A step that failed, returned in place of a result.

    ``ran`` speaks of the request or write itself: ``NO`` only when it surely
    did not take effect. ``retry_after`` is in seconds.
    """

    reason: Reason
    step: str
    peer: str = ""
    ran: Ran = Ran.NO
    detail: str = ""
    retry_after: float | None = None

    def replace(self, **changes) -> "Failure":
        """Return a copy with some fields changed."""
        return dataclasses.replace(self, **changes)


HTTP_STATUS = {
    Reason.ANSWER_CROSSED: 502,
    Reason.ANSWER_NOT_KEPT: 410,
    Reason.BAD_REQUEST: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.CALLER_TOO_SLOW: 408,
    Reason.CHANGE_NOT_FOUND: 404,
    Reason.DEADLINE_PASSED: 504,
    Reason.ID_EXPIRED: 410,
    Reason.ID_REUSED: 422,
    Reason.INTERNAL_ERROR: 500,
    Reason.LIMIT_REACHED: 429,
    Reason.METHOD_NOT_ALLOWED: 405,
    Reason.NOT_AUTHORIZED: 401,
    Reason.OUTCOME_UNKNOWN: 502,
    Reason.POISON_REQUEST: 422,
    Reason.RULE_CONFLICT: 409,
    Reason.RULE_INVALID: 422,
    Reason.SHARE_EXCEEDED: 429,
    Reason.STILL_RUNNING: 409,
    Reason.TEXT_LOST: 410,
    Reason.UNKNOWN_MODEL: 404,
    Reason.UNKNOWN_PATH: 404,
    Reason.UNKNOWN_REQUEST: 404,
    Reason.UNKNOWN_REVISION: 404,
    Reason.UNKNOWN_SERVICE: 404,
    Reason.UNKNOWN_STREAM: 404,
    Reason.UPSTREAM_BROKEN: 502,
    Reason.UPSTREAM_ERROR: 502,
    Reason.UPSTREAM_TIMEOUT: 504,
}
DEFAULT_STATUS = 503


def find_status(reason: Reason) -> int:
    """Return the HTTP status code for a final refusal."""
    return HTTP_STATUS.get(reason, DEFAULT_STATUS)
