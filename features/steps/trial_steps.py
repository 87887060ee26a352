"""Steps for simulated trials of the poison detector."""

import behave

from testbed import trials

#: Parameters of each kind of trial, by its name in the scenarios.
KINDS = {
    "poison at once": {"late": False},
    "late poison": {"late": True},
    "late poison on a slow fleet": {"late": True, "delay": 0.2, "lag": 0.3},
    "late poison among callers that leave": {"late": True, "gone": 4},
}


@behave.when(
    "{count:d} seeded trials of {kind} among {suspects:d} suspects on "
    "{upstreams:d} upstreams are run"
)
def run_trials(context, count, kind, suspects, upstreams):
    print(f"seeds 0 to {count - 1}")
    context.shape = trials.Shape(
        upstreams=upstreams, suspects=suspects, **KINDS[kind]
    )
    context.trials = {
        seed: trials.Trial(shape=context.shape, seed=seed)
        for seed in range(count)
    }
    for trial in context.trials.values():
        trial.run()


@behave.then(
    "in each trial the poison is refused after at most {count:d} crashes"
)
def check_trials_crashes(context, count):
    wrong = {
        seed: trial.crashed
        for seed, trial in context.trials.items()
        if not trial.poison.refused or len(trial.crashed) > count
    }
    assert not wrong, (len(wrong), wrong)


@behave.then("in no trial an innocent request is refused")
def check_trials_innocents(context):
    wrong = [
        seed
        for seed, trial in context.trials.items()
        if any(request.refused for request in trial.list_innocents())
    ]
    assert not wrong, wrong


@behave.then(
    "in no trial an innocent request waits once the poison is refused"
)
def check_trials_waits(context):
    longest = max(
        request.held_back
        for trial in context.trials.values()
        for request in trial.list_innocents()
    )
    print(f"held back for {longest:.2f} s")
    assert longest <= context.shape.release_seconds, longest


@behave.then("in each trial every innocent request got its whole answer")
def check_trials_ended(context):
    wrong = [
        seed
        for seed, trial in context.trials.items()
        if not all(request.ended for request in trial.list_innocents())
    ]
    assert not wrong, wrong
