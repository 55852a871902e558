"""Tests of the simulator's adapter as a process, started by the command in deploy/balancer.toml."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from collections.abc import Sequence
from pathlib import Path

import pytest

from glenrock.routing import Balancer, interface, simulator_adapter

ROOT = Path(__file__).resolve().parents[2]
PROFILE = {
    "az": "z1",
    "zones": ["z1", "z2"],
    "balancers": 2,
    "slotNo": 0,
    "tickUs": 4000,
    "registryMode": "push",
    "caps": {
        "maxAttempts": 3,
        "probes": True,
        "mayTell": True,
        "cancel": True,
        "retryAfter": True,
        "maxRetryAfterUs": 1000000,
        "dialTimeoutUs": 250000,
    },
    "classes": [{"name": "c", "targetUs": 300000, "deadlineUs": 900000, "effect": "safe", "worth": 1}],
    "obligations": {
        "coldShare": 0.2,
        "coldUs": 9000000,
        "fallMultiple": 3,
        "overloadForUs": 1000000,
        "drainGraceUs": 250000,
        "graceToAnswerUs": 9000,
    },
    "report": {"how": "probe", "names": ["x0", "new_value"]},
    "tariffs": {"probe": 0.002, "peer": 0.01},
    "domain": {"messageAimUs": [60000]},
    "some_new_key": [1, 2],
}


def start_lines(balancer: int) -> list[str]:
    """Returns the lines of a batch that starts a balancer with three servers."""
    servers = [
        f"item server=10.0.0.{number}:9 area=z{1 + number % 2} flavor=k unitGroup=0 availability=Ready units=1"
        for number in range(3)
    ]
    return [
        "begin_batch wallUs=1000000",
        f"start balancer={balancer} seed=5 profileData={json.dumps(PROFILE)}",
        "list bank=0 membersList=3",
        *servers,
        f"topology balancer={balancer} kind=Persisted seqNo=1 bank=0",
        "go",
    ]


def request_lines(balancer: int, number: int) -> list[str]:
    """Returns a batch: a request, a malformed gossip summary, an unknown line, and in every third batch a timer."""
    now_us = 1000000 + number * 20000
    lines = [
        f"begin_batch wallUs={now_us}",
        f"call balancer={balancer} msgId=m{balancer}-{number} service=c deadlineUs={now_us + 900000} item={number % 9}"
        f" channel={number % 4} sizeHintUs={5000 + number} odd_field=7",
        f"message balancer={balancer} src=1 raw=68692037",
        f"something_new balancer={balancer} x=1",
    ]
    if number % 3 == 0:
        lines.append(f"reminder balancer={balancer} ref={number // 3}")
    return [*lines, "go"]


def input_lines(balancer: int = 3) -> list[str]:
    """Returns the lines of 80 batches for a balancer."""
    lines = start_lines(balancer)
    for number in range(1, 80):
        lines += request_lines(balancer, number)
    return lines


def run_adapter(lines: list[str], **environment: str) -> subprocess.CompletedProcess[str]:
    """Runs the adapter on these lines by the command in the deployment file, with additional environment variables."""
    command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["sim"]
    command = command.replace(".venv/bin/python", sys.executable)
    return subprocess.run(
        ["/bin/sh", "-c", command],
        input="\n".join(lines) + "\n",
        text=True,
        cwd=ROOT,
        capture_output=True,
        timeout=60,
        env={**os.environ, **environment},
    )


def test_adapter_replies_to_each_batch_and_exits_0() -> None:
    process = run_adapter(input_lines())
    assert (process.returncode, process.stderr) == (0, "")
    reply = process.stdout.splitlines()
    assert reply.count("ready") == 80
    assert any(line.startswith("issue balancer=3 ") for line in reply)
    words = {line.split()[0] for line in reply}
    assert words <= {"issue", "timer", "inspect", "refuse", "error", "revoke", "notify", "ready"}


def test_replies_do_not_depend_on_the_hash_seed() -> None:
    replies = {run_adapter(input_lines(), PYTHONHASHSEED=seed).stdout for seed in ("1", "77")}
    assert len(replies) == 1


def split_batches(lines: list[str]) -> list[list[str]]:
    """Returns the lines of each batch, without the `go` line that ends the batch."""
    batches: list[list[str]] = [[]]
    for line in lines:
        if line == "go":
            batches.append([])
        else:
            batches[-1].append(line)
    return batches[:-1]


def test_balancers_of_one_process_are_independent() -> None:
    def filter_reply(reply: str, balancer: int) -> list[str]:
        return [line for line in reply.splitlines() if f"balancer={balancer} " in line]

    combined_lines: list[str] = []
    for batch, other_batch in zip(split_batches(input_lines(3)), split_batches(input_lines(4)), strict=True):
        combined_lines += [*batch, *(line for line in other_batch if not line.startswith("begin_batch")), "go"]
    reply = run_adapter(combined_lines).stdout
    for balancer in (3, 4):
        assert filter_reply(reply, balancer) == filter_reply(run_adapter(input_lines(balancer)).stdout, balancer)


@pytest.mark.parametrize(
    ("line", "message"),
    [
        ("call balancer=3 service=c deadlineUs=5", "missing field msgId"),
        ("call balancer=3 msgId=m service=c deadlineUs=soon", "deadlineUs is not a whole number"),
        ("call balancer=x msgId=m service=c deadlineUs=5", "balancer is not a whole number"),
        ("call balancer", "expected name=value"),
        ("topology balancer=3 kind=Partial seqNo=2 bank=9", "was not sent"),
        ("topology balancer=3 kind=Odd seqNo=2 bank=0", "unknown topology kind"),
        ("message balancer=3 src=1 raw=zz", "raw is not hex"),
        ("health_result balancer=3 server=10.0.0.1:9 verdict=delivered gauge=x0:much", "gauge is not a number"),
        ("start balancer=4 seed=1 profileData={", "profileData"),
        ('start balancer=4 seed=1 profileData={"classes": []}', "classes"),
        ("begin_batch wallUs=9", "inside a batch"),
        ("list bank=0 membersList=2\ngo", "item lines were expected"),
    ],
)
def test_malformed_line_ends_the_adapter_with_one_message(line: str, message: str) -> None:
    process = run_adapter([*start_lines(3), "begin_batch wallUs=2000000", *line.split("\n"), "go"])
    assert process.returncode != 0
    assert len(process.stderr.splitlines()) == 1 and message in process.stderr and "Traceback" not in process.stderr
    assert "line " in process.stderr


def test_error_of_a_balancer_is_reported_on_the_wire(monkeypatch: pytest.MonkeyPatch) -> None:
    class BrokenBalancer(Balancer):
        def handle(self, now_us: int, events: Sequence[interface.Event]) -> list[interface.Action]:
            raise RuntimeError("decision failed")

    monkeypatch.setattr(simulator_adapter, "Balancer", BrokenBalancer)
    adapter = simulator_adapter.SimulatorAdapter()
    replies = [reply for line in start_lines(3) if (reply := adapter.handle_line(line)) is not None]
    assert replies[0][0].startswith("give_in balancer=3 message=") and "decision failed" in replies[0][0]
