"""`glenrock fleet jobs`: every job, who holds it, and on which term."""

from __future__ import annotations

from pathlib import Path

import click

from . import fleet_ask as ask


@click.command("jobs")
@ask.file
def command(file: Path) -> None:
    """Every job that was ever held: term, owner, and how much of its lease is left where the store tells that.

    \b
    Example:
      glenrock fleet jobs --file deploy/fleet.toml
    Exit codes: 0 done, 1 the store does not answer, 2 bad input.
    """
    found = ask.asked(file, lambda store: store.leases())
    for job, lease in sorted(found.items()):
        click.echo(f"{job}  term {lease.term}  {lease.holder or 'nobody'}  {ask.left(lease.left_us)}")
    if not found:
        click.echo("no job was ever held")
