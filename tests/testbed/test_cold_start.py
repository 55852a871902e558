"""Restarts while discovery is silent, with and without a cached list."""

from __future__ import annotations

import tempfile
from pathlib import Path

import pytest

from glenrock.cli.main import run as command
from glenrock.testbed import scenario_runner
from glenrock.testbed.history import US_PER_S
from glenrock.testbed.scenario_testbed import ScenarioTestbed

from .scenarios import played, scene

USES_CACHE = "endpoint list and loads of the last run"  # a line of the log
SILENT = [{"kind": "list_fault", "at_s": 3.0, "how": "silent", "for_s": 4.0}]
CUT = [{"kind": "way", "at_s": 3.0, "source": "balancer:*", "target": "list", "cut": True, "for_s": 4.0}]
KILLED = [{"kind": "kill", "at_s": 3.3, "balancer": n, "down_s": 0.3} for n in range(3)]
# They come back one after another, and the second life of one ends soon after it has begun.
AGAIN = [{"kind": "kill", "at_s": 3.3 + n / 2, "balancer": n % 3, "down_s": 0.3} for n in range(4)]
# What was kept says that it is there: it died while nobody could hear of it.
GONE = [{"kind": "instance_kill", "at_s": 3.2, "instance": 1, "down_s": 5.0}]


@pytest.mark.parametrize(
    "keep,faults",
    [
        (False, [*SILENT, *KILLED]),
        (True, [*SILENT, *KILLED]),
        (True, [*CUT, *KILLED]),
        (True, [*SILENT, *AGAIN, *GONE]),
    ],
    ids=["nothing kept", "killed at once", "cut from the list", "killed in turn, a server gone"],
)
def test_restarts_without_discovery_serve_from_the_cached_list(keep: bool, faults: list) -> None:
    bed, s = played(
        seed=3, length_s=10.0, rig={"known": False}, together={"store": "sqlite", "keep": keep}, faults=faults
    )
    assert not s["breaches"], [(b["rule"], b["text"], *b["led"]) for b in s["breaches"]]
    day = bed.history.measured_from_us
    ups = [e.at_us - day for e in bed.history.each("up")]
    broken = [e.at_us - day for e in bed.history.each("over")]
    assert s["counts"]["broken"] >= 10 and broken
    silent = [at for at in ups if 4.0 * US_PER_S <= at < 6.9 * US_PER_S]  # all are up again, and the list is not
    assert (len(silent) >= 10) is keep and bool(silent) is keep, (len(silent), s["counts"])
    lines = [str(e.data["text"]) for e in bed.history.each("log") if USES_CACHE in str(e.data["text"])]
    assert sum("its list of 4 servers is used" in line for line in lines) == keep * (
        len(faults) - len(SILENT) - (GONE[0] in faults)
    )


LOOP = [{"kind": "kill", "at_s": 1 + 1.5 * n, "balancer": 0, "down_s": 0.1} for n in range(6)]


@pytest.mark.parametrize("spaced", [False, True])
def test_restart_backoff_grows_and_resets_after_success(spaced: bool) -> None:
    bed, s = played(
        seed=5, length_s=17.0, together={"store": "sqlite", "spaced": spaced, "sound_ms": 6000.0}, faults=LOOP
    )
    assert not s["breaches"], [(b["rule"], b["text"], *b["led"]) for b in s["breaches"]]
    day = bed.history.measured_from_us
    taken = [
        (e.at_us - day) / US_PER_S for e in bed.history.each("takes in") if e.data["balancer"] == 0 and e.at_us > day
    ]
    late = [at for at in taken if 7.1 < at < 8.5]  # of a life that waits at least as long as it has
    assert (not late) is spaced, taken
    waits = [
        float(str(e.data["text"]).partition("delay_ms=")[2].split()[0])
        for e in bed.history.each("log")
        if "start delayed after repeated crashes" in str(e.data["text"])
    ]
    assert (len(waits) >= 3) is spaced and waits == sorted(waits), waits
    assert taken[-1] > 8.5, "it serves once it lives"
    ups = [e for e in bed.history.each("up") if (e.at_us - day) / US_PER_S > taken[-1]]
    assert ups or s["counts"]["set_up"] > 20


def test_start_report_command_combines_all_processes(capsys) -> None:
    """Two of three are killed while discovery is silent, and report while they serve without it."""
    found: list[tuple[int, str]] = []

    def live(bed: ScenarioTestbed) -> None:
        if not found and bed.clients.elapsed_s() > 6:
            at = [f"{host}:{port}" for host, port in map(bed.network.admin, range(3))]
            code = command(["fleet", "start-report", *(word for address in at for word in ("--at", address))])
            found.append((code, capsys.readouterr().out))

    with tempfile.TemporaryDirectory() as folder:
        told = scene(
            length_s=8.0,
            rig={"known": False},
            together={"store": "sqlite", "keep": True},
            faults=[*SILENT, *KILLED[:2]],
        )
        scenario_runner.play(told, 3, Path(folder), live)
    [(code, text)] = found
    rows = {line.split()[0]: line for line in text.splitlines()}
    assert code == 0 and text.splitlines()[1].startswith("n2") and {"n0", "n1", "n2"} <= set(rows), text
    assert " kept " in rows["n0"] and " kept " in rows["n1"] and " none " in rows["n2"], text
    missing = text.partition("all have heard the list: not yet: ")[2].partition("\n")[0]
    calls = float(text.partition("calls for the list: ")[2].split()[0])  # of n2; the others wait in vain
    assert set(missing.split(", ")) == {"n0", "n1"} and 0.3 <= calls < 3, text
    assert "all doors are open: not yet" not in text and not rows["n2"].endswith(" 0  0   0        0"), text
