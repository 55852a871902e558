"""Configuration: invalid keys, reloads, exit codes."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from glenrock.config import ConfigError, parse_config, read_config
from glenrock.routing import interface

ROOT = Path(__file__).resolve().parent.parent
VALID = {
    "name": "n0",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "ff",
    "settings": {
        "classes": [{"name": "c", "targetUs": 1000, "deadlineUs": 2000}],
        "report": {"how": "probe", "names": ["utilization", "backlog", "x0"]},
        "domain": {"tellsDelay": True},
    },
}
PROGRAM = [sys.executable, "-B", "-m", "glenrock"]


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("listen", "nowhere"),
        ("discovery", "h:99999"),
        ("seed", "xyz"),
        ("peers", "a:1"),
        ("peers", ["a"]),
        ("limits", {"sockets": 3}),
        ("limits", {"sockets": "many"}),
        ("settings", {}),
        ("settings", {"classes": []}),
        ("known", []),
    ],
)
def test_error_names_the_invalid_key(key: str, value: object) -> None:
    with pytest.raises(ConfigError, match=key):
        parse_config({**VALID, key: value})


def test_load_report_fields_are_mapped_and_delay_reports_come_from_relays() -> None:
    config = parse_config(VALID)
    assert config.settings.load_report_fields == (interface.UTILIZATION, "backlog", interface.LOAD_RATIO)
    assert (config.settings.has_message_delay_reports, config.measures_delay) == (False, True)


def test_key_that_changed_in_the_file_overrides_its_variable_after_a_reload(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    environment = {"LB_CONFIG": str(path), "LB_DISCOVERY": "127.0.0.1:2"}
    path.write_text(json.dumps(VALID))
    initial_config = read_config(environment)
    assert read_config(environment, initial_config).discovery == ("127.0.0.1", 2)
    path.write_text(json.dumps({**VALID, "discovery": "127.0.0.1:3"}))
    assert read_config(environment, initial_config).discovery == ("127.0.0.1", 3)


def test_sighup_never_ends_the_process(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**VALID, "listen": "127.0.0.1:0"}))
    process = subprocess.Popen(
        PROGRAM, cwd=ROOT, text=True, stderr=subprocess.PIPE, env={**os.environ, "LB_CONFIG": str(path)}
    )

    stderr = process.stderr
    assert stderr

    def wait_for_line(text: str) -> None:
        for line in stderr:
            if text in line:
                return
        pytest.fail(f"the process ended without {text!r}")

    try:
        wait_for_line("endpoint poll failed")  # before the process is ready
        process.send_signal(signal.SIGHUP)
        wait_for_line("configuration reloaded discovery=127.0.0.1:2")
        wait_for_line("program: ready")
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        wait_for_line("configuration not reloaded: the previous one stays")
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        wait_for_line("program: stopped\n")
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()
        stderr.close()


def test_invalid_configuration_exits_2_without_a_traceback(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**VALID, "listen": "nowhere"}))
    completed = subprocess.run(
        PROGRAM,
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=30,
        env={**os.environ, "LB_CONFIG": str(path)},
    )
    assert completed.returncode == 2
    assert completed.stderr == "glenrock: listen: expected host:port, got 'nowhere'\n"
