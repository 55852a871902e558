"""Processes of the program: signals, limits, and their end with the testbed."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

from glenrock.routing import interface
from glenrock.routing.settings_codec import decode_settings
from glenrock.testbed.balancer_process import BalancerProcess
from glenrock.testbed.balancer_settings import encode_settings
from glenrock.testbed.history import History
from glenrock.testbed.history_events import (
    BalancerPaused,
    BalancerResumed,
    BalancerStarted,
    CpuLimited,
    CpuRestored,
)
from glenrock.testbed.loopback import LoopbackNetwork, format_address

NUMBER = 190  # its addresses are beside those of other tests of this process
SETTINGS = interface.Settings(
    classes=(interface.RequestClass("browse", 300_000, 1_500_000, 90_000, 2.0),),
    tenants=(interface.Tenant("all", 40.0),),
    balancers=2,
    load_report_fields=("load_ratio", "backlog"),
    may_health_check=True,
)


def configuration() -> dict[str, Any]:
    host, port = LoopbackNetwork().balancer(NUMBER)
    return {
        "name": "n0",
        "listen": format_address((host, port)),
        "discovery": format_address((host, 9)),
        "seed": "1",
        "limits": {"sockets": 128},
        "settings": encode_settings(SETTINGS),
    }


def process_state(process_id: int) -> str:
    """Returns the letter of proc(5), or `gone`."""
    try:
        return Path(f"/proc/{process_id}/stat").read_text().rpartition(") ")[2][0]
    except OSError:
        return "gone"


def wait_until(condition: Callable[[], bool], timeout_s: float = 10.0) -> bool:
    until_s = time.monotonic() + timeout_s
    while not (is_met := condition()) and time.monotonic() < until_s:
        time.sleep(0.02)
    return is_met


def test_settings_are_read_back_as_they_were() -> None:
    unusual = interface.RequestClass(
        "pay", 100, 200, 0, 5.0, interface.Idempotency.KEYED, interface.IdempotencyScope.ZONE, 400
    )
    varied = interface.Settings(
        classes=(unusual, interface.RequestClass("browse", 300_000, 1_500_000, 90_000)),
        tenants=(interface.Tenant("one", 40.0), interface.Tenant("two")),
        zone="a",
        must_poll_endpoints=True,
        is_weighted_by_work=True,
        load_report_fields=("load_ratio", "backlog", "utilization", "backlog_s", "inflight"),
        migration_cost=0.5,
    )
    for settings in (SETTINGS, varied):
        assert decode_settings(json.loads(json.dumps(encode_settings(settings)))) == settings


def test_process_is_started_signalled_limited_and_ended_in_any_state(tmp_path: Path) -> None:
    history = History(lambda: 0)
    balancer = BalancerProcess(0, tmp_path / "b", configuration(), memory_mb=512, history=history)
    cores = os.sched_getaffinity(0)
    try:
        balancer.start()
        process_id = balancer.process_id
        assert wait_until(lambda: any("ready" in line for line in balancer.new_log_lines()))
        assert balancer.pause()
        assert wait_until(lambda: process_state(process_id) == "T")
        balancer.resume()
        assert wait_until(lambda: process_state(process_id) in "SR")
        balancer.limit_cpu(10, max(cores))
        assert os.sched_getaffinity(process_id) == {max(cores)}
        neighbour = balancer.neighbour
        assert neighbour is not None
        assert neighbour.poll() is None
        balancer.restore_cpu(cores)
        assert os.sched_getaffinity(process_id) == cores
        assert process_state(neighbour.pid) == "gone"
        balancer.pause()
    finally:
        balancer.end()
    assert process_state(process_id) == "gone"
    assert not balancer.kill()
    assert not balancer.pause()
    assert [type(event.data) for event in history.events] == [
        BalancerStarted,
        BalancerPaused,
        BalancerResumed,
        CpuLimited,
        CpuRestored,
        BalancerPaused,
    ]


PARENT = """
import json, time
from pathlib import Path
from glenrock.testbed.balancer_process import BalancerProcess
configuration = json.loads(Path("configuration.json").read_text())
balancer = BalancerProcess(0, Path("b"), configuration, memory_mb=512)
balancer.start()
print(balancer.process_id, flush=True)
time.sleep(60)
"""


def test_processes_end_when_the_testbed_is_killed(tmp_path: Path) -> None:
    (tmp_path / "configuration.json").write_text(json.dumps(configuration()))
    with subprocess.Popen([sys.executable, "-c", PARENT], stdout=subprocess.PIPE, cwd=tmp_path) as testbed:
        assert testbed.stdout is not None
        process_id = int(testbed.stdout.readline())
        assert process_state(process_id) != "gone"
        testbed.send_signal(signal.SIGKILL)
    assert wait_until(lambda: process_state(process_id) in ("gone", "Z"))
