"""`glenrock fleet start-report`: compares how several balancers started."""

from __future__ import annotations

import click

from . import store_queries
from .main import CommandFailedError


@click.command("start-report")
@click.option("--at", multiple=True, required=True, help="Operators' address of a balancer (host:port). Repeatable.")
def command(at: tuple[str, ...]) -> None:
    """Show the milestones of each balancer's start, and its calls to discovery.

    \b
    The counts of attempts and of established, rejected and failed requests cover the first 5 s of service.
    Example:
      glenrock fleet start-report --at 127.0.0.1:9090 --at 127.0.0.1:9091
    Exit codes: 0 done, 1 a balancer does not answer or runs another version, 2 invalid input.
    """
    from ..coordination.warm_start.start_report import format_report

    views = {address: store_queries.fetch_coordination_view(address) for address in dict.fromkeys(at)}
    for address, view in views.items():
        if not isinstance(view.get("start"), dict):
            raise CommandFailedError(f"{address}: the balancer runs a version that does not report its start")
    for line in format_report(list(views.values())):
        click.echo(line)
