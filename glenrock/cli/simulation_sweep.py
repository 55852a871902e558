"""`glenrock simulation sweep`: simulates all points of an experiment's axes, over seeds and policies, in parallel."""

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
    """Runs simulations with a progress bar.

    Args:
        tasks: the simulations.
        jobs: how many run in parallel.
        run_folder: where finished runs are stored; None to store none.
        resume: whether to skip the runs that the folder has.

    Returns:
        Their summaries, ordered.

    Raises:
        CommandFailedError: stopped by Ctrl-C; finished runs stay in the folder.
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
            # Closed at once after Ctrl-C: the pool would finish all tasks before the generator is collected.
            with closing(
                runner.run_all(tasks, jobs, run_folder, resume, lambda count: progress.advance(bar, count))
            ) as runs:
                for summary in runs:
                    summaries.append(summary)
    except KeyboardInterrupt as error:
        how_to_resume = f", kept in {run_folder}; --resume goes on" if run_folder else ""
        message = f"stopped with {len(summaries)} of {len(tasks)} runs finished{how_to_resume}"
        raise CommandFailedError(message) from error
    return runner.sort_summaries(summaries)


def write_results(
    folder: Path, name: str, axes: list[str], seeds: list[int], summaries: list[dict[str, Any]]
) -> dict[str, Any]:
    """Writes sweep.json, sweep.csv and report.html, each atomically. Returns the content of sweep.json."""
    from ..simulation import record, report

    measures = list(report.MEASURES)
    failures = sorted({summary["failure"] for summary in summaries if summary["failure"]})
    sweep = {
        "format": SWEEP_FORMAT,
        "experiment": name,
        "axes": axes,
        "seeds": seeds,
        "runs": len(summaries),
        "failed": sum(bool(summary["failure"]) for summary in summaries),
        "failures": failures,
        "rows": report.table_of(summaries, measures),
    }
    _write_table(folder / "sweep.csv", axes, measures, summaries)
    record.write_file(folder / "sweep.json", record.json_text(sweep))
    record.write_file(folder / "report.html", report.of_sweep(sweep))
    return sweep


def _write_table(path: Path, axes: list[str], measures: list[str], summaries: list[dict[str, Any]]) -> None:
    """Writes a CSV table with a row for each run."""
    from ..simulation import report

    temporary = path.with_name(f".{path.name}")
    with open(temporary, "w", newline="", encoding="utf-8") as file:
        table = csv.writer(file)
        table.writerow([*axes, "policy", "seed", *measures])
        for summary in summaries:
            point = [summary["where"][axis] for axis in axes]
            values = [report.value(summary, measure) for measure in measures]
            table.writerow([*point, summary["policy"], summary["seed"], *values])
    temporary.replace(path)


@click.command("sweep")
@options.file
@options.seeds
@options.policies
@options.jobs
@options.out
@click.option("--resume", is_flag=True, help="Keep the finished runs of an earlier call in the folder.")
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
    """Simulate every point of the file's [sweep] with every seed and policy, and plot each measure over each axis.

    \b
    Examples:
      glenrock simulation sweep experiments/scale-instances.toml --seeds 5 --policy glenrock --policy random
      glenrock simulation sweep experiments/lag-and-gains.toml --seeds 0-19 --resume
    Exit codes: 0 done, 1 stopped or a run failed, 2 bad input.
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
    """Creates the folder for single runs, and deletes earlier runs unless they are resumed.

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
        figure = f"goal {goal[0]:.3f} [{goal[1]:.3f}, {goal[2]:.3f}]" if goal else "failed"
        click.echo(f"{point + ': ' if point else ''}{row['policy']}: {figure}, breaches a run {violations[0]:g}")
