"""Reading the configuration: invalid keys, reloads and the exit code."""

from __future__ import annotations

import json
import os
import queue
import signal
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import IO

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
LINE_TIMEOUT_S = 30.0


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


def test_load_report_fields_are_mapped_and_delay_is_measured_on_relays() -> None:
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


class LineReader:
    """Reads the lines of a stream in a thread, so that waiting for a line has a time limit."""

    def __init__(self, stream: IO[str]) -> None:
        self._lines: queue.SimpleQueue[str | None] = queue.SimpleQueue()  # None: the stream has ended
        self._stream = stream
        self._thread = threading.Thread(target=self._read, daemon=True)
        self._thread.start()

    def _read(self) -> None:
        for line in self._stream:
            self._lines.put(line)
        self._lines.put(None)

    def wait_for(self, *texts: str) -> None:
        """Reads lines until each text was found, in whichever order. Fails after `LINE_TIMEOUT_S`."""
        missing = list(texts)
        deadline = time.monotonic() + LINE_TIMEOUT_S
        while missing:
            try:
                line = self._lines.get(timeout=max(0.0, deadline - time.monotonic()))
            except queue.Empty:
                pytest.fail(f"no line with {missing!r} within {LINE_TIMEOUT_S} s")
            if line is None:
                pytest.fail(f"the process ended without {missing!r}")
            missing = [text for text in missing if text not in line]

    def close(self) -> None:
        """Closes the stream. The process must have ended."""
        self._thread.join()
        self._stream.close()


def test_sighup_never_ends_the_process(tmp_path: Path) -> None:
    path = tmp_path / "config.json"
    path.write_text(json.dumps({**VALID, "listen": "127.0.0.1:0"}))
    process = subprocess.Popen(
        PROGRAM, cwd=ROOT, text=True, stderr=subprocess.PIPE, env={**os.environ, "LB_CONFIG": str(path)}
    )
    assert process.stderr
    lines = LineReader(process.stderr)
    try:
        lines.wait_for("endpoint poll failed")  # usually before the process is ready
        process.send_signal(signal.SIGHUP)
        lines.wait_for("configuration reloaded discovery=127.0.0.1:2", "program: ready")
        path.write_text("{")
        process.send_signal(signal.SIGHUP)
        lines.wait_for("configuration not reloaded: the previous one stays")
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        lines.wait_for("program: stopped\n")
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait()
        lines.close()


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
