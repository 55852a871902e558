"""Scenario files: an error is reported in one line, with file, line and key."""

from __future__ import annotations

from pathlib import Path

import pytest

from glenrock.cli.main import run
from glenrock.testbed import scenario

SCENES = Path(__file__).resolve().parents[2] / "scenes"
FAULT = '[[faults]]\nkind = "{}"\nat_s = 1.0\n'


@pytest.mark.parametrize("file", sorted(SCENES.glob("*.toml")), ids=lambda path: path.stem)
def test_shipped_scenarios_are_valid(file: Path) -> None:
    assert scenario.load(file).faults


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (FAULT.format("crash"), "faults[0].kind: "),
        (FAULT.format("kill") + "balancer = 3\n", "there is no balancer 3"),
        (FAULT.format("instance_kill") + "instance = 12\n", "there is no instance 12"),
        (FAULT.format("way") + 'source = "balancer:*"\ntarget = "nobody"\n', "faults[0].target: "),
        (FAULT.format("way") + 'source = "list"\ntarget = "clients"\n', "nothing goes from list to clients"),
        (FAULT.format("way") + 'source = "balancer:9"\ntarget = "list"\n', "faults[0].source: there is no balancer 9"),
        (FAULT.format("pause") + "for_s = -1.0\n", "faults[0].for_s: "),
        ("[fleet]\nballancers = 3\n", "fleet.ballancers: unknown key"),
        ("[fleet]\nbalancers = 500\n", "fleet.balancers: at most 200"),
        ("[rig]\nsockets = 5\n", "rig.sockets: "),
        ("[constants]\nCAP_CUT = 0.5\n", "constants: only the simulation"),
    ],
)
def test_invalid_scenario_is_reported_in_one_line(
    tmp_path: Path, capsys: pytest.CaptureFixture[str], text: str, message: str
) -> None:
    file = tmp_path / "x.toml"
    file.write_text('name = "x"\n' + text)
    assert run(["stage", "run", str(file), "--out", str(tmp_path / "out")]) == 2
    shown = capsys.readouterr().err
    assert shown.count("\n") == 1, shown
    assert f"{file}:" in shown
    assert message in shown
    assert not (tmp_path / "out").exists()
