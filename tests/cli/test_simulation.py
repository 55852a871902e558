"""The command line as a user meets it: what it writes, what it says, and how it ends."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import pytest

from glenrock.cli.main import run

ROOT = Path(__file__).resolve().parents[2]
SMALL = """name = "small"
length_s = 10.0
[fleet]
balancers = 2
instances = 4
[traffic]
life_s = 8.0
"""


@pytest.fixture
def small(tmp_path: Path) -> Path:
    path = tmp_path / "small.toml"
    path.write_text(SMALL)
    return path


def glenrock(*given: object, cwd: Path = ROOT) -> subprocess.CompletedProcess:
    return subprocess.run(
        [sys.executable, "-c", "from glenrock.cli import main; main()", *map(str, given)],
        capture_output=True,
        text=True,
        cwd=cwd,
        timeout=120,
    )


def test_a_run_writes_all_it_names(small: Path, tmp_path: Path, capsys) -> None:
    out = tmp_path / "deep" / "out"
    assert run(["lab", "run", str(small), "--seed", "3", "--out", str(out)]) == 0
    assert sorted(p.name for p in out.iterdir()) == [
        "heat.csv",
        "histograms.json",
        "report.html",
        "series.csv",
        "summary.json",
    ]
    s = json.loads((out / "summary.json").read_text())
    assert (s["experiment"], s["seed"], s["policy"]) == ("small", 3, "glenrock")
    assert {"whole", "worst_window", "worst_class", "worst_tenant"} <= set(s["worth"])
    assert set(s["rules"]) == {"answered", "repeated", "drained", "cold", "cut off"}
    assert s["recovery_s"] == [] and s["events"] > 0 and s["events_per_s"] > 0
    html = (out / "report.html").read_text()
    assert html.count("data:image/png;base64,") >= 6 and "http" not in html.replace("http-equiv", "")
    assert "worth: goal" in capsys.readouterr().out
    # Again into the same folder, and its report made anew.
    assert run(["lab", "run", str(small), "--out", str(out), "--policy", "random"]) == 0
    (out / "report.html").unlink()
    assert run(["lab", "report", str(out)]) == 0 and (out / "report.html").exists()
    assert not [p for p in out.parent.iterdir() if p.name.startswith(".")]


@pytest.mark.parametrize(
    "given,told",
    [
        (["lab", "run", "nowhere.toml"], "nowhere.toml: No such file or directory"),
        (["lab", "run", "SMALL", "--policy", "best"], "--policy best: not one of glenrock, random"),
        (["lab", "run", "SMALL", "--seed", "x"], "'x' is not a valid integer"),
        (["lab", "run", "SMALL", "--seed", "-1"], "-1 is not in the range"),
        (["lab", "run", "SMALL", "--set", "fleet.balancers=0"], "fleet.balancers: Expected `int` >= 1"),
        (["lab", "run", "SMALL", "--set", "fleet"], "--set fleet: expected KEY=VALUE"),
        (["lab", "run", "SMALL", "--out", "/proc/no/such"], "/proc/no/such: "),
        (["lab", "run", "SMALL", "--out", "FULL"], "holds other things than results"),
        (["lab", "run", "SMALL", "--out", "SMALL"], "not a folder"),
        (["lab", "sweep", "SMALL", "--seeds", "none"], "--seeds none: expected a count"),
        (["lab", "compare", "SMALL", "SMALL"], "neither a folder of results nor FILE@POLICY"),
        (["lab", "report", "FULL"], "summary.json: No such file or directory"),
        (["lab", "fly"], "No such command 'fly'"),
        (["check", "SMALL", "--fast"], "No such option"),
        (["check", "x.yaml"], "neither .toml nor .json"),
        (["serve", "--config", "nowhere.json"], "LB_CONFIG: cannot read nowhere.json"),
    ],
)
def test_bad_input_is_one_line_and_exit_2(small: Path, tmp_path: Path, capsys, monkeypatch, given, told) -> None:
    monkeypatch.setenv("LB_CONFIG", "")
    full = tmp_path / "full"
    full.mkdir()
    (full / "letter.txt").write_text("mine")
    given = [{"SMALL": str(small), "FULL": str(full)}.get(g, g) for g in given]
    assert run(given) == 2
    said = capsys.readouterr().err
    assert said.count("\n") == 1 and said.startswith("glenrock: ") and told in said
    assert (full / "letter.txt").read_text() == "mine" and len(list(full.iterdir())) == 1
    assert not (tmp_path / "out").exists()


def test_a_broken_rule_is_exit_1(small: Path, tmp_path: Path, monkeypatch, capsys) -> None:
    from glenrock.lab.policies import simple
    from glenrock.routing import interface

    monkeypatch.setitem(simple.HANDLERS, interface.Request, lambda self, e: None)
    assert run(["lab", "run", str(small), "--policy", "random", "--out", str(tmp_path / "o")]) == 1
    assert "rules broken: answered" in capsys.readouterr().err
    assert "no final answer" in (tmp_path / "o" / "report.html").read_text()


def results(out: Path) -> list[dict]:
    found = [json.loads(p.read_text()) for p in sorted((out / "runs").glob("*.json"))]
    return [{k: v for k, v in s.items() if k not in ("clock", "events_per_s")} for s in found]


def test_a_sweep_is_the_same_in_one_process_and_in_eight_and_goes_on_where_it_stopped(
    small: Path, tmp_path: Path
) -> None:
    small.write_text(SMALL + '[sweep]\n"fleet.instances" = [3, 5]\n')
    given = ["lab", "sweep", small, "--seeds", "2", "--policy", "random", "--policy", "glenrock"]
    one, eight = tmp_path / "one", tmp_path / "eight"
    assert glenrock(*given, "--jobs", 1, "--out", one).returncode == 0
    done = glenrock(*given, "--jobs", 8, "--out", eight)
    assert done.returncode == 0, done.stderr
    assert results(one) == results(eight) and len(results(one)) == 8
    assert {p.name for p in one.iterdir()} == {"runs", "sweep.csv", "sweep.json", "report.html"}
    kept = sorted((one / "runs").iterdir())
    kept[0].unlink()
    kept[1].write_text("{")  # cut off: played again
    times = {p: p.stat().st_mtime_ns for p in kept[2:]}
    assert glenrock(*given, "--jobs", 1, "--out", one, "--resume").returncode == 0
    assert results(one) == results(eight)
    assert all(p.stat().st_mtime_ns == t for p, t in times.items())


def test_ctrl_c_keeps_what_is_finished(small: Path, tmp_path: Path) -> None:
    out = tmp_path / "out"
    child = subprocess.Popen(
        [
            sys.executable,
            "-c",
            "from glenrock.cli import main; main()",
            "lab",
            "sweep",
            str(small),
            "--seeds",
            "3000",
            "--jobs",
            "2",
            "--policy",
            "random",
            "--out",
            str(out),
        ],
        cwd=ROOT,
        stderr=subprocess.PIPE,
        text=True,
    )
    limit = time.monotonic() + 60
    while len(list((out / "runs").glob("*.json"))) < 5 and time.monotonic() < limit:
        time.sleep(0.05)
    child.send_signal(signal.SIGINT)
    _, said = child.communicate(timeout=60)
    assert child.returncode == 1 and "--resume goes on" in said and "Traceback" not in said
    kept = list((out / "runs").glob("*.json"))
    assert len(kept) >= 5 and all(json.loads(p.read_text())["format"] == 1 for p in kept)


def test_compare_pairs_by_seed(small: Path, tmp_path: Path, capsys) -> None:
    out = tmp_path / "o"
    assert (
        run(["lab", "compare", f"{small}@random", f"{small}@random", "--seeds", "4", "--jobs", "1", "--out", str(out)])
        == 0
    )
    found = json.loads((out / "compare.json").read_text())
    goal = next(r for r in found["rows"] if r["measure"] == "worth.goal")
    assert (goal["pairs"], goal["difference"], goal["p"]) == (4, 0.0, 1.0)
    assert "worth.goal" in capsys.readouterr().out


def test_check_and_list(small: Path, tmp_path: Path, capsys) -> None:
    assert run(["check", str(small)]) == 0
    config = tmp_path / "c.json"
    config.write_text(
        '{"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": {"classes": ['
        '{"name": "a", "targetUs": 1, "deadlineUs": 2}]}}'
    )
    assert run(["check", str(config)]) == 0
    assert run(["lab", "list", "--folder", str(ROOT / "experiments")]) == 0
    said = capsys.readouterr().out
    assert all(word in said for word in ("sound", "crash-quarter.toml", "prequal", "zone_cut"))
    config.write_text("{}")
    assert run(["check", str(config)]) == 2


def test_serving_imports_none_of_the_tools() -> None:
    code = (
        "import sys, glenrock.__main__; found = ' '.join(sorted({m.split('.')[0] for m in sys.modules} & "
        "{'click', 'msgspec', 'numpy', 'matplotlib', 'rich', 'jinja2', 'hdrh', 'xxhash', 'structlog', 'aiohttp'}))"
    )
    tools = ("glenrock.lab", "glenrock.testbed", "glenrock.coordination")
    code += f"; found += ' '.join(m for m in sys.modules if m.startswith({tools}))"
    code += "\nsys.exit(found or 0)"
    done = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        text=True,
        cwd=ROOT,
        timeout=60,
        env={**os.environ, "PYTHONPATH": str(ROOT)},
    )
    assert done.returncode == 0, done.stderr
