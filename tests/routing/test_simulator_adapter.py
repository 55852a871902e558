"""The adapter as a process, started by the command of deploy/balancer.toml."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

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


def script(number: int = 3) -> list[str]:
    lines = [
        "begin_batch wallUs=1000000",
        f"start balancer={number} seed=5 profileData={json.dumps(PROFILE)}",
        "list bank=0 membersList=3",
    ]
    lines += [
        f"item server=10.0.0.{n}:9 area=z{1 + n % 2} flavor=k unitGroup=0 availability=Ready units=1" for n in range(3)
    ]
    lines += [f"topology balancer={number} kind=Persisted seqNo=1 bank=0", "go"]
    for n in range(1, 80):
        now = 1000000 + n * 20000
        lines += [
            f"begin_batch wallUs={now}",
            f"call balancer={number} msgId=m{number}-{n} service=c deadlineUs={now + 900000} item={n % 9}"
            f" channel={n % 4} sizeHintUs={5000 + n} odd_field=7",
            f"message balancer={number} src=1 raw=68692037",
            f"something_new balancer={number} x=1",
        ]
        if n % 3 == 0:
            lines.append(f"reminder balancer={number} ref={n // 3}")
        lines.append("go")
    return lines


def play(lines: list[str], **env: str) -> subprocess.CompletedProcess:
    sim = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["sim"]
    sim = sim.replace(".venv/bin/python", sys.executable)
    return subprocess.run(
        ["/bin/sh", "-c", sim],
        input="\n".join(lines) + "\n",
        text=True,
        cwd=ROOT,
        capture_output=True,
        timeout=60,
        env={**os.environ, **env},
    )


def test_adapter_replies_to_each_batch_and_exits_0() -> None:
    done = play(script())
    assert (done.returncode, done.stderr) == (0, "")
    out = done.stdout.splitlines()
    assert out.count("ready") == 80
    assert any(x.startswith("issue balancer=3 ") for x in out)
    assert {x.split()[0] for x in out} <= {"issue", "timer", "inspect", "refuse", "error", "revoke", "notify", "ready"}


def test_hash_seed_changes_nothing() -> None:
    assert play(script(), PYTHONHASHSEED="1").stdout == play(script(), PYTHONHASHSEED="77").stdout


def test_balancers_of_one_process_are_independent() -> None:
    def of(text: str, number: int) -> list[str]:
        return [x for x in text.splitlines() if f"balancer={number} " in x]

    three, four = script(3), script(4)
    both: list[str] = []
    split = [[i for i, x in enumerate(s) if x == "go"] for s in (three, four)]
    a = b = 0
    for i, j in zip(*split, strict=True):
        both += three[a:i] + [x for x in four[b:j] if not x.startswith("begin_batch")] + ["go"]
        a, b = i + 1, j + 1
    together = play(both).stdout
    assert of(together, 3) == of(play(three).stdout, 3)
    assert of(together, 4) == of(play(four).stdout, 4)


@pytest.mark.parametrize(
    "line,fault",
    [
        ("call balancer=3 service=c deadlineUs=5", "missing field msgId"),
        ("call balancer=3 msgId=m service=c deadlineUs=soon", "deadlineUs is not a whole number"),
        ("call balancer=x msgId=m service=c deadlineUs=5", "balancer is not a whole number"),
        ("call balancer", "expected name=value"),
        ("topology balancer=3 kind=Partial seqNo=2 bank=9", "never came"),
        ("topology balancer=3 kind=Odd seqNo=2 bank=0", "unknown topology kind"),
        ("message balancer=3 src=1 raw=zz", "raw is not hex"),
        ("health_result balancer=3 server=10.0.0.1:9 verdict=delivered gauge=x0:much", "gauge is not a number"),
        ("start balancer=4 seed=1 profileData={", "profileData"),
        ('start balancer=4 seed=1 profileData={"classes": []}', "classes"),
        ("begin_batch wallUs=9", "inside a batch"),
        ("list bank=0 membersList=2\ngo", "item lines were announced"),
    ],
)
def test_malformed_line_ends_the_adapter_with_one_message(line: str, fault: str) -> None:
    done = play([*script()[:8], "begin_batch wallUs=2000000", *line.split("\n"), "go"])
    assert done.returncode != 0
    assert len(done.stderr.splitlines()) == 1 and fault in done.stderr and "Traceback" not in done.stderr
    assert "line " in done.stderr


def test_error_of_a_balancer_is_reported_on_the_wire(monkeypatch: pytest.MonkeyPatch) -> None:
    from glenrock.routing import simulator_adapter

    class Broken(simulator_adapter.Balancer):
        def handle(self, now_us, events):
            raise RuntimeError("broken inside")

    monkeypatch.setattr(simulator_adapter, "Balancer", Broken)
    d = simulator_adapter.SimulatorAdapter()
    replies = [r for x in script()[:8] if (r := d.feed(x)) is not None]
    assert replies[0][0].startswith("give_in balancer=3 message=") and "broken inside" in replies[0][0]
