"""Tests of `check`, `simulation list`, the alias `lab`, the handling of invalid input, and what serving imports."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

import click
import pytest

from glenrock.cli.main import ROOT, run

from .conftest import CHECKOUT


@pytest.mark.parametrize(
    ("arguments", "message"),
    [
        (["simulation", "run", "nowhere.toml"], "nowhere.toml: No such file or directory"),
        (["simulation", "run", "SMALL", "--policy", "best"], "--policy best: not one of glenrock, random"),
        (["simulation", "run", "SMALL", "--seed", "x"], "'x' is not a valid integer"),
        (["simulation", "run", "SMALL", "--seed", "-1"], "-1 is not in the range"),
        (["simulation", "run", "SMALL", "--set", "fleet.balancers=0"], "fleet.balancers: Expected `int` >= 1"),
        (["simulation", "run", "SMALL", "--set", "fleet"], "--set fleet: expected KEY=VALUE"),
        (["simulation", "run", "SMALL", "--out", "/proc/no/such"], "/proc/no/such: "),
        (["simulation", "run", "SMALL", "--out", "FOREIGN"], "holds other things than results"),
        (["simulation", "run", "SMALL", "--out", "SMALL"], "not a folder"),
        (["simulation", "sweep", "SMALL", "--seeds", "none"], "--seeds none: expected a number of seeds"),
        (["simulation", "compare", "SMALL", "SMALL"], "neither a folder of results nor FILE@POLICY"),
        (["simulation", "report", "FOREIGN"], "summary.json: No such file or directory"),
        (["simulation", "fly"], "No such command 'fly'"),
        (["check", "SMALL", "--fast"], "No such option"),
        (["check", "x.yaml"], "neither .toml nor .json"),
        (["serve", "--config", "nowhere.json"], "LB_CONFIG: cannot read nowhere.json"),
    ],
)
def test_invalid_input_is_reported_in_one_line_with_exit_code_2(
    experiment: Path,
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
    monkeypatch: pytest.MonkeyPatch,
    arguments: list[str],
    message: str,
) -> None:
    monkeypatch.setenv("LB_CONFIG", "")
    foreign = tmp_path / "foreign"
    foreign.mkdir()
    (foreign / "notes.txt").write_text("not a result")
    paths = {"SMALL": str(experiment), "FOREIGN": str(foreign)}
    assert run([paths.get(argument, argument) for argument in arguments]) == 2
    error_output = capsys.readouterr().err
    assert error_output.count("\n") == 1 and error_output.startswith("glenrock: ") and message in error_output
    assert (foreign / "notes.txt").read_text() == "not a result" and len(list(foreign.iterdir())) == 1
    assert not (tmp_path / "out").exists()


def test_check_and_list_accept_valid_files(
    experiment: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    assert run(["check", str(experiment)]) == 0
    config = tmp_path / "c.json"
    config.write_text(
        '{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {"classes": ['
        '{"name": "a", "targetUs": 1, "deadlineUs": 2}]}}'
    )
    assert run(["check", str(config)]) == 0
    assert run(["simulation", "list", "--folder", str(CHECKOUT / "experiments")]) == 0
    output = capsys.readouterr().out
    assert all(word in output for word in (": OK: configuration of ", "crash-quarter.toml", "prequal", "zone_cut"))
    config.write_text("{}")
    assert run(["check", str(config)]) == 2


def test_lab_is_a_hidden_alias_of_simulation(capsys: pytest.CaptureFixture[str]) -> None:
    assert run(["--help"]) == 0
    names = {line.split()[0] for line in capsys.readouterr().out.splitlines() if line.startswith("  ")}
    assert "simulation" in names and "lab" not in names
    outputs = []
    for name in ("simulation", "lab"):
        assert run([name, "list", "--folder", str(CHECKOUT / "experiments")]) == 0
        outputs.append(capsys.readouterr().out)
    assert outputs[0] == outputs[1]
    context = click.Context(ROOT)
    assert ROOT.get_command(context, "lab") is ROOT.get_command(context, "simulation")


def test_serving_imports_neither_tools_nor_their_dependencies() -> None:
    code = (
        "import sys, glenrock.__main__; found = ' '.join(sorted({m.split('.')[0] for m in sys.modules} & "
        "{'click', 'msgspec', 'numpy', 'matplotlib', 'rich', 'jinja2', 'hdrh', 'xxhash', 'structlog', 'aiohttp'}))"
    )
    tool_packages = ("glenrock.simulation", "glenrock.testbed", "glenrock.coordination")
    code += f"; found += ' '.join(m for m in sys.modules if m.startswith({tool_packages}))"
    code += "\nsys.exit(found or 0)"
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        cwd=CHECKOUT,
        timeout=60,
        env={**os.environ, "PYTHONPATH": str(CHECKOUT)},
    )
    assert done.returncode == 0, done.stderr
