"""`glenrock stage run`: one scene, played in real time."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from . import shared_options as options
from .main import CommandFailedError

if TYPE_CHECKING:
    from ..testbed.scenario_testbed import ScenarioTestbed

SHOWN_BREACHES = 3


@click.command("run")
@options.file
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@options.out
@options.settings
@click.option("--live/--no-live", default=None, help="A table that follows the run; on a terminal by itself.")
def command(file: Path, seed: int, out: Path | None, over: tuple[str, ...], live: bool | None) -> None:
    """Play a scene with processes of the program, in real time, and write summary.json, history.txt and report.html.

    \b
    Examples:
      glenrock stage run scenes/three.toml
      glenrock stage run scenes/three.toml --seed 7 --set fleet.balancers=5 --out out/five
    Exit codes: 0 done, 1 a rule was broken or a process did not come up, 2 bad input.
    """
    from ..testbed import scenario

    scene = scenario.load(file, options.parse_overrides(over))
    play(scene, seed, out or Path("out") / "stage" / f"{scene.name}-{seed}", live)


def play(scene: Any, seed: int, into: Path, live: bool | None) -> dict[str, Any]:
    """Plays a scene into a folder, and returns its summary.

    Raises:
        CommandFailedError: a process did not come up, or a rule was broken.
    """
    from ..lab import record, report
    from ..testbed import scenario_runner, scenario_testbed
    from .scenario_live_table import LiveTable

    summary: dict[str, Any] = {}

    def fill(beside: Path) -> None:
        with LiveTable(live) as shown:
            try:
                bed, found = scenario_runner.play(scene, seed, beside, shown.second)
            except scenario_testbed.BalancersNotReadyError as error:
                raise CommandFailedError(str(error)) from error
        summary.update(found)
        write_results(beside, bed, found)
        (beside / "report.html").write_text(report.of_run(beside), encoding="utf-8")

    record.folder(into, fill)
    print_summary(summary)
    click.echo(f"results: {into}/summary.json, history.txt, series.csv, report.html, balancer-N/log")
    if broken := {k: v for k, v in summary["rules"].items() if v}:
        for b in summary["breaches"][:SHOWN_BREACHES]:
            click.echo(f"{b['rule']} at {b['at_s']} s: {b['text']}")
            for line in b["led"]:
                click.echo(f"    {line}")
        raise CommandFailedError(f"rules broken: {options.counts_text(broken)}; see history.txt")
    return summary


def write_results(beside: Path, bed: ScenarioTestbed, summary: dict[str, Any]) -> None:
    """Writes the tables and the history of a run."""
    from ..lab import record

    record.write_tables(beside, bed.measure, bed.scenario, [s.name for s in bed.servers], summary)
    lines = (e.line(bed.history.day) for e in bed.history.events)
    (beside / "history.txt").write_text("".join(f"{line}\n" for line in lines), encoding="utf-8")


def print_summary(s: dict[str, Any]) -> None:
    """Prints a run's summary."""
    fleet, worth, c = s["fleet"], s["worth"], s["counts"]
    click.echo(
        f"{s['experiment']}, seed {s['seed']}: {fleet['balancers']} balancers, {fleet['instances']} instances, "
        f"{c['clients']} clients, {c['tries']} tries, {s['clock']['wall_s']} s"
    )
    click.echo(f"worth: goal {worth['goal']:.3f}, whole {worth['whole']:.3f}, worst 10 s {worth['worst_window']:.3f}")
    for f in s["recovery_s"]:
        back = "not back" if f["recovery_s"] is None else f"back after {f['recovery_s']} s"
        lowest = "-" if f["lowest"] is None else f"{f['lowest']:.2f}"
        click.echo(f"{f['kind']} at {f['from_s']:.1f} s: lowest {lowest}, {back}")
    click.echo(
        "rules: "
        + ", ".join(
            f"{k} {v} of {s['seen'].get(k, 0)} ({s['excused'].get(k, 0)} by faults)" for k, v in s["rules"].items()
        )
    )
