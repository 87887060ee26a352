"""Steps for a judge of moves that is paused while it writes a step."""

import json
import time

import behave

from testbed import drives
from testbed import moves

#: Delay of the store's calls until the judge is paused.
STORE_DELAY_SECONDS = 0.3
#: Time within which a write that the store has received takes effect.
WRITE_EFFECT_SECONDS = 0.6


def read_agreed(context):
    """Return the move's state in the store."""
    text = moves.read_store(context, f"moves/{context.begun['move']}")
    return json.loads(json.loads(text)["value"])


def rank(state):
    """Return a sort key: later states of the move rank higher."""
    return (["running", "done", "taken_back"].index(state["state"]),) + (
        state["step"],
    )


def count_writes(context):
    return context.fleet.platform.get("/meter")["writes"]


def list_move_writes(context):
    history = context.fleet.platform.get("/history")
    key = f"moves/{context.begun['move']}"
    return [write for write in history if write["key"] == key]


class Pause:
    """Pauses the judge during a write until another host has written a step.

    Meanwhile it samples the move's state on the hosts and in the store.
    """

    def __init__(self, context):
        self._context = context
        self._judge = context.judge
        self._resumed = False
        self._written = ()
        self._writes = count_writes(context)
        self.frozen = False
        self.samples = []

    def step(self):
        """Advance; return whether the move has ended after the pause."""
        if not self.frozen and not self._resumed:
            self._try_freeze()
            return False
        self._sample()
        if self.frozen:
            if rank(self.samples[-1]["store"]) > self._written:
                self._judge.thaw()
                self.frozen = False
                self._resumed = True
            return False
        return self.samples[-1]["store"]["state"] != "running"

    def _try_freeze(self):
        """Pause the judge when the store receives the write of a step."""
        give_up_at = time.monotonic() + 20.0
        known = len(list_move_writes(self._context))
        while time.monotonic() < give_up_at:
            writes = count_writes(self._context)
            received, self._writes = writes > self._writes, writes
            if not received:
                continue
            self._judge.freeze()
            time.sleep(WRITE_EFFECT_SECONDS)
            if len(list_move_writes(self._context)) > known:
                self._context.fleet.platform.set_faults(slow=0.0)
                self._written = rank(read_agreed(self._context))
                self.frozen = True
                return
            self._judge.thaw()
            self._writes = count_writes(self._context)

    def _sample(self):
        running = [
            entry
            for entry in self._context.fleet.entries
            if entry is not self._judge or not self.frozen
        ]
        hosts = {host.name: moves.read_move(host) for host in running}
        store = read_agreed(self._context)
        self.samples.append({"hosts": hosts, "store": store})


@behave.when(
    "a move from v1 to v2 begins and its judge is paused while it writes a "
    "step, until another has written one"
)
def pause_judge(context):
    moves.begin_move(context)
    context.begun = moves.read_move(context.fleet.entries[0])
    entries = context.fleet.entries
    context.judge = next(
        host for host in entries if host.name == context.begun["holder"]
    )
    context.fleet.platform.set_faults(slow=STORE_DELAY_SECONDS)
    pause = Pause(context)
    try:
        moves.drive(
            context,
            pause.step,
            entries=tuple(
                index
                for index, entry in enumerate(entries)
                if entry is not context.judge
            ),
            limit=40.0,
        )
    finally:
        context.judge.thaw()
    context.samples = pause.samples
    assert pause.samples and not pause.frozen


@behave.then("no host's state ever went back or ahead of the store's")
def check_states_monotonic(context):
    latest = {}
    for sample in context.samples:
        for name, state in sample["hosts"].items():
            assert rank(state) <= rank(sample["store"]), (name, sample)
            assert rank(state) >= latest.get(name, (0, 0)), (name, sample)
            latest[name] = rank(state)
    assert context.judge.name in latest


@behave.then("each holder's fencing token was higher than the previous one")
def check_fences(context):
    holders = [(context.begun["fence"], context.begun["holder"])]
    for sample in context.samples:
        found = (sample["store"]["fence"], sample["store"]["holder"])
        if found == holders[-1]:
            continue
        assert found[0] > holders[-1][0], (holders, found)
        holders.append(found)
    print(holders)
    assert holders[-1][1] != context.judge.name, holders
    assert drives.read_status(context.judge)["moves"]
