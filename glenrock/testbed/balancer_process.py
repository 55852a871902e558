"""A balancer process of the program: started, signalled and measured by its id. It ends with the testbed."""

from __future__ import annotations

import contextlib
import ctypes
import json
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from .history import History
from .history_events import (
    BalancerKilled,
    BalancerPaused,
    BalancerResumed,
    BalancerStarted,
    BalancerTerminated,
    CpuLimited,
    CpuRestored,
    EventData,
    SignalSent,
)
from .loopback import Address
from .records import balancer_party
from .waiting import wait_until

ROOT = Path(__file__).resolve().parents[2]
VARIABLES = ("LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN", "LB_ACCEPT_FD", "LB_FLEET", "LD_PRELOAD")
BYTES_PER_MB = 1 << 20
PR_SET_PDEATHSIG = 1
BUSY_LOOP = "while True: pass"
_LIBC = ctypes.CDLL(None, use_errno=True)


def _die_with_parent() -> None:
    """Runs in a child before its program: the child is killed when the testbed ends, even if that is killed."""
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


@dataclass(frozen=True)
class ProcessUsage:
    """What a process needs. CPU in seconds, memory in MB (its peak), descriptors open now."""

    cpu_s: float
    peak_mb: float
    descriptors: int


class BalancerProcess:
    """One balancer over all its incarnations.

    Attributes:
        number: among the balancers.
        party: its name in records and histories.
        config: written to its file at each start.
        environment: variables beside the usual ones.
        pass_fds: descriptors that it inherits.
        incarnation: starts so far.
        is_paused: whether it is stopped by `pause`.
        folder: of its configuration, log and temporary files.
        neighbour: the busy process of `limit_cpu`.
    """

    def __init__(
        self,
        number: int,
        folder: Path,
        config: dict[str, Any],
        source: Path = ROOT,
        memory_mb: int | None = None,
        history: History | None = None,
    ) -> None:
        self.number = number
        self.party = balancer_party(number)
        self.config = config
        self.environment: dict[str, str] = {}
        self.pass_fds: tuple[int, ...] = ()
        self.incarnation = 0
        self.is_paused = False
        self.folder = folder.resolve()
        self.log_path = self.folder / "log"
        self.neighbour: subprocess.Popen[bytes] | None = None
        self._source = source
        self._memory_mb = memory_mb
        self._history = history
        self._process: subprocess.Popen[bytes] | None = None
        self._log_position = 0

    # -- state -----------------------------------------------------------------------------------------

    @property
    def address(self) -> Address:
        """Where clients connect."""
        host, port = self.config["listen"].rsplit(":", 1)
        return host, int(port)

    @property
    def process_id(self) -> int:
        """Of the last incarnation."""
        assert self._process is not None, "it was started"
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether there is a process that has not ended."""
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self) -> int | None:
        """Of the last incarnation; negative for a signal, None while it runs."""
        return self._process.poll() if self._process else None

    # -- life ------------------------------------------------------------------------------------------

    def write_config(self) -> Path:
        """Writes the configuration file, whole or not at all."""
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "config.json"
        beside = path.with_suffix(".new")
        beside.write_text(json.dumps(self.config, indent=1), encoding="utf-8")
        beside.replace(path)
        return path

    def start(self) -> None:
        """Starts a new incarnation; does nothing while one runs."""
        if self.is_running:
            return
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
                pass_fds=self.pass_fds,
            )
        self.incarnation += 1
        self.is_paused = False
        self._note(BalancerStarted(self.incarnation, self._process.pid))

    def _limit_child(self) -> None:
        _die_with_parent()
        descriptors = int(self.config["limits"]["sockets"])
        resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
        if self._memory_mb is not None:
            memory = self._memory_mb * BYTES_PER_MB
            resource.setrlimit(resource.RLIMIT_AS, (memory, memory))

    def _note(self, data: EventData) -> None:
        if self._history is not None:
            self._history.note(self.party, data)

    async def wait_ended(self, timeout_s: float) -> bool:
        """Waits for the process to end. Returns False where it runs on."""
        return await wait_until(lambda: not self.is_running, timeout_s)

    def end(self) -> None:
        """Kills the process, whatever state it is in."""
        self._end_neighbour()
        if self._process:
            self.send_signal(signal.SIGKILL)
            self._process.wait()

    # -- signals ---------------------------------------------------------------------------------------

    def send_signal(self, number: signal.Signals) -> bool:
        """Sends a signal. Returns False where no process runs."""
        if self._process is None or not self.is_running:
            return False
        with contextlib.suppress(ProcessLookupError):
            self._process.send_signal(number)
        return True

    def _send_noted(self, number: signal.Signals, kind: type[SignalSent]) -> bool:
        if self.is_running:
            self._note(kind(self.incarnation))
        return self.send_signal(number)

    def kill(self) -> bool:
        """Sends SIGKILL. Returns False where no process runs."""
        return self._send_noted(signal.SIGKILL, BalancerKilled)

    def terminate(self) -> bool:
        """Sends SIGTERM. Returns False where no process runs."""
        return self._send_noted(signal.SIGTERM, BalancerTerminated)

    def pause(self) -> bool:
        """Sends SIGSTOP. Returns False where no process runs."""
        self.is_paused = self._send_noted(signal.SIGSTOP, BalancerPaused)
        return self.is_paused

    def resume(self) -> None:
        """Sends SIGCONT to a paused process."""
        if self.is_paused:
            self.is_paused = False
            self._send_noted(signal.SIGCONT, BalancerResumed)

    # -- CPU -------------------------------------------------------------------------------------------

    def limit_cpu(self, nice: int, core: int) -> None:
        """Lowers the priority, and leaves one core, with a busy process beside it."""
        if not self.is_running or self.neighbour:
            return
        os.sched_setaffinity(self.process_id, {core})
        with contextlib.suppress(PermissionError):
            os.setpriority(os.PRIO_PROCESS, self.process_id, nice)

        def prepare_child() -> None:
            _die_with_parent()
            os.sched_setaffinity(0, {core})

        self.neighbour = subprocess.Popen([sys.executable, "-S", "-c", BUSY_LOOP], preexec_fn=prepare_child)
        self._note(CpuLimited(nice, core))

    def restore_cpu(self, cores: set[int]) -> None:
        """Gives the cores and the usual priority back."""
        self._end_neighbour()
        if not self.is_running:
            return
        os.sched_setaffinity(self.process_id, cores)
        with contextlib.suppress(PermissionError):
            os.setpriority(os.PRIO_PROCESS, self.process_id, 0)
        self._note(CpuRestored())

    def _end_neighbour(self) -> None:
        if self.neighbour:
            self.neighbour.kill()
            self.neighbour.wait()
            self.neighbour = None

    # -- figures ---------------------------------------------------------------------------------------

    def usage(self) -> ProcessUsage:
        """Returns the usage of the running process.

        Raises:
            OSError: there is none.
        """
        status_text = Path(f"/proc/{self.process_id}/status").read_text()
        status = dict(line.split(":", 1) for line in status_text.splitlines())
        peak_mb = int(status["VmHWM"].split()[0]) / 1024
        descriptors = len(os.listdir(f"/proc/{self.process_id}/fd"))
        return ProcessUsage(self._read_cpu_s(), peak_mb, descriptors)

    def cpu_s(self) -> float:
        """Returns the CPU seconds of the current incarnation; 0 where there is no process."""
        if self._process is None:
            return 0.0
        try:
            return self._read_cpu_s()
        except OSError:
            return 0.0

    def _read_cpu_s(self) -> float:
        fields = Path(f"/proc/{self.process_id}/stat").read_text().rpartition(") ")[2].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def log_lines(self) -> list[str]:
        """Returns all lines of the log."""
        try:
            return self.log_path.read_text(encoding="utf-8", errors="replace").splitlines()
        except OSError:
            return []

    def new_log_lines(self) -> Iterator[str]:
        """Yields the whole lines that were logged since the last call."""
        try:
            with open(self.log_path, "rb") as log:
                log.seek(self._log_position)
                data = log.read()
        except OSError:
            return
        whole = data[: data.rfind(b"\n") + 1]
        self._log_position += len(whole)
        yield from whole.decode("utf-8", "replace").splitlines()
