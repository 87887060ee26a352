"""Named signals sent at life-cycle points.

Receivers are called in the event loop and must not block. The sender is the
entry host (``daemons.EntryHost``).
"""

import blinker

host_ready = blinker.Signal("An entry host is ready for callers")
host_draining = blinker.Signal("An entry host takes no new requests")
rules_adopted = blinker.Signal("revision: a rules revision is in force")
request_read = blinker.Signal(
    "request_id, workspace, route: what a caller asks for is known"
)
request_finished = blinker.Signal("request, failure: a caller's last word")
attempt_started = blinker.Signal("attempt: sent to an upstream")
attempt_finished = blinker.Signal("attempt: an upstream answered or failed")
host_resumed = blinker.Signal("seconds: the process stood still so long")
member_changed = blinker.Signal("member: another entry host changed")
upstream_leaving = blinker.Signal("upstream: takes no new work")
