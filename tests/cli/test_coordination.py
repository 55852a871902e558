"""Tests of `glenrock fleet`, and of the error of a balancer whose coordination file is invalid."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from glenrock.cli.main import run
from glenrock.coordination.leases.sqlite_store import SqliteStore

LEASE_US = 60_000_000


@pytest.fixture
def coordination_file(tmp_path: Path) -> Path:
    path = tmp_path / "fleet.toml"
    path.write_text(f'folder = "{tmp_path}"\n[store]\nkind = "sqlite"\npath = "{tmp_path / "s.db"}"\n[jobs]\n')
    return path


def test_jobs_owner_and_history_show_leases_of_the_store(
    coordination_file: Path, tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    option = ["--file", str(coordination_file)]
    assert run(["fleet", "jobs", *option]) == 1 and "no balancer has used it" in capsys.readouterr().err
    store = SqliteStore(tmp_path / "s.db")
    assert store.acquire("bans", "n1/5-6", 1, LEASE_US) == 1
    store.release("bans", "n1/5-6", 2, 1)
    assert run(["fleet", "owner", "bans", *option]) == 1
    assert "the lease of bans is free; its last holder" in capsys.readouterr().err
    assert store.acquire("bans", "n2/7-8", 1, LEASE_US) == 2
    assert run(["fleet", "jobs", *option]) == 0
    assert "bans  term 2  n2/7-8  60.0 s left" in capsys.readouterr().out.replace("59.9", "60.0")
    assert run(["fleet", "owner", "bans", *option]) == 0
    assert "n2/7-8  term 2  since 20" in capsys.readouterr().out
    assert run(["fleet", "history", *option]) == 0
    output = capsys.readouterr().out
    assert output.index("term 1  n1/5-6") < output.index("term 2  n2/7-8")
    assert run(["fleet", "owner", "x", *option]) == 1 and "the lease of x was never acquired" in capsys.readouterr().err
    assert run(["fleet", "history", *option, "--at", "127.0.0.1:1"]) == 1
    assert run(["check", str(coordination_file)]) == 0


@pytest.mark.parametrize(
    ("text", "message"), [(None, "fleet.toml"), ('folder = "/f"\n[store]\nkind = "x"\n', "store.kind")]
)
def test_balancer_with_invalid_coordination_file_exits_with_one_line(
    text: str | None, message: str, tmp_path: Path
) -> None:
    coordination_file, config_file = tmp_path / "fleet.toml", tmp_path / "c.json"
    if text:
        coordination_file.write_text(text)
    config_file.write_text(
        json.dumps(
            {
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:9",
                "fleet": str(coordination_file),
                "settings": {"classes": [{"name": "a", "targetUs": 1, "deadlineUs": 2}]},
            }
        )
    )
    done = subprocess.run(
        [sys.executable, "-m", "glenrock"],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "LB_CONFIG": str(config_file)},
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1
    assert "fleet: " in done.stderr and message in done.stderr
