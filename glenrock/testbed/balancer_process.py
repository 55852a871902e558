"""A process of the real program: started, signalled and measured by its id. None outlives the testbed."""

from __future__ import annotations

import contextlib
import json
import os
import resource
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .loopback import Address
from .scenario_processes import die_with_parent

ROOT = Path(__file__).resolve().parents[2]
VARIABLES = ("LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN", "LB_ACCEPT_FD", "LB_FLEET", "LD_PRELOAD")


@dataclass(frozen=True)
class ProcessUsage:
    """What a process needs. CPU in seconds, memory in MB (its peak), descriptors open now."""

    cpu_s: float
    peak_mb: float
    descriptors: int


class BalancerProcess:
    """One balancer over all its lives.

    Attributes:
        number: among the balancers.
        config: written to its file at each start.
        environment: variables beside the usual ones.
        lives: starts so far.
        folder: of its configuration, log and temporary files.
    """

    def __init__(self, number: int, folder: Path, config: dict[str, Any], source: Path = ROOT) -> None:
        self.number = number
        self.config = config
        self.environment: dict[str, str] = {}
        self.lives = 0
        self.log_path = folder / "log"
        self.folder = folder
        self._source = source
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def address(self) -> Address:
        """Where clients connect."""
        host, port = self.config["listen"].rsplit(":", 1)
        return host, int(port)

    @property
    def is_running(self) -> bool:
        """Whether there is a process that has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Of the last life; negative for a signal, None while it runs."""
        return self._process.poll() if self._process else None

    def write_config(self) -> Path:
        """Writes the configuration file, whole or not at all."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "config.json"
        beside = path.with_suffix(".new")
        beside.write_text(json.dumps(self.config), encoding="utf-8")
        beside.replace(path)
        return path

    def start(self) -> None:
        """Starts a new life."""
        path = self.write_config()
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = {name: value for name, value in os.environ.items() if name not in VARIABLES}
        environment |= {"LB_CONFIG": str(path), "TMPDIR": str(temporary), **self.environment}
        environment["PYTHONPATH"] = str(self._source)
        with open(self.log_path, "ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-B", "-m", "glenrock"],
                cwd=self._source,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=self._limit_child,
            )
        self.lives += 1

    def _limit_child(self) -> None:
        die_with_parent()
        descriptors = int(self.config["limits"]["sockets"])
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))

    def send_signal(self, number: signal.Signals) -> None:
        """To a process that may have ended."""
        if self._process and self.is_running:
            with contextlib.suppress(ProcessLookupError):
                self._process.send_signal(number)

    def end(self) -> None:
        """Whatever state it is in."""
        if self._process:
            self.send_signal(signal.SIGCONT)
            self.send_signal(signal.SIGKILL)
            self._process.wait()

    def usage(self) -> ProcessUsage:
        """Of the running process.

        Raises:
            OSError: there is none.
        """
        assert self._process is not None, "it was started"
        place = Path(f"/proc/{self._process.pid}")
        fields = (place / "stat").read_text().rpartition(") ")[2].split()
        ticks = int(fields[11]) + int(fields[12])
        status = dict(line.split(":", 1) for line in (place / "status").read_text().splitlines())
        peak_mb = int(status["VmHWM"].split()[0]) / 1024
        return ProcessUsage(ticks / os.sysconf("SC_CLK_TCK"), peak_mb, len(os.listdir(place / "fd")))

    def log_lines(self) -> list[str]:
        """All lines of its log."""
        try:
            return self.log_path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError:
            return []
