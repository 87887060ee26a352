"""Steps on links that lose a share of the transmissions."""

import time

import behave

from features.steps import membership_steps
from testbed import absences


@behave.when(
    "losses: the links between zones lose {share:g} of all transmissions for "
    "{seconds:d} seconds"
)
def lose_share(context, share, seconds):
    context.fleet.network.set_faults(loss=share)
    time.sleep(seconds)


@behave.then(
    "losses: no running host was seen gone for more than {seconds:d} seconds"
)
def check_absences(context, seconds):
    logs = {
        entry.name: membership_steps.read_new_log(context, entry)
        for entry in context.fleet.entries
    }
    found = absences.list_absences(logs)
    print(f"doubts {absences.count_doubts(logs)}, absences {found}")
    assert max(found, default=0.0) <= seconds, found


@behave.then(
    "losses: every host sees host {number:d} gone within {seconds:d} seconds"
)
def check_detected(context, number, seconds):
    started_at = time.monotonic()
    membership_steps.check_state(context, number, "gone")
    seconds_taken = time.monotonic() - started_at
    print(f"seen gone by all after {seconds_taken:.1f} s")
    assert seconds_taken <= seconds, seconds_taken
