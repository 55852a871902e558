"""`glenrock fleet history`: past terms, and what balancers refused."""

from __future__ import annotations

from pathlib import Path

import click

from . import fleet_ask as ask


@click.command("history")
@click.argument("job", required=False)
@ask.file
@click.option("--at", multiple=True, help="A balancer's operators' address, host:port: what it refused. Repeatable.")
def command(job: str | None, file: Path, at: tuple[str, ...]) -> None:
    """The last terms of a job, or of all, and what balancers refused of old ones.

    \b
    Example:
      glenrock fleet history bans --file deploy/fleet.toml --at 127.0.0.1:9090
    Exit codes: 0 done, 1 the store or a balancer does not answer, 2 bad input.
    """
    for name in [job] if job else sorted(ask.asked(file, lambda store: store.leases())):
        for past in ask.asked(file, lambda store, name=name: store.past_terms(name)):
            click.echo(f"{ask.when(past.at_s)}  {name}  term {past.term}  {past.holder}")
    for address in at:
        seen = ask.view(address)
        click.echo(f"{seen['name']}: {seen['refused']} refused since its start; the store: {seen['store']}")
        for r in seen["refusals"]:
            click.echo(f"  {ask.when(r['at_ms'] / 1000)}  balancer {r['peer']}  {r['job']}  {r['why']}")
