"""Command line of the experiment tool."""

import dataclasses
import json
import pathlib
import sys
import typing

import cappa

from experiments import reports
from experiments import runs
from experiments import shapes
from experiments import traces

EXIT_FELL_SHORT = 1


@cappa.command(name="replay")
@dataclasses.dataclass(kw_only=True)
class ReplayCommand:
    """Replay a trace once and hold it against its stated outcomes.

    Prints the figures as JSON with what they fall short of, and exits with
    1 if they do. ``entries`` and ``engines`` are counts for each zone;
    ``settings`` are those of the daemons, as JSON.
    """

    trace: str
    seed: typing.Annotated[int, cappa.Arg(long=True)] = 1
    speed: typing.Annotated[float, cappa.Arg(long=True)] = 1.0
    entries: typing.Annotated[int, cappa.Arg(long=True)] = 3
    engines: typing.Annotated[int, cappa.Arg(long=True)] = 3
    settings: typing.Annotated[str, cappa.Arg(long=True)] = "{}"

    def __call__(self) -> None:
        """Run the command."""
        trace = traces.read_trace(traces.find_trace(self.trace))
        plan = runs.Plan(
            trace=trace,
            seed=self.seed,
            speed=self.speed,
            seconds=trace.header.seconds / self.speed,
            replay=True,
            settings=json.loads(self.settings),
            entries_per_zone=self.entries,
            engines_per_zone=self.engines,
        )
        summary = runs.run_plan(plan).summarize()
        print(json.dumps(summary, indent=1))
        if not summary["meets"]:
            raise cappa.Exit(code=EXIT_FELL_SHORT)


@cappa.command(name="compare")
@dataclasses.dataclass(kw_only=True)
class CompareCommand:
    """Compare settings of the daemon side by side in one run.

    Each variant is NAME=JSON, the JSON being daemon settings. ``entries``
    and ``engines`` are counts for each zone. ``warm`` seconds at the
    trace's own rate go before each run and ``after`` seconds follow. A
    refused caller ``returns`` so many times, when it was told to. With
    ``reclaim`` a zone's engines get notice halfway and are killed.
    """

    variants: list[str]
    trace: typing.Annotated[list[str], cappa.Arg(long=True)]
    seeds: typing.Annotated[int, cappa.Arg(long=True)] = 5
    speeds: typing.Annotated[str, cappa.Arg(long=True)] = "1"
    seconds: typing.Annotated[float, cappa.Arg(long=True)] = 10.0
    reclaim: typing.Annotated[bool, cappa.Arg(long=True)] = False
    warm: typing.Annotated[float, cappa.Arg(long=True)] = 0.0
    after: typing.Annotated[float, cappa.Arg(long=True)] = 0.0
    returns: typing.Annotated[int, cappa.Arg(long=True)] = 0
    entries: typing.Annotated[int, cappa.Arg(long=True)] = 3
    engines: typing.Annotated[int, cappa.Arg(long=True)] = 3
    no_plot: typing.Annotated[bool, cappa.Arg(long=True)] = False
    output: typing.Annotated[str, cappa.Arg(long=True)] = "reports/compare"

    def __call__(self) -> None:
        """Run the command."""
        rows = []
        for name in self.trace:
            trace = traces.read_trace(traces.find_trace(name))
            for speed in self.speeds.split(","):
                rows += self._compare(trace, float(speed))
        output = pathlib.Path(self.output)
        output.parent.mkdir(parents=True, exist_ok=True)
        reports.write_json(rows, output.with_suffix(".json"))
        table = reports.format_table(rows)
        output.with_suffix(".txt").write_text(table + "\n")
        print(table)
        if not self.no_plot:
            reports.write_plot(rows, output.with_suffix(".png"))

    def _compare(self, trace: traces.Trace, speed: float) -> list[reports.Row]:
        summaries = {variant: [] for variant in self.variants}
        for seed in range(1, self.seeds + 1):
            for variant in self.variants:
                settings = json.loads(variant.partition("=")[2] or "{}")
                plan = runs.Plan(
                    trace=trace,
                    seed=seed,
                    speed=speed,
                    seconds=self.seconds,
                    settings=settings,
                    reclaim_zone=self.reclaim,
                    warm_seconds=self.warm,
                    after_seconds=self.after,
                    returns=self.returns,
                    entries_per_zone=self.entries,
                    engines_per_zone=self.engines,
                )
                summary = runs.run_plan(plan).summarize()
                print(variant, speed, seed, summary, file=sys.stderr)
                summaries[variant].append(summary)
        return [
            reports.Row(
                variant=variant.partition("=")[0],
                trace=trace.header.trace,
                speed=speed,
                summaries=tuple(found),
            )
            for variant, found in summaries.items()
        ]


@cappa.command(name="make-traces")
@dataclasses.dataclass(kw_only=True)
class MakeTracesCommand:
    """Write the shipped traces anew from a seed."""

    seed: typing.Annotated[int, cappa.Arg(long=True)] = 7

    def __call__(self) -> None:
        """Run the command."""
        for name, shape in shapes.SHAPES.items():
            trace = shape(seed=self.seed).make_trace()
            traces.write_trace(trace, traces.FOLDER / f"{name}.jsonl")


@cappa.command(name="experiments")
@dataclasses.dataclass(kw_only=True)
class Experiments:
    """Load and experiment tool."""

    command: cappa.Subcommands[
        ReplayCommand | CompareCommand | MakeTracesCommand
    ]


if __name__ == "__main__":
    cappa.invoke(Experiments)
