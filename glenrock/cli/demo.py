"""`glenrock demo`: three balancers through a kill, a pause and a one-sided cut."""

from __future__ import annotations

from pathlib import Path

import click

from .main import CommandFailedError


@click.command("demo")
@click.option("--live/--no-live", default=None, help="A table that follows the run; on a terminal by itself.")
@click.option("--out", type=click.Path(path_type=Path), default=Path("out") / "demo", show_default=True)
def command(live: bool | None, out: Path) -> None:
    """Three balancers serve through a kill, a pause and a one-sided cut. Takes half a minute and ends by itself.

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
    c = summary["counts"]
    click.echo(
        f"{c['set_up']} connections were set up, {c['moved']} moved, {c['broken']} lost to the faults; "
        "every other request got its one answer in time"
    )
