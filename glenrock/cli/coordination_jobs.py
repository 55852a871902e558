"""`glenrock fleet jobs`: the lease of each job."""

from __future__ import annotations

from pathlib import Path

import click

from . import store_queries


@click.command("jobs")
@store_queries.file_option
def command(file: Path) -> None:
    """Show the term, the holder and the remaining time of each lease that was ever acquired.

    \b
    Example:
      glenrock fleet jobs --file deploy/fleet.toml
    Exit codes: 0 done, 1 the store does not answer, 2 bad input.
    """
    leases = store_queries.query_store(file, lambda store: store.leases())
    for job, lease in sorted(leases.items()):
        seconds_left = store_queries.format_seconds_left(lease.remaining_us)
        click.echo(f"{job}  term {lease.term}  {lease.holder or 'free'}  {seconds_left}")
    if not leases:
        click.echo("no lease was ever acquired")
