"""`glenrock fleet owner JOB`: who owns it now."""

from __future__ import annotations

from pathlib import Path

import click

from . import store_queries
from .main import CommandFailedError


@click.command("owner")
@click.argument("job")
@store_queries.file_option
def command(job: str, file: Path) -> None:
    """Who owns a job, on which term, and since when.

    \b
    Example:
      glenrock fleet owner bans --file deploy/fleet.toml
    Exit codes: 0 somebody does, 1 nobody does or the store does not answer, 2 bad input.
    """
    lease = store_queries.query_store(file, lambda store: store.leases([job])).get(job)
    past = store_queries.query_store(file, lambda store: store.past_terms(job))
    if lease is None or not past:
        raise CommandFailedError(f"{job} was never held; `glenrock fleet jobs` names all that were")
    if not lease.holder:
        raise CommandFailedError(f"nobody owns {job}; the last was {past[-1].holder}, term {past[-1].term}")
    since = store_queries.local_time(past[-1].started_s)
    left = store_queries.seconds_left(lease.remaining_us)
    click.echo(f"{lease.holder}  term {lease.term}  since {since}  {left}")
