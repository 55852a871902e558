"""`glenrock fleet owner JOB`: who owns it now."""

from __future__ import annotations

from pathlib import Path

import click

from . import fleet_ask as ask
from .main import Failed


@click.command("owner")
@click.argument("job")
@ask.file
def command(job: str, file: Path) -> None:
    """Who owns a job, on which term, and since when.

    \b
    Example:
      glenrock fleet owner bans --file deploy/fleet.toml
    Exit codes: 0 somebody does, 1 nobody does or the store does not answer, 2 bad input.
    """
    lease = ask.asked(file, lambda store: store.leases([job])).get(job)
    past = ask.asked(file, lambda store: store.past_terms(job))
    if lease is None or not past:
        raise Failed(f"{job} was never held; `glenrock fleet jobs` names all that were")
    if not lease.holder:
        raise Failed(f"nobody owns {job}; the last was {past[-1].holder}, term {past[-1].term}")
    click.echo(f"{lease.holder}  term {lease.term}  since {ask.when(past[-1].at_s)}  {ask.left(lease.left_us)}")
