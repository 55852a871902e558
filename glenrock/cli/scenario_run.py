"""`glenrock stage run`: runs one scenario on the testbed."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from . import shared_options as options
from . import summary_text
from .main import CommandFailedError

if TYPE_CHECKING:
    from ..testbed.scenario import Scenario
    from ..testbed.scenario_testbed import ScenarioTestbed

MAX_SHOWN_VIOLATIONS = 3


@click.command("run")
@options.file
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True)
@options.out
@options.settings
@click.option("--live/--no-live", default=None, help="Show a live table; the default on a terminal.")
def command(file: Path, seed: int, out: Path | None, overrides: tuple[str, ...], live: bool | None) -> None:
    """Run a scenario with processes of the program, and write summary.json, history.txt and report.html.

    \b
    Examples:
      glenrock stage run scenes/three.toml
      glenrock stage run scenes/three.toml --seed 7 --set fleet.balancers=5 --out out/five
    Exit codes: 0 done, 1 an invariant was violated or a process was not ready in time, 2 bad input.
    """
    from ..testbed import scenario as scenario_file

    scenario = scenario_file.load(file, options.parse_overrides(overrides))
    play(scenario, seed, out or Path("out") / "stage" / f"{scenario.name}-{seed}", live)


def play(scenario: Scenario, seed: int, folder: Path, live: bool | None) -> dict[str, Any]:
    """Runs a scenario, and writes its results to a folder. Returns its summary.

    Raises:
        CommandFailedError: a process was not ready in time, or an invariant was violated.
    """
    from ..simulation import record, report
    from ..testbed import scenario_runner, scenario_testbed
    from .scenario_live_table import LiveTable

    summary: dict[str, Any] = {}

    def run_and_write(temporary: Path) -> None:
        with LiveTable(live) as table:
            try:
                bed, bed_summary = scenario_runner.play(scenario, seed, temporary, table.update)
            except scenario_testbed.BalancersNotReadyError as error:
                raise CommandFailedError(str(error)) from error
        summary.update(bed_summary)
        write_results(temporary, bed, bed_summary)
        (temporary / "report.html").write_text(report.of_run(temporary), encoding="utf-8")

    record.write_folder(folder, run_and_write)
    print_summary(summary)
    click.echo(f"results: {folder}/summary.json, history.txt, series.csv, report.html, balancer-N/log")
    if message := summary_text.format_violations(summary["rules"], "history.txt"):
        _print_violations(summary["breaches"])
        raise CommandFailedError(message)
    return summary


def write_results(folder: Path, bed: ScenarioTestbed, summary: dict[str, Any]) -> None:
    """Writes the tables and the history of a run."""
    from ..simulation import record
    from ..testbed.history_text import encode_event

    record.write_tables(folder, bed.measure, bed.scenario, [server.name for server in bed.servers], summary)
    lines = (encode_event(event, bed.history.measured_from_us) for event in bed.history.events)
    (folder / "history.txt").write_text("".join(f"{line}\n" for line in lines), encoding="utf-8")


def print_summary(summary: dict[str, Any]) -> None:
    """Prints the summary of a run."""
    fleet, worth, counts = summary["fleet"], summary["worth"], summary["counts"]
    click.echo(
        f"{summary['experiment']}, seed {summary['seed']}: {fleet['balancers']} balancers, "
        f"{fleet['instances']} instances, {counts['clients']} clients, {counts['tries']} tries, "
        f"{summary['clock']['wall_s']} s"
    )
    click.echo(f"worth: goal {worth['goal']:.3f}, whole {worth['whole']:.3f}, worst 10 s {worth['worst_window']:.3f}")
    for fault in summary["recovery_s"]:
        click.echo(f"{fault['kind']} at {fault['from_s']:.1f} s: {summary_text.format_recovery(fault)}")
    checked, excused = summary["seen"], summary["excused"]
    rules = [
        f"{rule} {count} of {checked.get(rule, 0)} ({excused.get(rule, 0)} by faults)"
        for rule, count in summary["rules"].items()
    ]
    click.echo("rules: " + ", ".join(rules))


def _print_violations(violations: list[dict[str, Any]]) -> None:
    """Prints the first violations, each with the events that led to it."""
    for violation in violations[:MAX_SHOWN_VIOLATIONS]:
        click.echo(f"{violation['rule']} at {violation['at_s']} s: {violation['text']}")
        for line in violation["led"]:
            click.echo(f"    {line}")
