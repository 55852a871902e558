"""Tests of `glenrock simulation`: result files, output and exit codes."""

from __future__ import annotations

import json
import signal
import subprocess
import time
from pathlib import Path
from typing import Any

import pytest

from glenrock.cli.main import run

from .conftest import CHECKOUT, COMMAND, SMALL_EXPERIMENT, run_process

RESULT_FILES = ["heat.csv", "histograms.json", "report.html", "series.csv", "summary.json"]
TIMING_KEYS = ("clock", "events_per_s")
START_TIMEOUT_S = 60


def test_run_writes_all_results_and_report_is_regenerated(
    experiment: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    out = tmp_path / "deep" / "out"
    assert run(["simulation", "run", str(experiment), "--seed", "3", "--out", str(out)]) == 0
    assert sorted(path.name for path in out.iterdir()) == RESULT_FILES
    summary = json.loads((out / "summary.json").read_text())
    assert (summary["experiment"], summary["seed"], summary["policy"]) == ("small", 3, "glenrock")
    assert {"whole", "worst_window", "worst_class", "worst_tenant"} <= set(summary["worth"])
    assert set(summary["rules"]) == {"answered", "repeated", "drained", "cold", "cut off"}
    assert summary["recovery_s"] == [] and summary["events"] > 0 and summary["events_per_s"] > 0
    html = (out / "report.html").read_text()
    assert html.count("data:image/png;base64,") >= 6 and "http" not in html.replace("http-equiv", "")
    output = capsys.readouterr().out
    assert "worth (share of" in output and "goal (weighted mean" in output
    # A second run replaces the results of the first, and the report can be regenerated.
    assert run(["simulation", "run", str(experiment), "--out", str(out), "--policy", "random"]) == 0
    (out / "report.html").unlink()
    assert run(["simulation", "report", str(out)]) == 0 and (out / "report.html").exists()
    assert not [path for path in out.parent.iterdir() if path.name.startswith(".")]


def test_violated_invariant_exits_with_1(
    experiment: Path, tmp_path: Path, monkeypatch: pytest.MonkeyPatch, capsys: pytest.CaptureFixture[str]
) -> None:
    from glenrock.routing import interface
    from glenrock.simulation.policies import simple

    monkeypatch.setitem(simple.EVENT_HANDLERS, interface.Request, lambda policy, event: None)
    assert run(["simulation", "run", str(experiment), "--policy", "random", "--out", str(tmp_path / "o")]) == 1
    assert "invariants violated: requests without exactly one final answer in time (" in capsys.readouterr().err
    assert "no final answer" in (tmp_path / "o" / "report.html").read_text()


def read_summaries(out: Path) -> list[dict[str, Any]]:
    """Returns the summaries of all runs, without the measured times, which differ between equal runs."""
    summaries = [json.loads(path.read_text()) for path in sorted((out / "runs").glob("*.json"))]
    return [{key: value for key, value in summary.items() if key not in TIMING_KEYS} for summary in summaries]


def test_sweep_is_equal_in_one_and_eight_processes_and_resumes(experiment: Path, tmp_path: Path) -> None:
    experiment.write_text(SMALL_EXPERIMENT + '[sweep]\n"fleet.instances" = [3, 5]\n')
    sweep = ["simulation", "sweep", experiment, "--seeds", "2", "--policy", "random", "--policy", "glenrock"]
    one, eight = tmp_path / "one", tmp_path / "eight"
    assert run_process(*sweep, "--jobs", 1, "--out", one).returncode == 0
    done = run_process(*sweep, "--jobs", 8, "--out", eight)
    assert done.returncode == 0, done.stderr
    assert read_summaries(one) == read_summaries(eight) and len(read_summaries(one)) == 8
    assert {path.name for path in one.iterdir()} == {"runs", "sweep.csv", "sweep.json", "report.html"}
    finished = sorted((one / "runs").iterdir())
    finished[0].unlink()
    finished[1].write_text("{")  # a truncated summary is simulated again
    times = {path: path.stat().st_mtime_ns for path in finished[2:]}
    assert run_process(*sweep, "--jobs", 1, "--out", one, "--resume").returncode == 0
    assert read_summaries(one) == read_summaries(eight)
    assert all(path.stat().st_mtime_ns == time_ns for path, time_ns in times.items())


def test_interrupted_sweep_keeps_finished_runs(experiment: Path, tmp_path: Path) -> None:
    out = tmp_path / "out"
    sweep = ["simulation", "sweep", str(experiment), "--seeds", "3000", "--jobs", "2", "--policy", "random"]
    process = subprocess.Popen([*COMMAND, *sweep, "--out", str(out)], cwd=CHECKOUT, stderr=subprocess.PIPE, text=True)
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while len(list((out / "runs").glob("*.json"))) < 5 and time.monotonic() < deadline_s:
        time.sleep(0.05)
    process.send_signal(signal.SIGINT)
    _, error_output = process.communicate(timeout=60)
    assert process.returncode == 1 and "--resume continues" in error_output and "Traceback" not in error_output
    finished = list((out / "runs").glob("*.json"))
    assert len(finished) >= 5 and all(json.loads(path.read_text())["format"] == 1 for path in finished)


def test_compare_pairs_runs_by_seed(experiment: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    out = tmp_path / "o"
    sources = [f"{experiment}@random", f"{experiment}@random"]
    assert run(["simulation", "compare", *sources, "--seeds", "4", "--jobs", "1", "--out", str(out)]) == 0
    comparison = json.loads((out / "compare.json").read_text())
    goal = next(row for row in comparison["rows"] if row["measure"] == "worth.goal")
    assert (goal["pairs"], goal["difference"], goal["p"]) == (4, 0.0, 1.0)
    assert goal["label"] in capsys.readouterr().out
