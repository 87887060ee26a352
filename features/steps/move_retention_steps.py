"""Steps for the states of moves that no rule names."""

import behave

from testbed import drives
from testbed import machines
from testbed import moves


@behave.when("an operator removes the move's line")
def remove_line(context):
    context.forgotten = moves.read_move(context.fleet.entries[0])["move"]
    context.fleet.apply_rules(moves.render_rules("# no move"))


@behave.then(
    "the store and every version host forget the move within {seconds:d} s"
)
def check_forgotten(context, seconds):
    key = f"moves/{context.forgotten}"

    def list_kept():
        return [
            entry.name
            for entry in context.fleet.entries
            for move in drives.read_status(entry)["expiring_moves"]
            if move["move"] == context.forgotten
        ]

    machines.wait_until(list_kept, timeout=seconds, what="the move expires")
    machines.wait_until(
        lambda: not list_kept() and not moves.read_store(context, key),
        timeout=seconds,
        what="the move is forgotten",
    )


@behave.when("an operator restores the move's line")
def restore_line(context):
    context.fleet.apply_rules(moves.render_rules(context.move_line))
    for entry in context.fleet.entries:
        machines.wait_until(
            lambda entry=entry: drives.read_status(entry)["moves"],
            what=f"{entry.name} knows the line",
        )
        machines.wait_until(
            lambda entry=entry: moves.read_move(entry)["state"] != "not begun",
            what=f"{entry.name} knows the move's state",
        )
