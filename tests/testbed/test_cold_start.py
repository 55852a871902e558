"""Restarts while discovery is silent, with and without a cached list."""

from __future__ import annotations

import tempfile
from pathlib import Path

import pytest

from glenrock.cli.main import run as command
from glenrock.testbed import scenario_runner
from glenrock.testbed.history import US_PER_S
from glenrock.testbed.history_events import AttemptEnded, AttemptUp, BalancerAdded, LineLogged
from glenrock.testbed.loopback import format_address
from glenrock.testbed.scenario_testbed import ScenarioTestbed

from .scenarios import Table, assert_no_violation, measured_us, play_small, small_scenario

USES_CACHE = "endpoint list and loads of the last run"  # a line of the log
DELAYED = "start delayed after repeated crashes"  # another
SILENT: list[Table] = [{"kind": "list_fault", "at_s": 3.0, "how": "silent", "for_s": 4.0}]
CUT: list[Table] = [{"kind": "way", "at_s": 3.0, "source": "balancer:*", "target": "list", "cut": True, "for_s": 4.0}]
KILLED: list[Table] = [{"kind": "kill", "at_s": 3.3, "balancer": number, "down_s": 0.3} for number in range(3)]
# They restart one after another, and the second incarnation of one ends soon after it has begun.
KILLED_IN_TURN: list[Table] = [
    {"kind": "kill", "at_s": 3.3 + number / 2, "balancer": number % 3, "down_s": 0.3} for number in range(4)
]
# The cached list has it still: it crashed while no balancer could hear of it.
SERVER_CRASH: Table = {"kind": "instance_kill", "at_s": 3.2, "instance": 1, "down_s": 5.0}


@pytest.mark.alone
@pytest.mark.parametrize(
    ("keep", "faults"),
    [
        (False, [*SILENT, *KILLED]),
        (True, [*SILENT, *KILLED]),
        (True, [*CUT, *KILLED]),
        (True, [*SILENT, *KILLED_IN_TURN, SERVER_CRASH]),
    ],
    ids=["nothing kept", "killed at once", "cut from the list", "killed in turn, a server gone"],
)
def test_restarts_without_discovery_serve_from_the_cached_list(keep: bool, faults: list[Table]) -> None:
    together = {"store": "sqlite", "keep": keep}
    bed, summary = play_small(seed=3, length_s=10.0, rig={"known": False}, together=together, faults=faults)
    assert_no_violation(summary)
    assert summary["counts"]["broken"] >= 10
    assert any(bed.history.each(AttemptEnded))
    up_s = [measured_us(bed, event) / US_PER_S for event in bed.history.each(AttemptUp)]
    up_while_silent_s = [at_s for at_s in up_s if 4.0 <= at_s < 6.9]  # all processes run again, discovery is silent
    assert (len(up_while_silent_s) >= 10) is keep, (len(up_while_silent_s), summary["counts"])
    assert bool(up_while_silent_s) is keep
    lines = [event.data.text for event in bed.history.each(LineLogged) if USES_CACHE in event.data.text]
    kills = len(faults) - len(SILENT) - (SERVER_CRASH in faults)
    assert sum("its list of 4 servers is used" in line for line in lines) == keep * kills


KILLED_AGAIN_AND_AGAIN: list[Table] = [
    {"kind": "kill", "at_s": 1 + 1.5 * number, "balancer": 0, "down_s": 0.1} for number in range(6)
]


@pytest.mark.alone
@pytest.mark.parametrize("spaced", [False, True])
def test_restart_backoff_grows_and_resets_after_success(spaced: bool) -> None:
    together = {"store": "sqlite", "spaced": spaced, "sound_ms": 6000.0}
    bed, summary = play_small(seed=5, length_s=17.0, together=together, faults=KILLED_AGAIN_AND_AGAIN)
    assert_no_violation(summary)
    added_s = [
        measured_us(bed, event) / US_PER_S
        for event in bed.history.each(BalancerAdded)
        if event.data.balancer == 0 and measured_us(bed, event) > 0
    ]
    late_s = [
        at_s for at_s in added_s if 7.1 < at_s < 8.5
    ]  # of an incarnation that is delayed for longer than it lasts
    assert (not late_s) is spaced, added_s
    delays_ms = [
        float(event.data.text.partition("delay_ms=")[2].split()[0])
        for event in bed.history.each(LineLogged)
        if DELAYED in event.data.text
    ]
    assert (len(delays_ms) >= 3) is spaced, delays_ms
    assert delays_ms == sorted(delays_ms)
    assert added_s[-1] > 8.5, "it serves once it is no longer killed"
    up_after = [event for event in bed.history.each(AttemptUp) if measured_us(bed, event) / US_PER_S > added_s[-1]]
    assert up_after or summary["counts"]["set_up"] > 20


def test_start_report_command_combines_all_processes(capsys: pytest.CaptureFixture[str]) -> None:
    """Two of three are killed while discovery is silent, and report while they serve without it."""
    found: list[tuple[int, str]] = []

    def report_once(bed: ScenarioTestbed) -> None:
        if not found and bed.clients.elapsed_s() > 6:
            addresses = [format_address(bed.network.admin(number)) for number in range(3)]
            options = [word for address in addresses for word in ("--at", address)]
            code = command(["fleet", "start-report", *options])
            found.append((code, capsys.readouterr().out))

    with tempfile.TemporaryDirectory() as folder:
        scenario = small_scenario(
            length_s=8.0,
            rig={"known": False},
            together={"store": "sqlite", "keep": True},
            faults=[*SILENT, *KILLED[:2]],
        )
        scenario_runner.play(scenario, 3, Path(folder), report_once)
    [(code, text)] = found
    rows = {line.split()[0]: line for line in text.splitlines()}
    assert code == 0
    assert text.splitlines()[1].startswith("n2"), text
    assert {"n0", "n1", "n2"} <= set(rows), text
    assert " kept " in rows["n0"], text
    assert " kept " in rows["n1"], text
    assert " none " in rows["n2"], text
    missing = text.partition("all have the list from discovery: not yet: ")[2].partition("\n")[0]
    calls = float(text.partition("calls for the list: ")[2].split()[0])  # of n2; the others wait in vain
    assert set(missing.split(", ")) == {"n0", "n1"}, text
    assert 0.3 <= calls < 3, text
    assert "all accept clients: not yet" not in text
    assert not rows["n2"].endswith(" 0  0   0        0"), text
