"""`glenrock fleet start-report`: compares the starts of several balancers."""

from __future__ import annotations

import click

from . import store_queries
from .main import CommandFailedError


@click.command("start-report")
@click.option("--at", multiple=True, required=True, help="Operators' address of a balancer, host:port. Repeatable.")
def command(at: tuple[str, ...]) -> None:
    """Show when each balancer was ready, had an endpoint list and served, and its calls to discovery.

    \b
    Counts of attempts and of established, rejected and failed requests cover the first 5 s of service.
    Example:
      glenrock fleet start-report --at 127.0.0.1:9090 --at 127.0.0.1:9091
    Exit codes: 0 done, 1 a balancer does not answer or is of another version, 2 bad input.
    """
    from ..coordination.warm_start.start_report import format_report

    views = {address: store_queries.fetch_view(address) for address in dict.fromkeys(at)}
    for address, view in views.items():
        if not isinstance(view.get("start"), dict):
            raise CommandFailedError(f"{address}: reports nothing about its start: it runs another version")
    for line in format_report(list(views.values())):
        click.echo(line)
