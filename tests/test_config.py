"""A faulty configuration is told in one line that names the key."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from glenrock.config import ConfigError, parse_config, read_config
from glenrock.routing import interface

ROOT = Path(__file__).resolve().parent.parent
GOOD = {
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


class Configuration(unittest.TestCase):
    def test_faults_name_their_key(self) -> None:
        for key, value in (
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
        ):
            with self.subTest(key=key, value=value), self.assertRaisesRegex(ConfigError, key):
                parse_config({**GOOD, key: value})

    def test_reports_go_by_the_modules_names_and_silence_is_no_good_news(self) -> None:
        config = parse_config(GOOD)
        self.assertEqual(config.settings.load_report_fields, (interface.UTILIZATION, "backlog", interface.LOAD_RATIO))
        self.assertEqual((config.settings.has_message_delay_reports, config.measures_delay), (False, True))

    def test_read_again_a_changed_key_wins_over_its_variable(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            env = {"LB_CONFIG": str(path), "LB_DISCOVERY": "127.0.0.1:2"}
            path.write_text(json.dumps(GOOD))
            begun = read_config(env)
            self.assertEqual(read_config(env, begun).discovery, ("127.0.0.1", 2))
            path.write_text(json.dumps({**GOOD, "discovery": "127.0.0.1:3"}))
            self.assertEqual(read_config(env, begun).discovery, ("127.0.0.1", 3))

    def test_sighup_at_any_time_ends_nothing(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps({**GOOD, "listen": "127.0.0.1:0"}))
            program = subprocess.Popen(
                [sys.executable, "-B", "-m", "glenrock"],
                cwd=ROOT,
                text=True,
                stderr=subprocess.PIPE,
                env={**os.environ, "LB_CONFIG": str(path)},
            )

            def until(words: str) -> None:
                for line in program.stderr:
                    if words in line:
                        return
                self.fail(f"ended without {words!r}")

            try:
                until("endpoint poll failed")  # not ready yet
                program.send_signal(signal.SIGHUP)
                until("configuration reloaded discovery=127.0.0.1:2")
                until("program: ready")
                path.write_text("{")
                program.send_signal(signal.SIGHUP)
                until("configuration not reloaded: the previous one stays")
                program.send_signal(signal.SIGTERM)
                program.send_signal(signal.SIGHUP)
                until("program: stopped\n")
                self.assertEqual(program.wait(10), 0)
            finally:
                program.kill()
                program.wait()
                program.stderr.close()

    def test_the_program_exits_2_without_a_traceback(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "config.json"
            path.write_text(json.dumps({**GOOD, "listen": "nowhere"}))
            done = subprocess.run(
                [sys.executable, "-B", "-m", "glenrock"],
                cwd=ROOT,
                capture_output=True,
                text=True,
                timeout=30,
                env={**os.environ, "LB_CONFIG": str(path)},
            )
        self.assertEqual(done.returncode, 2)
        self.assertEqual(done.stderr, "glenrock: listen: expected host:port, got 'nowhere'\n")
