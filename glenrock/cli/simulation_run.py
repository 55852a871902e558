"""`glenrock lab run`: one day."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import click

from . import shared_options as options
from .main import CommandFailedError


@click.command("run")
@options.file
@click.option("--seed", type=click.IntRange(0, 2**63), default=1, show_default=True)
@options.policy
@options.out
@options.settings
def command(file: Path, seed: int, policy: str, out: Path | None, over: tuple[str, ...]) -> None:
    """Play one day of an experiment and write summary.json, series.csv and report.html.

    \b
    Examples:
      glenrock lab run experiments/calm.toml
      glenrock lab run experiments/crash-quarter.toml --seed 7 --policy two_choices --out out/seven
    Exit codes: 0 done, 1 the policy failed or a rule was broken, 2 bad input.
    """
    options.check_policy(policy)
    from ..lab import record, report, spec
    from ..lab.day import Day

    e = spec.load(file, options.parse_overrides(over))
    into = out or Path("out") / "lab" / f"{e.name}-{policy}-{seed}"
    day = Day(e, seed, policy)
    if into.exists():  # told before the work, not after it
        record.folder(into.parent / f".{into.name}.check", lambda beside: None)
        (into.parent / f".{into.name}.check").rmdir()
    summary = day.run()

    def fill(beside: Path) -> None:
        record.write_run(beside, day, summary)
        (beside / "report.html").write_text(report.of_run(beside), encoding="utf-8")

    record.folder(into, fill)
    print_summary(summary)
    click.echo(f"results: {into}/summary.json, series.csv, report.html")
    if summary["failure"]:
        raise CommandFailedError(f"{policy} failed: {summary['failure']}")
    if broken := {k: v for k, v in summary["rules"].items() if v}:
        raise CommandFailedError(f"rules broken: {options.counts_text(broken)}; see report.html")


def print_summary(s: dict[str, Any]) -> None:
    """Prints a day's summary."""
    fleet, worth, clock = s["fleet"], s["worth"], s["clock"]
    click.echo(
        f"{s['experiment']}, seed {s['seed']}, {s['policy']}: {fleet['balancers']} balancers, "
        f"{fleet['instances']} instances, {s['counts']['clients']} clients, {s['events']} events, "
        f"{clock['wall_s']} s"
    )
    if worth:
        click.echo(
            f"worth: goal {worth['goal']:.3f}, whole {worth['whole']:.3f}, worst 10 s "
            f"{worth['worst_window']:.3f}, worst class {worth['worst_class']:.3f}, "
            f"worst tenant {worth['worst_tenant']:.3f}"
        )
    each = s["per_client"]
    click.echo(
        f"a client: {each['attempts']:.2f} attempts, {each['refused']:.2f} refusals, "
        f"{each['broken']:.2f} breaks, {each['moved']:.2f} moves, {each['probes']:.2f} probes"
    )
    for f in s["recovery_s"]:
        back = "not back" if f["recovery_s"] is None else f"back after {f['recovery_s']} s"
        lowest = "-" if f["lowest"] is None else f"{f['lowest']:.2f}"
        click.echo(f"{f['kind']} at {f['from_s']:g} s: lowest {lowest}, {back}")
    click.echo("rules: " + ", ".join(f"{k} {v}" for k, v in s["rules"].items()))
