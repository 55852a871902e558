"""`glenrock check FILE`: validates an experiment, a coordination file or a balancer's configuration."""

from __future__ import annotations

from pathlib import Path

import click

from .. import toml_file
from ..toml_file import InputFileError


@click.command("check")
@click.argument("file", type=click.Path(path_type=Path))
def command(file: Path) -> None:
    """Validate an experiment or a coordination file (.toml), or a balancer's configuration (.json).

    \b
    Example:
      glenrock check experiments/calm.toml
    Exit codes: 0 valid, 2 invalid. The error message names the file, the line and the key.
    """
    if file.suffix == ".toml":
        is_coordination_file = "jobs" in toml_file.read(file).content
        description = _check_coordination_file(file) if is_coordination_file else _check_experiment(file)
    elif file.suffix == ".json":
        description = _check_configuration(file)
    else:
        raise InputFileError(f"{file}: unsupported file type, neither .toml nor .json")
    click.echo(f"{file}: OK: {description}")


def _check_coordination_file(file: Path) -> str:
    """Loads a coordination file and returns its description. Raises InputFileError if it is invalid."""
    from ..coordination import config

    return f"coordination file with a store of kind {config.load(file).store.kind}"


def _check_experiment(file: Path) -> str:
    """Loads an experiment and returns its description. Raises InputFileError if it is invalid."""
    from ..simulation import spec

    points = spec.sweep_points(file)
    experiment = points[0][1]
    return f"experiment {experiment.name}, {len(points)} parameter combination{'' if len(points) == 1 else 's'}"


def _check_configuration(file: Path) -> str:
    """Loads a balancer's configuration and returns its description. Raises InputFileError if it is invalid."""
    from ..config import ConfigError, read_config

    try:
        config = read_config({"LB_CONFIG": str(file)})
    except ConfigError as error:
        raise InputFileError(f"{file}: {error}") from error
    return f"configuration of {config.name or 'a balancer without a name'}, listens on {config.listen}"
