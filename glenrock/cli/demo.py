"""`glenrock demo`: plays the scenario `scenes/three.toml` on the testbed."""

from __future__ import annotations

from pathlib import Path

import click

from .main import CommandFailedError


@click.command("demo")
@click.option("--live/--no-live", default=None, help="Show a live table; the default on a terminal.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("out") / "demo", show_default=True)
def command(live: bool | None, out: Path) -> None:
    """Run three balancers through a kill, a pause and a one-way partition, for half a minute.

    \b
    Example:
      glenrock demo
    """
    from ..testbed import scenario
    from .scenario_run import play

    file = Path(__file__).resolve().parents[2] / "scenes" / "three.toml"
    if not file.exists():
        raise CommandFailedError(f"{file} is missing: the demo runs from a checkout")
    summary = play(scenario.load(file), 1, out, live)
    counts = summary["counts"]
    click.echo(
        f"{counts['set_up']} connections were set up, {counts['moved']} moved, {counts['broken']} lost to the faults; "
        "every other request got its one answer in time"
    )
