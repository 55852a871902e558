"""`glenrock fleet history`: past terms of leases, and messages that balancers rejected."""

from __future__ import annotations

import functools
from pathlib import Path
from typing import TYPE_CHECKING

import click

from . import store_queries

if TYPE_CHECKING:
    from ..coordination.leases.store import LeaseStore, PastTerm


@click.command("history")
@click.argument("job", required=False)
@store_queries.file_option
@click.option(
    "--at", multiple=True, help="Operators' address of a balancer, host:port, to list what it rejected. Repeatable."
)
def command(job: str | None, file: Path, at: tuple[str, ...]) -> None:
    """Show the last terms of a job, or of all jobs, and the messages of old terms that balancers rejected.

    \b
    Example:
      glenrock fleet history bans --file deploy/fleet.toml --at 127.0.0.1:9090
    Exit codes: 0 done, 1 the store or a balancer does not answer, 2 bad input.
    """
    for job_name in [job] if job else sorted(store_queries.query_store(file, lambda store: store.leases())):
        for past in store_queries.query_store(file, functools.partial(_past_terms, job_name)):
            click.echo(
                f"{store_queries.format_local_time(past.started_s)}  {job_name}  term {past.term}  {past.holder}"
            )
    for address in at:
        seen = store_queries.fetch_view(address)
        click.echo(f"{seen['name']}: {seen['refused']} refused since its start; the store: {seen['store']}")
        for r in seen["refusals"]:
            click.echo(
                f"  {store_queries.format_local_time(r['at_ms'] / 1000)}  balancer {r['peer']}  {r['job']}  {r['why']}"
            )


async def _past_terms(job: str, store: LeaseStore) -> list[PastTerm]:
    return await store.past_terms(job)
