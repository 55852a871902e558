"""Fixture of a small experiment, and a helper that runs a command line in its own process."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

CHECKOUT = Path(__file__).resolve().parents[2]
COMMAND = [sys.executable, "-c", "from glenrock.cli import main; main()"]
SMALL_EXPERIMENT = """name = "small"
length_s = 10.0
[fleet]
balancers = 2
instances = 4
[traffic]
life_s = 8.0
"""


@pytest.fixture
def experiment(tmp_path: Path) -> Path:
    """Writes an experiment that is simulated quickly."""
    path = tmp_path / "small.toml"
    path.write_text(SMALL_EXPERIMENT)
    return path


def run_process(*arguments: object) -> subprocess.CompletedProcess[str]:
    """Runs a command line in its own process, from the checkout."""
    return subprocess.run([*COMMAND, *map(str, arguments)], capture_output=True, text=True, cwd=CHECKOUT, timeout=120)
