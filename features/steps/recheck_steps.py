"""Steps for versions that turn bad after their move is done."""

import collections
import re
import time

import behave

from testbed import drives
from testbed import moves


@behave.when("other traffic runs until v2 is withdrawn")
def drive_other_until_withdrawn(context):
    moves.drive_until_withdrawn(context, seed=moves.SEED + 1)


@behave.then("no request was sent to v2 after its withdrawal")
def check_nothing_later(context):
    ours = {chat.request_id for chat in context.drive.chats}
    on_new = [
        run
        for run in drives.list_engine_runs(context.fleet)
        if run["request_id"] in ours and run["version"] == "v2"
    ]
    seconds = context.withdrawn_at - context.bad_since
    print(f"{len(on_new)} of {len(ours)} on v2, in {seconds:.1f} s")
    late = moves.list_late_sendings(context)
    assert on_new and not late, late[:3]


@behave.when("both versions fail under other traffic for {seconds:d} s")
def fail_both(context, seconds):
    for engine in context.fleet.engines:
        engine.set_faults(bad_versions={"v1": "fail", "v2": "fail"})
    moves.drive(context, lambda: False, limit=seconds, seed=moves.SEED + 1)


@behave.then("the versions were compared again and v2 is not withdrawn")
def check_recheck_passes(context):
    for entry in context.fleet.entries:
        assert moves.read_move(entry)["rechecked"], entry.name
        assert not moves.is_withdrawn(entry), entry.name


@behave.when("a move from v1 to v2 is done")
def begin_done_move(context):
    moves.begin_move(context)
    moves.end_in_store(context)


@behave.when("other traffic runs through 2 of 3 hosts until v2 is withdrawn")
def drive_through_two(context):
    *busy, context.idle = context.fleet.entries
    context.compared_at = 0.0
    context.idle_compared = False

    def is_finished():
        if not context.compared_at:
            found = any(moves.read_move(entry)["rechecked"] for entry in busy)
            context.compared_at = time.time() if found else 0.0
        if moves.read_move(context.idle)["rechecked"]:
            context.idle_compared = True
        return moves.is_withdrawn(context.idle)

    moves.drive(
        context,
        is_finished,
        seed=moves.SEED + 1,
        rate=60.0,
        entries=(0, 1),
        workspaces=("booth",),
    )
    assert moves.is_withdrawn(context.idle), moves.read_move(busy[0])


@behave.then("the third host compared the versions as well")
def check_idle_compared(context):
    assert context.idle_compared


@behave.then("v2 was withdrawn on more attempts than any one host had made")
def check_merged(context):
    reason = moves.read_move(context.idle)["reason"]
    judged = int(re.search(r"of ([0-9]+) attempts failed", reason)[1])
    ours = {chat.request_id for chat in context.drive.chats}
    made = collections.Counter(
        run["attempt"].split("/")[1]
        for run in drives.list_engine_runs(context.fleet)
        if run["request_id"] in ours
        and run["version"] == "v2"
        and run["time"] >= context.compared_at
    )
    print(f"{reason}; {dict(made)}")
    assert judged > max(made.values()), (reason, made)
