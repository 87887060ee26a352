"""What settings, reasons and counters mean, for the generated pages."""

SETTINGS = {
    "host": "Name of this entry host, its own in the whole fleet.",
    "zone": "Availability zone of this host.",
    "listen.callers": "Address for callers (HTTP).",
    "listen.operators": "Address for operators (HTTP).",
    "listen.peers": "Address for other entry hosts (gRPC).",
    "platform": "Address of the platform's service.",
    "incarnation": (
        "Number that tells this process from earlier ones on the same "
        "address; the start time when it is not given."
    ),
    "region": "Region of the availability zone.",
    "host_class": "Class of this host, such as on-demand or reclaimable.",
    "log_level": "Least level that is logged.",
    "seeds": "Peers' addresses to start from while the host list is down.",
    "operator_tokens": "Operators' names with their tokens.",
    "translations": (
        "Published addresses with the addresses under which this host "
        "reaches them."
    ),
    "statsd_address": "Where counters are sent to; nowhere when not given.",
    "statsd_prefix": "First part of every counter's name at statsd.",
    "embedded": "Run the stand-ins in this process, to try things out.",
    "router": "How an upstream is chosen.",
    "platform_timeout": "Longest wait for one answer of the platform, s.",
    "rules_watch_timeout": "Length of one watch on the rules, s.",
    "rules_retry_interval": "Wait after a failed read of the rules, s.",
    "host_list_interval": "Time between reads of the host list, s.",
    "upstream_connect_timeout": "Longest wait for a connection, s.",
    "stream_event_timeout": "Longest wait for a stream's next event, s.",
    "request_deadline": "Time that a model request may take, s.",
    "body_limit": "Greatest size of a request's body, bytes.",
    "body_budget": "Greatest size of all bodies being read, bytes.",
    "body_timeout": "Longest time for a request's head or body, s.",
    "max_in_flight": "Requests that the host takes at once.",
    "max_attempts": "Sendings of one request to upstreams, at most.",
    "drain_timeout": "Longest wait for requests in flight at the end, s.",
    "retry_after": "What refused callers are told to wait, s.",
    "keepalive_timeout": "Life of an idle connection of a caller, s.",
    "caller_stall_timeout": (
        "How long a caller may read nothing of what waits for it, s."
    ),
    "recent_requests": "Requests that `explain request` can tell of.",
}

REASONS = {
    "bad_request": "The request, its path or its body is malformed.",
    "body_too_large": "The body is larger than `body_limit`.",
    "caller_gone": "The caller closed its connection before the answer.",
    "caller_too_slow": "Head or body took longer than `body_timeout`.",
    "deadline_passed": "The request's time ran out.",
    "host_draining": "The host takes no new work; ask another.",
    "host_not_ready": "The host has no rules yet; ask another.",
    "host_full": "The host has `max_in_flight` requests; ask later.",
    "id_reused": "The request id came with another body before.",
    "id_expired": "The request id is too old to tell if it was run.",
    "internal_error": "An unforeseen error; the log has its place.",
    "limit_reached": "The workspace is over its limit.",
    "method_not_allowed": "The path does not take this method.",
    "no_upstream": "No upstream may take the request now.",
    "not_authorized": "The token or the workspace is not allowed this.",
    "outcome_unknown": "The call may have been run or not.",
    "poison_request": "The request crashed the upstreams that ran it.",
    "rule_conflict": "The rules have changed since the base revision.",
    "rule_invalid": "A line of the rules text is wrong.",
    "still_running": "The same request is being run.",
    "store_conflict": "Another host's write to the store was first.",
    "store_unavailable": "The platform's service does not answer.",
    "store_value_too_large": "The platform does not hold a value this large.",
    "unknown_model": "No rule names the model.",
    "unknown_path": "The path leads nowhere.",
    "unknown_request": "No host that was asked remembers the request.",
    "unknown_revision": "The store does not have the revision or change.",
    "unknown_service": "No rule names the service or operation.",
    "unknown_stream": "The stream to go on with is not known.",
    "upstream_broken": "The upstream's answer broke off or was not its own.",
    "upstream_error": "The upstream answered with an error.",
    "upstream_refused": "The upstream did not take the request.",
    "upstream_timeout": "The upstream went silent.",
    "upstream_unreachable": "No connection to the upstream.",
    "peer_unreachable": "Another entry host does not answer.",
}

RETRIES = {
    "connect_failed": "No connection came about.",
    "upstream_refused": "The upstream did not take the request.",
    "upstream_leaving": "The upstream is leaving.",
    "upstream_error": "The upstream answered with an error.",
    "stream_truncated": "The answer broke off or was not the request's own.",
    "stream_stalled": "The upstream went silent.",
}

EVENTS = {
    "requests.model": "Model requests that came in.",
    "requests.service": "Calls of plain services that came in.",
    "answers.late_dropped": "Answers that came too late to be used.",
    "callers.stalled": "Callers cut off because they read nothing.",
    "revisions.adopted": "Rules revisions put in force.",
    "revisions.older_ignored": "Older rules revisions that were ignored.",
    "tasks.errors": "Unforeseen errors in background tasks.",
}
