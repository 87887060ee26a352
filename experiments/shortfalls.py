"""Shortfalls: where a replay's figures miss its trace's stated outcomes."""

from experiments import traces

#: Figures, in seconds, that must not lie above the outcome of their name.
BOUNDED_TIMES = ("first_token_p95", "gap_p95", "call_p95", "refusal_p99")
#: Counts that must not lie above the outcome of their name.
BOUNDED_COUNTS = ("wrong", "doubles", "lost", "gave_up")


def find_shortfalls(outcomes: traces.Outcomes, summary: dict) -> list[str]:
    """Return a line for each outcome that a run's summary misses."""
    found = []
    for name in (*BOUNDED_TIMES, *BOUNDED_COUNTS):
        most = getattr(outcomes, name)
        if summary[name] > most:
            found.append(f"{name} {summary[name]:g} above {most:g}")
    share = summary["answered"] / max(1, summary["requests"])
    if share < outcomes.goodput:
        found.append(f"goodput {share:.4f} below {outcomes.goodput:g}")
    return found
