"""`glenrock soak`: runs drawn from seeds on real processes, under overlapping faults, judged from outside."""

from __future__ import annotations

import concurrent.futures
import multiprocessing
from pathlib import Path

import click

from . import shared_options as options
from .main import CommandFailedError

MAX_JOBS = 6  # runs beside each other: each has up to twelve processes of its own


@click.command("soak")
@click.option("--seeds", default="10", show_default=True, help="How many seeds, or a range such as 5-24.")
@click.option("--seconds", type=click.FloatRange(4.0, 600.0), default=10.0, show_default=True, help="Traffic of a run.")
@click.option("--jobs", type=click.IntRange(1, MAX_JOBS), default=3, show_default=True, help="Runs beside each other.")
@click.option("--source", type=click.Path(path_type=Path, exists=True), help="Another checkout of the program.")
@click.option("--shrink", is_flag=True, help="Leave out each fault of a failing seed in turn.")
def command(seeds: str, seconds: float, jobs: int, source: Path | None, shrink: bool) -> None:
    """Play runs drawn from seeds on real processes, and judge them by what clients, servers and discovery saw.

    \b
    Examples:
      glenrock soak --seeds 50 --jobs 4
      glenrock soak --seeds 17-17 --shrink
    Exit codes: 0 all clean, 1 a rule was broken or a run was partial, 2 bad input.
    """
    from ..testbed import soak
    from ..testbed.balancer_process import ROOT

    numbers = options.parse_seeds(seeds)
    place = (source or ROOT).resolve()
    failed = []
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(jobs, mp_context=context) as pool:
        waiting = {pool.submit(soak.run_seed, number, seconds, place): number for number in numbers}
        for done in concurrent.futures.as_completed(waiting):
            result = done.result()
            click.echo(result.text())
            if not result.is_clean:
                failed.append(result)
    if shrink:
        for result in failed:
            click.echo(f"shrinking seed {result.plan.seed}")
            click.echo(soak.shrink(result, place, click.echo).text())
    click.echo(f"{len(numbers) - len(failed)} clean, {len(failed)} not, of {len(numbers)} seeds")
    if failed:
        raise CommandFailedError("seeds not clean: " + ", ".join(str(result.plan.seed) for result in failed))
