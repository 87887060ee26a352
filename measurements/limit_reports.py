"""Reports of the runs of shared limits."""

import bisect
import collections

from measurements import limit_cases


def make_calm_report(play) -> dict:
    """Return what a run of calm demand refused."""
    plan = play.plan
    periods = range(int((play.now - play.start) / limit_cases.WINDOW_SECONDS))
    return {
        "way": plan.way,
        "hosts": plan.hosts,
        "rate": plan.rate,
        "seed": plan.seed,
        "asked": play.calm_asked,
        "calm_refused": round(play.calm_refused / max(1, play.calm_asked), 5),
        "by_period": [
            round(
                play.periods["refused", it]
                / max(1, play.periods["asked", it]),
                4,
            )
            for it in periods
        ],
        "longest_wait": round(play.longest_wait, 2),
    }


def make_report(
    play, start: float, hot: float, cool: float, end: float
) -> dict:
    """Return what a run admitted in each window, by size and urgency."""

    def sum_windows(events, first, last):
        times = [at for at, _ in events]
        sums = [0.0]
        for _, units in events:
            sums.append(sums[-1] + units)
        found = []
        at = first
        while at + limit_cases.WINDOW_SECONDS <= last + 1e-9:
            low = bisect.bisect_left(times, at)
            high = bisect.bisect_left(times, at + limit_cases.WINDOW_SECONDS)
            found.append(sums[high] - sums[low])
            at += 0.05
        return found

    if play.plan.calm:
        return make_calm_report(play)
    every = sum_windows(play.admitted, start, end)
    inside = sum_windows(play.admitted, hot, cool)
    asked = sum_windows(play.asked, hot, cool)
    shares = [
        got / min(play.plan.limit, want)
        for got, want in zip(inside, asked, strict=True)
    ]
    sizes, urgencies = {}, collections.Counter()
    for size, _, urgency in (*limit_cases.KINDS, (limit_cases.LARGEST, 0, 0)):
        want = play.tally["asked", size, urgency]
        got = play.tally["in", size, urgency]
        sizes[size] = round(got / max(1, want), 2)
        urgencies["asked", urgency] += want * size
        urgencies["in", urgency] += got * size
    plan = play.plan
    return {
        "way": plan.way,
        "hosts": plan.hosts,
        "factor": plan.factor,
        "fault": plan.fault,
        "seed": plan.seed,
        "most": round(max(every) / plan.limit, 3),
        "over_bound": max(every) > plan.bound,
        "least": round(min(shares), 3),
        "mean": round(sum(shares) / len(shares), 3),
        "by_size": sizes,
        "by_urgency": {
            it: round(urgencies["in", it] / max(1, urgencies["asked", it]), 2)
            for it in (0, 1, 2)
        },
        "calm_refused": round(play.calm_refused / max(1, play.calm_asked), 4),
        "calm_lost": round(play.calm_lost / max(1, play.calm_asked), 4),
    }
