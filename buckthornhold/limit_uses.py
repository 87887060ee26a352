"""Uses of workspaces' limits: what hosts report of them, and what they log."""

from collections.abc import Mapping
import dataclasses

from buckthornhold import counters
from buckthornhold.peers import summaries_pb2
from buckthornhold.scheduling import limits

#: Urgencies in a log line.
MAX_LOGGED_SHARES = 10


@dataclasses.dataclass(frozen=True, kw_only=True)
class Use:
    """Units of a limit since a process started.

    ``requested`` are by urgency, those of small requests by
    ``limits.SMALL``. It is empty if the sender doesn't report them.
    """

    admitted: float
    requested: Mapping[int, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, kw_only=True)
class LimitChange:
    """A workspace that became limited, or no longer is.

    ``shares`` are the parts of the requests that are admitted, by urgency;
    ``age`` is that of the other hosts' figures in seconds, None without any.
    """

    workspace: str
    limited: bool
    shares: Mapping[int, float]
    age: float | None

    def describe(self) -> str:
        """Return the text of the log line."""
        state = "is limited" if self.limited else "is no longer limited"
        shares = ", ".join(
            f"{'small' if kind == limits.SMALL else kind}: {share:.2f}"
            for kind, share in sorted(self.shares.items())[:MAX_LOGGED_SHARES]
        )
        age = "unknown" if self.age is None else f"{self.age:.1f} s old"
        return (
            f"{self.workspace} {state}, admitted by urgency: "
            f"{shares or 'all'}; other hosts' figures {age}"
        )


class ChangeLog:
    """Logs and counts the changes of workspaces' limits."""

    def __init__(self, *, logger, counts: counters.Counters) -> None:
        self._logger = logger
        self._counters = counts

    def note(self, change: LimitChange) -> None:
        """Log and count a change."""
        name = "limits.reached" if change.limited else "limits.ended"
        self._counters.count_event(name)
        self._logger.bind(step="limit").info(change.describe())


def read_uses(summary: summaries_pb2.Summary) -> dict[str, Use]:
    """Return the units in a summary, by workspace."""
    uses = {}
    for use in summary.uses:
        requested = dict(use.requested)
        if use.small_requested:
            requested[limits.SMALL] = use.small_requested
        uses[use.workspace] = Use(admitted=use.units, requested=requested)
    return uses


def write_uses(
    summary: summaries_pb2.Summary, uses: Mapping[str, Use]
) -> None:
    """Add the units of workspaces to a summary."""
    for name, use in uses.items():
        requested = dict(use.requested)
        summary.uses.add(
            workspace=name,
            units=use.admitted,
            small_requested=requested.pop(limits.SMALL, 0.0),
            requested=requested,
        )
