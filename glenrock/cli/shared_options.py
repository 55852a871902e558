"""Command-line options that several sub-commands share, and the parsers of their values."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

import click

from ..toml_file import InputFileError

MAX_SEED = 2**63

file = click.argument("file", type=click.Path(path_type=Path))
policy = click.option(
    "--policy", default="glenrock", show_default=True, help="Routing policy; `glenrock simulation list` shows all."
)
policies = click.option("--policy", "policies", multiple=True, help="Routing policy. Repeatable. Default: glenrock.")
out = click.option("--out", type=click.Path(path_type=Path), help="Folder for the results.")
jobs = click.option(
    "--jobs",
    type=click.IntRange(1),
    default=os.cpu_count() or 1,
    show_default="cores",
    help="Simulations that run in parallel.",
)
seeds = click.option(
    "--seeds", default="10", show_default=True, help="Number of seeds, counted from 0, or a range such as 5-24."
)
settings = click.option(
    "--set",
    "overrides",
    multiple=True,
    metavar="KEY=VALUE",
    help="Override a value of the file, such as --set traffic.load=0.6. Repeatable.",
)


def check_policy(name: str) -> str:
    """Returns the name of a policy unchanged if it exists.

    Raises:
        InputFileError: there is no policy of this name.
    """
    from ..simulation.policies import POLICIES

    if name not in POLICIES:
        raise InputFileError(f"--policy {name}: not one of {', '.join(POLICIES)}")
    return name


def parse_overrides(pairs: tuple[str, ...]) -> dict[str, Any]:
    """Parses KEY=VALUE pairs. A value that is not valid TOML is taken as a string.

    Raises:
        InputFileError: a pair has no key or no equals sign.
    """
    values: dict[str, Any] = {}
    for pair in pairs:
        key, equals, text = pair.partition("=")
        if not equals or not key:
            raise InputFileError(f"--set {pair}: expected KEY=VALUE")
        try:
            values[key] = tomllib.loads(f"value = {text}")["value"]
        except tomllib.TOMLDecodeError:
            values[key] = text
    return values


def parse_seeds(text: str) -> list[int]:
    """Parses a number of seeds (10 means the seeds 0 to 9) or a range of seeds (5-24, inclusive).

    Raises:
        InputFileError: the text is neither, or a seed is above 2**63.
    """
    first, dash, last = text.partition("-")
    try:
        numbers = list(range(int(first), int(last) + 1)) if dash else list(range(int(first)))
    except ValueError:
        numbers = []
    if not numbers or numbers[-1] > MAX_SEED:
        raise InputFileError(f"--seeds {text}: expected a number of seeds such as 10, or a range such as 5-24")
    return numbers
