"""`glenrock fleet owner JOB`: the holder of a job's lease."""

from __future__ import annotations

from pathlib import Path

import click

from . import store_queries
from .main import CommandFailedError


@click.command("owner")
@click.argument("job")
@store_queries.coordination_file_option
def command(job: str, file: Path) -> None:
    """Show the holder of a job's lease, the term, since when the lease is held, and how long it is still valid.

    \b
    Example:
      glenrock fleet owner bans --file deploy/fleet.toml
    Exit codes: 0 the lease is held, 1 it is not held or the store does not answer, 2 invalid input.
    """
    lease = store_queries.query_store(file, lambda store: store.leases([job])).get(job)
    past_terms = store_queries.query_store(file, lambda store: store.past_terms(job))
    if lease is None or not past_terms:
        raise CommandFailedError(f"the lease of {job} was never acquired; `glenrock fleet jobs` lists all leases")
    if not lease.holder:
        raise CommandFailedError(
            f"the lease of {job} is free; its last holder was {past_terms[-1].holder}, in term {past_terms[-1].term}"
        )
    since = store_queries.format_local_time(past_terms[-1].started_s)
    time_left = store_queries.format_time_left(lease.remaining_us)
    click.echo(f"{lease.holder}  term {lease.term}  since {since}  {time_left}")
