"""`glenrock stage run`: runs a scenario on the testbed."""

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
@click.option("--seed", type=click.IntRange(0, 2**31), default=1, show_default=True, help="Seed of all random draws.")
@options.out
@options.settings
@click.option("--live/--no-live", default=None, help="Show a live table of the balancers. Default: only on a terminal.")
def command(file: Path, seed: int, out: Path | None, overrides: tuple[str, ...], live: bool | None) -> None:
    """Run a scenario with balancer processes; write summary.json, history.txt and report.html.

    \b
    Examples:
      glenrock stage run scenes/three.toml
      glenrock stage run scenes/three.toml --seed 7 --set fleet.balancers=5 --out out/five
    Exit codes: 0 done, 1 an invariant was violated or a process was not ready in time, 2 invalid input.
    """
    from ..testbed import scenario as scenario_file

    scenario = scenario_file.load(file, options.parse_overrides(overrides))
    run_scenario(scenario, seed, out or Path("out") / "stage" / f"{scenario.name}-{seed}", live)


def run_scenario(scenario: Scenario, seed: int, folder: Path, live: bool | None) -> dict[str, Any]:
    """Runs a scenario, writes its results to a folder, and returns its summary.

    Args:
        scenario: the scenario.
        seed: the seed of all random draws.
        folder: the folder for the results; those of an earlier run are replaced.
        live: whether to show a live table; None to show it only on a terminal.

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
                testbed, testbed_summary = scenario_runner.play(scenario, seed, temporary, table.update)
            except scenario_testbed.BalancersNotReadyError as error:
                raise CommandFailedError(str(error)) from error
        summary.update(testbed_summary)
        write_results(temporary, testbed, testbed_summary)
        (temporary / "report.html").write_text(report.render_run(temporary), encoding="utf-8")

    record.write_folder(folder, run_and_write)
    print_summary(summary)
    click.echo(f"results: {folder}/summary.json, history.txt, series.csv, report.html, balancer-N/log")
    if message := summary_text.format_violations(summary["rules"], "history.txt"):
        _print_violations(summary["breaches"])
        raise CommandFailedError(message)
    return summary


def write_results(folder: Path, testbed: ScenarioTestbed, summary: dict[str, Any]) -> None:
    """Writes the summary, the CSV tables, the histograms and the event history of a run."""
    from ..simulation import record
    from ..testbed.history_text import encode_event

    record.write_tables(folder, testbed.measure, testbed.scenario, [server.name for server in testbed.servers], summary)
    lines = (encode_event(event, testbed.history.measured_from_us) for event in testbed.history.events)
    (folder / "history.txt").write_text("".join(f"{line}\n" for line in lines), encoding="utf-8")


def print_summary(summary: dict[str, Any]) -> None:
    """Prints the summary of a run."""
    fleet, worth, counts = summary["fleet"], summary["worth"], summary["counts"]
    click.echo(
        f"{summary['experiment']}, seed {summary['seed']}: {fleet['balancers']} balancers, "
        f"{fleet['instances']} servers, {counts['clients']} clients, {counts['tries']} requests, "
        f"{summary['clock']['wall_s']} s of wall time"
    )
    click.echo(summary_text.format_worth(worth))
    for fault in summary["recovery_s"]:
        click.echo(summary_text.format_recovery(fault))
    checked, excused = summary["seen"], summary["excused"]
    click.echo("violations of invariants, of the cases checked:")
    for invariant, count in summary["rules"].items():
        by_faults = f" ({excused[invariant]} more caused by injected faults)" if excused.get(invariant) else ""
        click.echo(f"  {summary_text.violation_label(invariant)}: {count} of {checked.get(invariant, 0)}{by_faults}")


def _print_violations(violations: list[dict[str, Any]]) -> None:
    """Prints the first violations, each with the events that led to it."""
    for violation in violations[:MAX_SHOWN_VIOLATIONS]:
        click.echo(f"{summary_text.violation_label(violation['rule'])}, at {violation['at_s']} s: {violation['text']}")
        for event in violation["led"]:
            click.echo(f"    {event}")
