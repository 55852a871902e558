"""`glenrock lab sweep`: all points of an experiment's axes, over seeds and policies, in parallel."""

from __future__ import annotations

import csv
from contextlib import closing
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from . import shared_options as options
from .main import CommandFailedError

if TYPE_CHECKING:
    from ..lab.runner import Task


def play(todo: list[Task], jobs: int, kept: Path | None, resume: bool) -> list[dict[str, Any]]:
    """Runs with progress shown. Ctrl-C keeps what is finished."""
    from rich.console import Console
    from rich.progress import BarColumn, MofNCompleteColumn, Progress, TextColumn, TimeRemainingColumn

    from ..lab import runner

    found: list[dict[str, Any]] = []
    try:
        with Progress(
            TextColumn("runs"),
            BarColumn(),
            MofNCompleteColumn(),
            TimeRemainingColumn(),
            console=Console(stderr=True),
            transient=True,
        ) as progress:
            bar = progress.add_task("", total=len(todo))
            # Closed here, not when it is collected: Ctrl-C may come while the generator waits for its caller,
            # and the pool would play all that is left before the process ends.
            with closing(runner.run_all(todo, jobs, kept, resume, lambda n: progress.advance(bar, n))) as runs:
                for summary in runs:
                    found.append(summary)
    except KeyboardInterrupt as error:
        kept_at = f", kept in {kept}; --resume goes on" if kept else ""
        raise CommandFailedError(f"stopped with {len(found)} of {len(todo)} runs finished{kept_at}") from error
    return runner.order(found)


def write(into: Path, name: str, axes: list[str], seeds: list[int], found: list[dict[str, Any]]) -> dict[str, Any]:
    """sweep.json, sweep.csv and report.html, each whole."""
    from ..lab import record, report

    measures = list(report.MEASURES)
    failures = sorted({s["failure"] for s in found if s["failure"]})
    sweep = {
        "format": 1,
        "experiment": name,
        "axes": axes,
        "seeds": seeds,
        "runs": len(found),
        "failed": sum(bool(s["failure"]) for s in found),
        "failures": failures,
        "rows": report.table_of(found, measures),
    }
    lines = into / ".sweep.csv"
    with open(lines, "w", newline="", encoding="utf-8") as f:
        table = csv.writer(f)
        table.writerow([*axes, "policy", "seed", *measures])
        for s in found:
            table.writerow(
                [*(s["where"][a] for a in axes), s["policy"], s["seed"], *(report.value(s, m) for m in measures)]
            )
    lines.replace(into / "sweep.csv")
    record.file(into / "sweep.json", record.text_of(sweep))
    record.file(into / "report.html", report.of_sweep(sweep))
    return sweep


@click.command("sweep")
@options.file
@options.seeds
@options.policies
@options.jobs
@options.out
@click.option("--resume", is_flag=True, help="Go on with what an earlier call left in the folder.")
@options.settings
def command(
    file: Path, seeds: str, policies: tuple[str, ...], jobs: int, out: Path | None, resume: bool, over: tuple[str, ...]
) -> None:
    """Play every point of the file's [sweep] under every seed and policy; plot each measure against each axis.

    \b
    Examples:
      glenrock lab sweep experiments/scale-instances.toml --seeds 5 --policy glenrock --policy random
      glenrock lab sweep experiments/lag-and-gains.toml --seeds 0-19 --resume
    Exit codes: 0 done, 1 stopped or a run failed, 2 bad input.
    """
    names = [options.check_policy(p) for p in policies or ("glenrock",)]
    which = options.parse_seeds(seeds)
    from ..lab import runner, spec
    from ..toml_file import InputFileError

    points = spec.points(file, options.parse_overrides(over))
    e = points[0][1]
    into = out or Path("out") / "lab" / f"{e.name}-sweep"
    try:
        (into / "runs").mkdir(parents=True, exist_ok=True)
    except OSError as error:
        raise InputFileError(f"{into}: {error.strerror or error}") from error
    if not resume:
        for old in (into / "runs").glob("*.json"):
            old.unlink()
    found = play(runner.tasks(points, which, names), jobs, into / "runs", resume)
    sweep = write(into, e.name, list(points[0][0]), which, found)
    for r in sweep["rows"]:
        goal, broken = r["values"]["worth.goal"], r["values"]["rules_broken"]
        where = ", ".join(f"{k} {v}" for k, v in r["where"].items())
        figure = f"goal {goal[0]:.3f} [{goal[1]:.3f}, {goal[2]:.3f}]" if goal else "failed"
        click.echo(f"{where + ': ' if where else ''}{r['policy']}: {figure}, breaches a run {broken[0]:g}")
    click.echo(f"results: {into}/sweep.json, sweep.csv, report.html")
    if sweep["failed"]:
        raise CommandFailedError(f"{sweep['failed']} of {sweep['runs']} runs failed: {'; '.join(sweep['failures'])}")
