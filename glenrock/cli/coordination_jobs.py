"""`glenrock fleet jobs`: the lease of each job."""

from __future__ import annotations

from pathlib import Path

import click

from . import store_queries


@click.command("jobs")
@store_queries.coordination_file_option
def command(file: Path) -> None:
    """Show the lease of each job: its term, its holder and its remaining time.

    \b
    Example:
      glenrock fleet jobs --file deploy/fleet.toml
    Exit codes: 0 done, 1 the store does not answer, 2 invalid input.
    """
    leases = store_queries.query_store(file, lambda store: store.leases())
    for job, lease in sorted(leases.items()):
        time_left = store_queries.format_time_left(lease.remaining_us)
        click.echo(f"{job}  term {lease.term}  {lease.holder or 'free'}  {time_left}")
    if not leases:
        click.echo("no lease has been acquired yet")
