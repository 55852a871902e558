"""`glenrock fleet history`: past terms of leases, and the messages that balancers rejected."""

from __future__ import annotations

from pathlib import Path

import click

from . import store_queries


@click.command("history")
@click.argument("job", required=False)
@store_queries.coordination_file_option
@click.option(
    "--at",
    multiple=True,
    help="Operators' address of a balancer (host:port) whose rejected messages to list. Repeatable.",
)
def command(job: str | None, file: Path, at: tuple[str, ...]) -> None:
    """Show the latest terms of a job, or of all jobs, and the messages that balancers rejected as outdated.

    \b
    Example:
      glenrock fleet history bans --file deploy/fleet.toml --at 127.0.0.1:9090
    Exit codes: 0 done, 1 the store or a balancer does not answer, 2 invalid input.
    """
    jobs = [job] if job else sorted(store_queries.query_store(file, lambda store: store.leases()))
    for job_name in jobs:
        _print_past_terms(file, job_name)
    for address in at:
        _print_rejections(address)


def _print_past_terms(file: Path, job: str) -> None:
    for past_term in store_queries.query_store(file, lambda store: store.past_terms(job)):
        started = store_queries.format_local_time(past_term.started_s)
        click.echo(f"{started}  {job}  term {past_term.term}  {past_term.holder}")


def _print_rejections(address: str) -> None:
    """Prints the messages that a balancer rejected, such as those of a past term."""
    view = store_queries.fetch_coordination_view(address)
    click.echo(
        f"{view['name']}: {view['refused']} messages rejected since the balancer started; "
        f"coordination store: {view['store']}"
    )
    for rejection in view["refusals"]:
        rejected_at = store_queries.format_local_time(rejection["at_ms"] / 1000)
        click.echo(f"  {rejected_at}  from balancer {rejection['peer']}  {rejection['job']}  {rejection['why']}")
