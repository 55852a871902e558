"""`glenrock serve`: the real program."""

from __future__ import annotations

import os

import click


@click.command("serve")
@click.option("--config", type=click.Path(dir_okay=False), help="The configuration, in place of LB_CONFIG.")
def command(config: str | None) -> int:
    """Serve clients. The same as `python -m glenrock`.

    \b
    Example:
      glenrock serve --config config.json
    """
    if config:
        os.environ["LB_CONFIG"] = config
    from ..__main__ import main

    return main()
