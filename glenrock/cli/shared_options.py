"""Options that the laboratory's sub-commands share, and their checks."""

from __future__ import annotations

import os
import tomllib
from pathlib import Path
from typing import Any

import click

from ..toml_file import InputFileError

file = click.argument("file", type=click.Path(path_type=Path))
policy = click.option("--policy", default="glenrock", show_default=True, help="What is driven; see `lab list`.")
policies = click.option("--policy", "policies", multiple=True, help="What is driven; may be given more than once.")
out = click.option("--out", type=click.Path(path_type=Path), help="The folder of the results.")
jobs = click.option(
    "--jobs", type=click.IntRange(1), default=os.cpu_count() or 1, show_default="cores", help="Parallel processes."
)
seeds = click.option("--seeds", default="10", show_default=True, help="How many seeds, or a range such as 5-24.")
settings = click.option(
    "--set", "over", multiple=True, metavar="KEY=VALUE", help="Replace a value of the file: --set traffic.load=0.6"
)


def check_policy(name: str) -> str:
    """The name, where there is such a policy.

    Raises:
        InputFileError: there is none.
    """
    from ..lab.policies import POLICIES

    if name not in POLICIES:
        raise InputFileError(f"--policy {name}: not one of {', '.join(POLICIES)}")
    return name


def parse_overrides(given: tuple[str, ...]) -> dict[str, Any]:
    """KEY=VALUE pairs; a value is read as TOML, or else taken as text.

    Raises:
        InputFileError: a pair is none.
    """
    out: dict[str, Any] = {}
    for pair in given:
        key, equals, text = pair.partition("=")
        if not equals or not key:
            raise InputFileError(f"--set {pair}: expected KEY=VALUE")
        try:
            out[key] = tomllib.loads(f"x = {text}")["x"]
        except tomllib.TOMLDecodeError:
            out[key] = text
    return out


def parse_seeds(text: str) -> list[int]:
    """The seeds that a count (10: 0 to 9) or a range (5-24) stands for.

    Raises:
        InputFileError: the text is neither.
    """
    first, dash, last = text.partition("-")
    try:
        found = list(range(int(first), int(last) + 1)) if dash else list(range(int(first)))
    except ValueError:
        found = []
    if not found or found[-1] > 2**63:
        raise InputFileError(f"--seeds {text}: expected a count such as 10, or a range such as 5-24")
    return found


def counts_text(counts: dict[str, int]) -> str:
    """Broken rules and how often, as one line tells them."""
    return ", ".join(f"{name} {count} times" for name, count in counts.items())
