"""Steps for simulated trials of the detector of poison parts."""

import behave

from testbed import part_trials

#: Parameters of each kind of trial, by its name in the scenarios.
KINDS = {
    "a new deadly part": {},
    "many rare parts": {"parts": 200},
    "a part that turns deadly": {"answered_before": True},
    "a deadly part with a rare companion": {"companion": 0.002},
    "a version that crashes all": {
        "deadly": 0.0,
        "all_crash": True,
        "rate": 20.0,
    },
    "engines killed at once": {"deadly": 0.0, "killed": 4, "parts": 200},
}


@behave.when(
    "{count:d} seeded trials of {kind} with {hosts:d} hosts and {engines:d} "
    "engines are run"
)
def run_part_trials(context, count, kind, hosts, engines):
    print(f"seeds 0 to {count - 1}")
    shape = part_trials.Shape(hosts=hosts, engines=engines, **KINDS[kind])
    context.part_trials = {
        seed: part_trials.Trial(shape=shape, seed=seed)
        for seed in range(count)
    }
    for trial in context.part_trials.values():
        trial.run()


@behave.then(
    "in no trial more than {count:d} requests with the deadly part are sent "
    "after it was shown"
)
def check_sent_late(context, count):
    wrong = {
        seed: (trial.crashed, trial.sent_late)
        for seed, trial in context.part_trials.items()
        if trial.sent_late > count
    }
    assert not wrong, (len(wrong), wrong)


@behave.then("in no trial a request without the deadly part is refused")
def check_sound_served(context):
    wrong = {
        seed: trial.refused_sound
        for seed, trial in context.part_trials.items()
        if trial.refused_sound
    }
    assert not wrong, (len(wrong), wrong)
