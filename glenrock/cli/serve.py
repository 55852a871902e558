"""`glenrock serve`: runs the balancer."""

from __future__ import annotations

import os

import click


@click.command("serve")
@click.option(
    "--config",
    type=click.Path(dir_okay=False),
    help="The configuration file. Default: the environment variable LB_CONFIG.",
)
def command(config: str | None) -> int:
    """Run the balancer, like `python -m glenrock`.

    \b
    Example:
      glenrock serve --config config.json
    """
    if config:
        os.environ["LB_CONFIG"] = config
    from ..__main__ import main

    return main()
