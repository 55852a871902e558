"""`glenrock fleet` as an operator meets it, and a program with a faulty operator's file."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from glenrock.cli.main import run
from glenrock.coordination.leases.sqlite_store import SqliteStore


@pytest.fixture
def file(tmp_path: Path) -> Path:
    path = tmp_path / "fleet.toml"
    path.write_text(f'folder = "{tmp_path}"\n[store]\nkind = "sqlite"\npath = "{tmp_path / "s.db"}"\n[jobs]\n')
    return path


def test_who_owns_what_since_when_and_who_did_before(file, tmp_path, capsys) -> None:
    assert run(["fleet", "jobs", "--file", str(file)]) == 1 and "no balancer has used it" in capsys.readouterr().err
    store = SqliteStore(tmp_path / "s.db")
    assert store.acquire("bans", "n1/5-6", 1, 60_000_000) == 1
    store.release("bans", "n1/5-6", 2, 1)
    assert run(["fleet", "owner", "bans", "--file", str(file)]) == 1
    assert "nobody owns bans; the last" in capsys.readouterr().err
    assert store.acquire("bans", "n2/7-8", 1, 60_000_000) == 2
    assert run(["fleet", "jobs", "--file", str(file)]) == 0
    assert "bans  term 2  n2/7-8  60.0 s" in capsys.readouterr().out.replace("59.9", "60.0")
    assert run(["fleet", "owner", "bans", "--file", str(file)]) == 0
    assert "n2/7-8  term 2  since 20" in capsys.readouterr().out
    assert run(["fleet", "history", "--file", str(file)]) == 0
    said = capsys.readouterr().out
    assert said.index("term 1  n1/5-6") < said.index("term 2  n2/7-8")
    assert run(["fleet", "owner", "x", "--file", str(file)]) == 1 and "x was never held" in capsys.readouterr().err
    assert run(["fleet", "history", "--file", str(file), "--at", "127.0.0.1:1"]) == 1
    assert run(["check", str(file)]) == 0


@pytest.mark.parametrize("text, said", [(None, "fleet.toml"), ('folder = "/f"\n[store]\nkind = "x"\n', "store.kind")])
def test_a_program_with_a_faulty_operators_file_ends_with_one_line(text, said, tmp_path) -> None:
    path, told = tmp_path / "fleet.toml", tmp_path / "c.json"
    if text:
        path.write_text(text)
    told.write_text(
        json.dumps(
            {
                "listen": "127.0.0.1:0",
                "discovery": "127.0.0.1:9",
                "fleet": str(path),
                "settings": {"classes": [{"name": "a", "targetUs": 1, "deadlineUs": 2}]},
            }
        )
    )
    done = subprocess.run(
        [sys.executable, "-m", "glenrock"],
        capture_output=True,
        text=True,
        timeout=60,
        env={**os.environ, "LB_CONFIG": str(told)},
    )
    assert done.returncode == 2 and done.stderr.count("\n") == 1 and "fleet: " in done.stderr and said in done.stderr
