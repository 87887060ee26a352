"""Results: what the callers of one run saw, as figures."""

import dataclasses
import math
import operator
import statistics
import time

from hdrh import histogram

from experiments import shortfalls
from experiments import traces
from testbed import callers

MICROSECONDS = 1_000_000
LONGEST_MICROSECONDS = 600 * MICROSECONDS
KILOBYTES_PER_MEGABYTE = 1024

#: Price of one engine for an hour, by zone; the first zone is the dearest.
ZONE_PRICES = (2.4, 2.0, 1.7)

#: Recovered is when this share of the requests of a window is good again.
RECOVERED_SHARE = 0.9
RECOVERY_WINDOW_SECONDS = 2.0
RECOVERY_STEP_SECONDS = 0.25


@dataclasses.dataclass(frozen=True, kw_only=True)
class ChatOutcome:
    """What became of one model request.

    ``at`` is when it arrived, in seconds after the start of the run.
    """

    at: float
    workspace: str
    good: bool
    refused: bool
    lost: bool


@dataclasses.dataclass(kw_only=True)
class Result:
    """What the callers saw in one run, and what the engines counted.

    A model request is good when its answer is whole, its first token met
    the trace's target and its mean time between tokens did. ``gave_up``
    counts callers that had no token within their patience. ``memory_peak``
    is the greatest resident memory of an entry host, in kB.
    """

    plan: object
    answered: int = 0
    good: int = 0
    wrong: int = 0
    doubles: int = 0
    lost: int = 0
    gave_up: int = 0
    returned: int = 0
    returned_in_vain: int = 0
    memory_peak: int = 0
    refused: dict[str, int] = dataclasses.field(default_factory=dict)
    retries: int = 0
    prefilled: int = 0
    recomputed: int = 0
    attempts: dict[str, float] = dataclasses.field(default_factory=dict)
    engine_arrivals: dict[int, int] = dataclasses.field(default_factory=dict)
    chats: list[ChatOutcome] = dataclasses.field(default_factory=list)
    first_token: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: make_histogram()
    )
    gap: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: make_histogram()
    )
    call: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: make_histogram()
    )
    refusal: histogram.HdrHistogram = dataclasses.field(
        default_factory=lambda: make_histogram()
    )
    by_workspace: dict[str, histogram.HdrHistogram] = dataclasses.field(
        default_factory=dict
    )

    @property
    def outcomes(self) -> traces.Outcomes:
        """The trace's stated outcomes."""
        return self.plan.trace.header.outcomes

    def take_chat(
        self,
        chat: callers.Chat,
        *,
        at: float,
        started: float,
        item: traces.Item,
    ) -> None:
        """Record the last sending of a model request."""
        good = False
        if chat.error is not None:
            self._count_refusal(
                chat.error["reason"], time.monotonic() - started
            )
        elif not chat.ended:
            waited = time.monotonic() - started
            silent = not chat.tokens and waited >= self.plan.patience
            self.gave_up += silent
            self.lost += not silent
        else:
            self.answered += 1
            good = self._take_answer(chat, started, item)
        self.chats.append(
            ChatOutcome(
                at=at,
                workspace=item.workspace,
                good=good,
                refused=chat.error is not None,
                lost=chat.error is None and not chat.ended,
            )
        )

    def _take_answer(
        self, chat: callers.Chat, started: float, item: traces.Item
    ) -> bool:
        if not chat.whole:
            self.wrong += 1
            return False
        first = chat.times[0] - started
        record(self.first_token, first)
        seen = self.by_workspace.setdefault(item.workspace, make_histogram())
        record(seen, first)
        for gap in chat.gaps:
            record(self.gap, gap)
        good = (
            first <= self.outcomes.first_token_p95
            and statistics.fmean(chat.gaps or [0.0]) <= self.outcomes.gap_p95
        )
        self.good += good
        return good

    def take_call(self, answer: callers.CallResult) -> None:
        """Record a call of a plain service."""
        if answer.status == 200:
            self.answered += 1
            self.good += 1
            record(self.call, answer.seconds)
        elif answer.status == 0 or "error" not in (answer.body or {}):
            self.lost += 1
        else:
            self._count_refusal(answer.body["error"]["reason"], answer.seconds)

    def _count_refusal(self, reason: str, seconds: float) -> None:
        self.refused[reason] = self.refused.get(reason, 0) + 1
        record(self.refusal, seconds)

    def summarize(self) -> dict:
        """Return the result as plain figures; times in seconds."""
        refused = sum(self.refused.values())
        total = self.answered + refused + self.lost + self.gave_up
        loaded = [it for it in self.chats if it.at < self.plan.seconds]
        summary = {
            "requests": total,
            "answered": self.answered,
            "goodput": round(
                sum(it.good for it in loaded) / self.plan.seconds, 2
            ),
            "goodput_by_workspace": self._find_goodputs(loaded),
            "good_per_second": round(self.good / self.plan.seconds, 2),
            "good_share": round(self.good / max(1, total), 4),
            "recovery_seconds": self._find_recovery(),
            "memory_peak_mb": round(
                self.memory_peak / KILOBYTES_PER_MEGABYTE, 1
            ),
            "wrong": self.wrong,
            "doubles": self.doubles,
            "lost": self.lost,
            "gave_up": self.gave_up,
            "refused": self.refused,
            "refused_count": refused,
            "returned": self.returned,
            "returned_in_vain": self.returned_in_vain,
            "retries": self.retries,
            "first_token_p50": read_quantile(self.first_token, 50),
            "first_token_p95": read_quantile(self.first_token, 95),
            "gap_p95": read_quantile(self.gap, 95),
            "call_p95": read_quantile(self.call, 95),
            "refusal_p99": read_quantile(self.refusal, 99),
            "first_token_p95_by_workspace": {
                name: read_quantile(seen, 95)
                for name, seen in sorted(self.by_workspace.items())
            },
            "prefilled_tokens": self.prefilled,
            "prefilled_per_answer": round(
                self.prefilled / max(1, self.first_token.total_count), 1
            ),
            "recomputed_per_answer": round(
                self.recomputed / max(1, self.first_token.total_count), 1
            ),
            "attempts_mean": self.attempts["mean"],
            "attempts_most": self.attempts["most"],
            "timeline": self._make_timeline(),
            "cost_per_1000_good": round(
                self._find_cost()
                / max(1, sum(it.good for it in loaded))
                * 1000,
                4,
            ),
        }
        missed = shortfalls.find_shortfalls(self.outcomes, summary)
        return {**summary, "shortfalls": missed, "meets": not missed}

    def _find_goodputs(self, loaded: list[ChatOutcome]) -> dict[str, dict]:
        """Return what each workspace sent and got, per second."""
        names = sorted({it.workspace for it in loaded})
        found = {}
        for name in names:
            own = [it for it in loaded if it.workspace == name]
            found[name] = {
                "sent": round(len(own) / self.plan.seconds, 2),
                "good": round(
                    sum(it.good for it in own) / self.plan.seconds, 2
                ),
                "refused": round(
                    sum(it.refused for it in own) / self.plan.seconds, 2
                ),
            }
        return found

    def _make_timeline(self) -> list[dict[str, int]]:
        """Return counts for each second from the load's start on.

        ``at_engines`` counts sendings that reached an engine, retries with
        them; the others count callers' requests by their arrival.
        """
        seconds = math.ceil(self.plan.seconds + self.plan.after_seconds)
        rows = []
        for second in range(seconds):
            arrived = [it for it in self.chats if int(it.at) == second]
            rows.append(
                {
                    "sent": len(arrived),
                    "good": sum(it.good for it in arrived),
                    "refused": sum(it.refused for it in arrived),
                    "lost": sum(it.lost for it in arrived),
                    "at_engines": self.engine_arrivals.get(second, 0),
                }
            )
        return rows

    def _find_recovery(self) -> float:
        """Return how long after the disturbance requests are good again.

        That is the first time from which 9 of 10 requests that arrive
        within two seconds are good; all the time that was watched, if none.
        After a reclaim's notice it must hold for all later such times, as
        nothing need be late before the engines are gone.
        """
        begin = self.plan.disturbed_at
        watched = self.plan.seconds + self.plan.after_seconds - begin
        later = self.plan.reclaim_zone
        found = watched
        shift = 0.0
        while shift + RECOVERY_WINDOW_SECONDS <= watched:
            good = self._is_good(begin + shift)
            if good and not later:
                return round(shift, 2)
            if not good:
                found = watched
            elif found == watched:
                found = shift
            shift += RECOVERY_STEP_SECONDS
        return round(found, 2)

    def _is_good(self, begin: float) -> bool:
        """Tell whether requests of a window from a time on are good."""
        window = [
            it.good
            for it in self.chats
            if begin <= it.at < begin + RECOVERY_WINDOW_SECONDS
        ]
        return bool(window) and statistics.fmean(window) >= RECOVERED_SHARE

    def _find_cost(self) -> float:
        """Return the engines' price while there was load."""
        seconds = [self.plan.seconds] * len(ZONE_PRICES)
        if self.plan.reclaim_zone:
            seconds[0] = min(seconds[0], self.plan.reclaimed_at)
        spent = sum(map(operator.mul, ZONE_PRICES, seconds))
        return spent * self.plan.engines_per_zone / 3600


def make_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of microseconds."""
    return histogram.HdrHistogram(1, LONGEST_MICROSECONDS, 3)


def record(seen: histogram.HdrHistogram, seconds: float) -> None:
    """Record a time in seconds."""
    seen.record_value(max(1, int(seconds * MICROSECONDS)))


def read_quantile(seen: histogram.HdrHistogram, percent: float) -> float:
    """Return a quantile in seconds, 0 when nothing was recorded."""
    if not seen.total_count:
        return 0.0
    value = seen.get_value_at_percentile(percent)
    return round(value / MICROSECONDS, 4)
