"""Steps on real processes over a store that goes back to a copy."""

import behave

from features.steps import at_most_once_steps
from testbed import machines

#: Older than the payment, which took less.
COPY_AGE_SECONDS = 3.0


@behave.when("eras: the platform's store goes back to before the payment")
def restore_platform(context):
    reply = machines.call(
        "POST",
        context.fleet.platform.address,
        "/restore-older",
        {"seconds": COPY_AGE_SECONDS},
    )
    assert reply.status == 200, reply


@behave.when(
    "eras: the payment is retried through host {number:d} until it is final"
)
def retry_until_final(context, number):
    at_most_once_steps.retry_until_final(context.payment, number)


@behave.then("eras: the hosts are ready and the store has the rules")
def check_rules(context):
    fleet = context.fleet

    def hold():
        dump = fleet.platform.get("/dump")
        return "rules/current" in dump["entries"] and all(
            entry.is_ready() for entry in fleet.entries
        )

    machines.wait_until(hold, what="the hosts are ready, the rules stored")
