"""Reports: JSON, a table and a plot of several runs side by side."""

import dataclasses
import json
import pathlib
import statistics

COLUMNS = (
    "goodput",
    "first_token_p95",
    "gap_p95",
    "call_p95",
    "refused_count",
    "refusal_p99",
    "gave_up",
    "recovery_seconds",
    "memory_peak_mb",
    "good_per_second",
    "good_share",
    "prefilled_per_answer",
    "recomputed_per_answer",
    "attempts_mean",
    "attempts_most",
    "cost_per_1000_good",
    "retries",
    "wrong",
    "doubles",
    "lost",
)


@dataclasses.dataclass(frozen=True, kw_only=True)
class Row:
    """Runs of one variant at one speed; one summary for each seed."""

    variant: str
    trace: str
    speed: float
    summaries: tuple[dict, ...]

    def find_mean(self, column: str) -> float:
        """Return a figure's mean over the seeds."""
        return statistics.fmean(it[column] for it in self.summaries)

    def find_spread(self, column: str) -> float:
        """Return a figure's standard deviation over the seeds."""
        values = [it[column] for it in self.summaries]
        return statistics.stdev(values) if len(values) > 1 else 0.0


def write_json(rows: list[Row], path: pathlib.Path) -> None:
    """Write all runs as JSON."""
    values = [dataclasses.asdict(row) for row in rows]
    path.write_text(json.dumps(values, indent=1) + "\n")


def format_table(rows: list[Row]) -> str:
    """Return a table: mean and spread over the seeds of each row."""
    head = ["trace", "speed", "variant", *COLUMNS]
    lines = [head]
    for row in rows:
        cells = [row.trace, f"{row.speed:g}", row.variant]
        for column in COLUMNS:
            mean = row.find_mean(column)
            spread = row.find_spread(column)
            cells.append(f"{mean:.4g} ±{spread:.2g}")
        lines.append(cells)
    widths = [max(len(line[i]) for line in lines) for i in range(len(head))]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        )
        for line in lines
    )


def write_plot(rows: list[Row], path: pathlib.Path) -> None:
    """Plot some figures over the speeds; needs the ``plots`` extra."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    shown = ("first_token_p95", "goodput", "prefilled_per_answer")
    figure, axes = pyplot.subplots(1, len(shown), figsize=(13, 4))
    for axis, column in zip(axes, shown, strict=True):
        for key in sorted({(row.trace, row.variant) for row in rows}):
            some = [row for row in rows if (row.trace, row.variant) == key]
            some.sort(key=lambda row: row.speed)
            axis.errorbar(
                [row.speed for row in some],
                [row.find_mean(column) for row in some],
                yerr=[row.find_spread(column) for row in some],
                marker="o",
                capsize=3,
                label=" ".join(key),
            )
        axis.set_xlabel("speed of the trace")
        axis.set_title(column)
        axis.set_ylim(bottom=0)
    axes[0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(path, dpi=110)
