"""`glenrock fleet owner JOB`: the lease holder of one job."""

from __future__ import annotations

from pathlib import Path

import click

from . import store_queries
from .main import CommandFailedError


@click.command("owner")
@click.argument("job")
@store_queries.file_option
def command(job: str, file: Path) -> None:
    """Show the lease holder of a job, its term, and since when it holds the lease.

    \b
    Example:
      glenrock fleet owner bans --file deploy/fleet.toml
    Exit codes: 0 the lease is held, 1 it is not held or the store does not answer, 2 bad input.
    """
    lease = store_queries.query_store(file, lambda store: store.leases([job])).get(job)
    past = store_queries.query_store(file, lambda store: store.past_terms(job))
    if lease is None or not past:
        raise CommandFailedError(f"no lease of {job} was ever acquired; `glenrock fleet jobs` lists those that were")
    if not lease.holder:
        raise CommandFailedError(
            f"the lease of {job} is free; its last holder was {past[-1].holder}, term {past[-1].term}"
        )
    since = store_queries.format_local_time(past[-1].started_s)
    left = store_queries.format_seconds_left(lease.remaining_us)
    click.echo(f"{lease.holder}  term {lease.term}  since {since}  {left}")
