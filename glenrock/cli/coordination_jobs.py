"""`glenrock fleet jobs`: every job, who holds it, and on which term."""

from __future__ import annotations

from pathlib import Path

import click

from . import store_queries


@click.command("jobs")
@store_queries.file_option
def command(file: Path) -> None:
    """Every job that was ever held: term, owner, and how much of its lease is left where the store tells that.

    \b
    Example:
      glenrock fleet jobs --file deploy/fleet.toml
    Exit codes: 0 done, 1 the store does not answer, 2 bad input.
    """
    found = store_queries.query_store(file, lambda store: store.leases())
    for job, lease in sorted(found.items()):
        click.echo(
            f"{job}  term {lease.term}  {lease.holder or 'nobody'}  {store_queries.seconds_left(lease.remaining_us)}"
        )
    if not found:
        click.echo("no job was ever held")
