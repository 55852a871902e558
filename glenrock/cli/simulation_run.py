"""`glenrock simulation run`: simulates an experiment once."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from . import shared_options as options
from . import summary_text
from .main import CommandFailedError


@click.command("run")
@options.file
@click.option(
    "--seed", type=click.IntRange(0, options.MAX_SEED), default=1, show_default=True, help="Seed of all random draws."
)
@options.policy
@options.out
@options.settings
def command(file: Path, seed: int, policy: str, out: Path | None, overrides: tuple[str, ...]) -> None:
    """Simulate an experiment once; write summary.json, series.csv and report.html.

    \b
    Examples:
      glenrock simulation run experiments/calm.toml
      glenrock simulation run experiments/crash-quarter.toml --seed 7 --policy two_choices --out out/seven
    Exit codes: 0 done, 1 the policy failed or an invariant was violated, 2 invalid input.
    """
    options.check_policy(policy)
    from ..simulation import record, report, spec
    from ..simulation.fleet_simulation import FleetSimulation

    experiment = spec.load(file, options.parse_overrides(overrides))
    folder = out or Path("out") / "lab" / f"{experiment.name}-{policy}-{seed}"
    simulation = FleetSimulation(experiment, seed, policy)
    if folder.exists():
        _check_replaceable(folder)
    summary = simulation.run()

    def write_results(temporary: Path) -> None:
        record.write_run(temporary, simulation, summary)
        (temporary / "report.html").write_text(report.render_run(temporary), encoding="utf-8")

    record.write_folder(folder, write_results)
    print_summary(summary)
    click.echo(f"results: {folder}/summary.json, series.csv, report.html")
    if summary["failure"]:
        raise CommandFailedError(f"policy {policy} failed: {summary['failure']}")
    if message := summary_text.format_violations(summary["rules"], "report.html"):
        raise CommandFailedError(message)


def _check_replaceable(folder: Path) -> None:
    """Checks that a results folder can be replaced, so that a long simulation does not fail at its end.

    Raises:
        InputFileError: no folder can be created beside this one.
    """
    from ..simulation import record

    probe = folder.parent / f".{folder.name}.check"
    record.write_folder(probe, lambda temporary: None)
    probe.rmdir()


def print_summary(summary: dict[str, Any]) -> None:
    """Prints the summary of a simulation."""
    fleet, worth, clock = summary["fleet"], summary["worth"], summary["clock"]
    click.echo(
        f"{summary['experiment']}, seed {summary['seed']}, policy {summary['policy']}: {fleet['balancers']} balancers, "
        f"{fleet['instances']} servers, {summary['counts']['clients']} clients, "
        f"{summary['events']} simulated events in {clock['wall_s']} s of wall time"
    )
    if worth:
        click.echo(summary_text.format_worth(worth))
    per_client = summary["per_client"]
    click.echo(
        f"per client: {per_client['attempts']:.2f} attempts, {per_client['refused']:.2f} rejections, "
        f"{per_client['broken']:.2f} broken connections, {per_client['moved']:.2f} migrations, "
        f"{per_client['probes']:.2f} health checks"
    )
    for fault in summary["recovery_s"]:
        click.echo(summary_text.format_recovery(fault))
    click.echo("violations of invariants:")
    for invariant, count in summary["rules"].items():
        click.echo(f"  {summary_text.violation_label(invariant)}: {count}")
