"""`glenrock check FILE`: validates a file of any kind that the project reads."""

from __future__ import annotations

from pathlib import Path

import click

from .. import toml_file
from ..toml_file import InputFileError


@click.command("check")
@click.argument("file", type=click.Path(path_type=Path))
def command(file: Path) -> None:
    """Validate an experiment, a coordination file (.toml) or a configuration (.json).

    \b
    Example:
      glenrock check experiments/calm.toml
    Exit codes: 0 valid, 2 invalid; one line names the file, the line and the key.
    """
    if file.suffix == ".toml" and "jobs" in toml_file.read(file)[0]:
        from ..coordination import config as coordination_config

        coordination = coordination_config.load(file)
        click.echo(f"{file}: sound (a fleet's work, on {coordination.store.kind})")
    elif file.suffix == ".toml":
        from ..simulation import spec

        points = spec.points(file)
        click.echo(f"{file}: sound ({points[0][1].name}, {len(points)} point{'s' * (len(points) != 1)})")
    elif file.suffix == ".json":
        from ..config import ConfigError, read_config

        try:
            config = read_config({"LB_CONFIG": str(file)})
        except ConfigError as error:
            raise InputFileError(f"{file}: {error}") from error
        click.echo(f"{file}: sound ({config.name or 'no name'}, listens on {config.listen})")
    else:
        raise InputFileError(f"{file}: neither .toml nor .json")
