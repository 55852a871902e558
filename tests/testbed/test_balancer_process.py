"""Processes of the program: signals, limits, and their end with the testbed."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from glenrock.routing import interface
from glenrock.routing.settings_codec import settings_of
from glenrock.testbed import balancer_settings
from glenrock.testbed.balancer_process import BalancerProcess
from glenrock.testbed.history import History
from glenrock.testbed.loopback import LoopbackNetwork


def told(net: LoopbackNetwork) -> dict:
    host, port = net.balancer(190)
    s = interface.Settings(
        classes=(interface.RequestClass("browse", 300_000, 1_500_000, 90_000, 2.0),),
        tenants=(interface.Tenant("all", 40.0),),
        balancers=2,
        load_report_fields=("load_ratio", "backlog"),
        may_health_check=True,
    )
    assert settings_of(balancer_settings.encode_settings(s)) == s
    return {
        "name": "n0",
        "listen": f"{host}:{port}",
        "discovery": f"{host}:9",
        "seed": "1",
        "limits": {"sockets": 128},
        "settings": balancer_settings.encode_settings(s),
    }


def state(pid: int) -> str:
    try:
        return Path(f"/proc/{pid}/stat").read_text().rpartition(") ")[2][0]
    except OSError:
        return "gone"


def until(what, seconds: float = 10.0) -> bool:
    end = time.monotonic() + seconds
    while not (found := bool(what())) and time.monotonic() < end:
        time.sleep(0.02)
    return found


def test_process_is_started_signalled_limited_and_ended_in_any_state(tmp_path) -> None:
    h = History(lambda: 0)
    b = BalancerProcess(0, tmp_path / "b", told(LoopbackNetwork()), memory_mb=512, history=h)
    try:
        b.start()
        pid = b.process_id
        assert until(lambda: any("ready" in line for line in b.new_log_lines()))
        assert b.pause() and until(lambda: state(pid) == "T")
        b.resume()
        assert until(lambda: state(pid) in "SR")
        b.limit_cpu(10, max(os.sched_getaffinity(0)))
        assert os.sched_getaffinity(pid) == {max(os.sched_getaffinity(0))} and b.neighbour.poll() is None
        burner = b.neighbour.pid
        b.restore_cpu(os.sched_getaffinity(0))
        assert os.sched_getaffinity(pid) == os.sched_getaffinity(0) and state(burner) == "gone"
        b.pause()
    finally:
        b.end()
    assert state(pid) == "gone" and not b.kill() and not b.pause()
    assert [e.kind for e in h.events] == ["started", "paused", "resumed", "squeezed", "loosened", "paused"]


def test_processes_end_when_the_testbed_is_killed(tmp_path) -> None:
    (tmp_path / "told.json").write_text(json.dumps(told(LoopbackNetwork())))
    code = (
        "import json, sys, time; from pathlib import Path; from glenrock.testbed import balancer_process, history\n"
        "told = json.loads(Path('told.json').read_text())\n"
        "b = balancer_process.BalancerProcess(0, Path('b'), told, memory_mb=512, history=history.History(lambda: 0))\n"
        "b.start(); print(b.process_id, flush=True); time.sleep(60)"
    )
    testbed = subprocess.Popen([sys.executable, "-c", code], stdout=subprocess.PIPE, cwd=tmp_path)
    pid = int(testbed.stdout.readline())
    assert state(pid) != "gone"
    testbed.send_signal(signal.SIGKILL)
    testbed.wait()
    testbed.stdout.close()
    assert until(lambda: state(pid) in ("gone", "Z"))
