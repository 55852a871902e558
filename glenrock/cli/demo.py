"""`glenrock demo`: runs the scenario `scenes/three.toml` on the testbed."""

from __future__ import annotations

from pathlib import Path

import click

from .main import CommandFailedError


@click.command("demo")
@click.option("--live/--no-live", default=None, help="Show a live table of the balancers. Default: only on a terminal.")
@click.option(
    "--out",
    type=click.Path(path_type=Path),
    default=Path("out") / "demo",
    show_default=True,
    help="Folder for the results.",
)
def command(live: bool | None, out: Path) -> None:
    """Run three balancers for half a minute: one is killed, one is paused and one is partitioned in one direction.

    \b
    Example:
      glenrock demo
    """
    from ..testbed import scenario
    from .scenario_run import run_scenario

    file = Path(__file__).resolve().parents[2] / "scenes" / "three.toml"
    if not file.exists():
        raise CommandFailedError(f"{file} is missing; run the demo from a checkout of the project")
    summary = run_scenario(scenario.load(file), 1, out, live)
    counts = summary["counts"]
    click.echo(
        f"{counts['set_up']} connections established, {counts['moved']} migrated, "
        f"{counts['broken']} broken by the faults; no invariant was violated"
    )
