"""`glenrock soak`: runs the testbed with random workloads and overlapping faults."""

from __future__ import annotations

import concurrent.futures
import multiprocessing
from pathlib import Path

import click

from . import shared_options as options
from .main import CommandFailedError

MAX_JOBS = 6  # each run has up to twelve balancer processes


@click.command("soak")
@options.seeds
@click.option(
    "--seconds",
    type=click.FloatRange(4.0, 600.0),
    default=10.0,
    show_default=True,
    help="Duration of the traffic of each run, in seconds.",
)
@click.option(
    "--jobs", type=click.IntRange(1, MAX_JOBS), default=3, show_default=True, help="Runs that are executed in parallel."
)
@click.option("--source", type=click.Path(path_type=Path, exists=True), help="Run the balancer of another checkout.")
@click.option(
    "--shrink", is_flag=True, help="For each failing run, find a smaller set of faults with which it still fails."
)
def command(seeds: str, seconds: float, jobs: int, source: Path | None, shrink: bool) -> None:
    """Run balancer processes with random workloads and faults, and check the invariants that clients can observe.

    \b
    Examples:
      glenrock soak --seeds 50 --jobs 4
      glenrock soak --seeds 17-17 --shrink
    Exit codes: 0 no violation, 1 an invariant was violated or a run was incomplete, 2 invalid input.
    """
    from ..testbed import soak
    from ..testbed.balancer_process import ROOT

    seed_numbers = options.parse_seeds(seeds)
    checkout = (source or ROOT).resolve()
    failed_results = []
    context = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(jobs, mp_context=context) as pool:
        runs = [pool.submit(soak.run_seed, seed, seconds, checkout) for seed in seed_numbers]
        for run in concurrent.futures.as_completed(runs):
            result = run.result()
            click.echo(result.text())
            if not result.is_clean:
                failed_results.append(result)
    if shrink:
        for result in failed_results:
            click.echo(f"reducing the faults of seed {result.plan.seed}")
            click.echo(soak.shrink(result, checkout, click.echo).text())
    click.echo(
        f"{len(seed_numbers) - len(failed_results)} of {len(seed_numbers)} seeds passed, "
        f"{len(failed_results)} failed or were incomplete"
    )
    if failed_results:
        raise CommandFailedError(
            "failed or incomplete seeds: " + ", ".join(str(result.plan.seed) for result in failed_results)
        )
