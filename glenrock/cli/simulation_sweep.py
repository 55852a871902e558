"""`glenrock simulation sweep`: simulates every combination of an experiment's parameters, seeds and policies."""

from __future__ import annotations

import csv
from contextlib import closing
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ..toml_file import InputFileError
from . import shared_options as options
from .main import CommandFailedError

if TYPE_CHECKING:
    from ..simulation.runner import Task

SWEEP_FORMAT = 1


def run_tasks(tasks: list[Task], jobs: int, run_folder: Path | None, resume: bool) -> list[dict[str, Any]]:
    """Runs simulations in parallel, with a progress bar on standard error.

    Args:
        tasks: the simulations.
        jobs: number of simulations that run in parallel.
        run_folder: folder for the summaries of finished runs; None to store none.
        resume: whether to skip runs whose summaries the folder already holds.

    Returns:
        The summaries, ordered by point (parameter combination), policy and seed.

    Raises:
        CommandFailedError: interrupted by Ctrl-C; the summaries of finished runs stay in the folder.
    """
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    from ..simulation import runner

    summaries: list[dict[str, Any]] = []
    try:
        with Progress(
            TextColumn("runs"),
            BarColumn(),
            MofNCompleteColumn(),
            TimeRemainingColumn(),
            console=Console(stderr=True),
            transient=True,
        ) as progress:
            bar = progress.add_task("", total=len(tasks))
            # After Ctrl-C the generator is closed at once; otherwise its pool goes on until it is garbage-collected.
            with closing(
                runner.run_all(tasks, jobs, run_folder, resume, lambda count: progress.advance(bar, count))
            ) as runs:
                for summary in runs:
                    summaries.append(summary)
    except KeyboardInterrupt as error:
        how_to_resume = f"; their results are in {run_folder}, and --resume continues from them" if run_folder else ""
        message = f"interrupted after {len(summaries)} of {len(tasks)} runs{how_to_resume}"
        raise CommandFailedError(message) from error
    return runner.sort_summaries(summaries)


def write_results(
    folder: Path, name: str, axes: list[str], seeds: list[int], summaries: list[dict[str, Any]]
) -> dict[str, Any]:
    """Writes sweep.json, sweep.csv and report.html, each atomically. Returns the content of sweep.json."""
    from ..simulation import record, report
    from ..simulation.report_labels import MEASURE_LABELS

    measures = list(MEASURE_LABELS)
    failures = sorted({summary["failure"] for summary in summaries if summary["failure"]})
    sweep = {
        "format": SWEEP_FORMAT,
        "experiment": name,
        "axes": axes,
        "seeds": seeds,
        "runs": len(summaries),
        "failed": sum(bool(summary["failure"]) for summary in summaries),
        "failures": failures,
        "rows": report.estimate_points(summaries, measures),
    }
    _write_table(folder / "sweep.csv", axes, measures, summaries)
    record.write_file(folder / "sweep.json", record.json_text(sweep))
    record.write_file(folder / "report.html", report.render_sweep(sweep))
    return sweep


def _write_table(path: Path, axes: list[str], measures: list[str], summaries: list[dict[str, Any]]) -> None:
    """Writes a CSV table with one row per run."""
    from ..simulation import report

    temporary = path.with_name(f".{path.name}")
    with open(temporary, "w", newline="", encoding="utf-8") as file:
        writer = csv.writer(file)
        writer.writerow([*axes, "policy", "seed", *measures])
        for summary in summaries:
            point = [summary["where"][axis] for axis in axes]
            values = [report.measure_value(summary, measure) for measure in measures]
            writer.writerow([*point, summary["policy"], summary["seed"], *values])
    temporary.replace(path)


@click.command("sweep")
@options.file
@options.seeds
@options.policies
@options.jobs
@options.out
@click.option(
    "--resume", is_flag=True, help="Skip the runs that an earlier, interrupted sweep into the same folder finished."
)
@options.settings
def command(
    file: Path,
    seeds: str,
    policies: tuple[str, ...],
    jobs: int,
    out: Path | None,
    resume: bool,
    overrides: tuple[str, ...],
) -> None:
    """Simulate every parameter combination of the file's [sweep] with every seed and policy, and plot the measures.

    \b
    Examples:
      glenrock simulation sweep experiments/scale-instances.toml --seeds 5 --policy glenrock --policy random
      glenrock simulation sweep experiments/lag-and-gains.toml --seeds 0-19 --resume
    Exit codes: 0 done, 1 interrupted or a run failed, 2 invalid input.
    """
    policy_names = [options.check_policy(name) for name in policies or ("glenrock",)]
    seed_numbers = options.parse_seeds(seeds)
    from ..simulation import runner, spec

    points = spec.sweep_points(file, options.parse_overrides(overrides))
    axes, experiment = points[0]
    folder = out or Path("out") / "lab" / f"{experiment.name}-sweep"
    run_folder = _prepare_run_folder(folder, resume)
    summaries = run_tasks(runner.make_tasks(points, seed_numbers, policy_names), jobs, run_folder, resume)
    sweep = write_results(folder, experiment.name, list(axes), seed_numbers, summaries)
    _print_sweep(sweep)
    click.echo(f"results: {folder}/sweep.json, sweep.csv, report.html")
    if sweep["failed"]:
        raise CommandFailedError(f"{sweep['failed']} of {sweep['runs']} runs failed: {'; '.join(sweep['failures'])}")


def _prepare_run_folder(folder: Path, resume: bool) -> Path:
    """Creates the folder for the summaries of single runs, and deletes earlier ones unless the sweep is resumed.

    Raises:
        InputFileError: the folder cannot be created.
    """
    run_folder = folder / "runs"
    try:
        run_folder.mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise InputFileError(f"{folder}: {error.strerror or error}") from error
    if not resume:
        for earlier_run in run_folder.glob("*.json"):
            earlier_run.unlink()
    return run_folder


def _print_sweep(sweep: dict[str, Any]) -> None:
    for row in sweep["rows"]:
        goal, violations = row["values"]["worth.goal"], row["values"]["rules_broken"]
        point = ", ".join(f"{axis} {value}" for axis, value in row["where"].items())
        goal_text = f"goal {goal[0]:.3f} (95% interval {goal[1]:.3f} to {goal[2]:.3f})" if goal else "failed"
        click.echo(
            f"{point + ': ' if point else ''}policy {row['policy']}: {goal_text}, "
            f"{violations[0]:g} invariant violations per run"
        )
