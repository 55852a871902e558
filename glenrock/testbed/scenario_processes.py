"""Processes of the real program: started, paused, killed and ended by their ids. None outlives the stage."""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import resource
import signal
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from .history import History

MB = 1 << 20
DIES_WITH_PARENT = 1  # PR_SET_PDEATHSIG
LOOK_S = 0.02
BURN = "while True: pass"  # a busy neighbour
LIBC = ctypes.CDLL(None, use_errno=True)


def die_with_parent() -> None:
    """In a child, before its program: it ends when the stage does, even if that is killed."""
    LIBC.prctl(DIES_WITH_PARENT, signal.SIGKILL, 0, 0, 0)


class Balancer:
    """One balancer over all its lives. Its file, folder and log are its own."""

    def __init__(self, number: int, folder: Path, config: dict[str, Any], history: History, memory_mb: int) -> None:
        self.number, self.folder, self.config, self.history = number, folder, config, history
        self.name, self.memory = f"balancer:{number}", memory_mb * MB
        self.process: subprocess.Popen[bytes] | None = None
        self.lives = 0
        self.paused = False
        self.read = 0  # of the log
        self.neighbour: subprocess.Popen[bytes] | None = None

    @property
    def up(self) -> bool:
        return self.process is not None and self.process.poll() is None

    def begin(self) -> None:
        if self.up:
            return
        self.folder.mkdir(parents=True, exist_ok=True)
        place = self.folder / "config.json"
        place.write_text(json.dumps(self.config, indent=1), encoding="utf-8")
        (self.folder / "tmp").mkdir(exist_ok=True)
        env = {**os.environ, "LB_CONFIG": str(place), "TMPDIR": str(self.folder / "tmp")}
        for name in ("LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_ADMIN", "LB_ACCEPT_FD"):
            env.pop(name, None)
        with open(self.folder / "log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-B", "-m", "glenrock"],
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=self.bound,
            )
        self.lives += 1
        self.paused = False
        self.history.note(self.name, "started", life=self.lives, pid=self.process.pid)

    def bound(self) -> None:
        """In the child, before the program: it dies with the stage, and has its limits."""
        die_with_parent()
        sockets = int(self.config["limits"]["sockets"])
        resource.setrlimit(resource.RLIMIT_NOFILE, (sockets, sockets))
        resource.setrlimit(resource.RLIMIT_AS, (self.memory, self.memory))

    def signal(self, number: signal.Signals, what: str) -> bool:
        """False where there is no process to hear it."""
        if not self.up:
            return False
        assert self.process is not None
        self.history.note(self.name, what, life=self.lives)
        self.process.send_signal(number)
        return True

    def kill(self) -> bool:
        return self.signal(signal.SIGKILL, "killed")

    def pause(self) -> bool:
        self.paused = self.signal(signal.SIGSTOP, "paused")
        return self.paused

    def resume(self) -> None:
        if self.paused:
            self.paused = False
            self.signal(signal.SIGCONT, "resumed")

    def squeeze(self, nice: int, core: int) -> None:
        """A lower priority, one core, and somebody who wants all of it."""
        if not self.up or self.neighbour:
            return
        assert self.process is not None
        os.sched_setaffinity(self.process.pid, {core})
        with contextlib.suppress(PermissionError):
            os.setpriority(os.PRIO_PROCESS, self.process.pid, nice)
        self.neighbour = subprocess.Popen(
            [sys.executable, "-S", "-c", BURN], preexec_fn=lambda: (die_with_parent(), os.sched_setaffinity(0, {core}))
        )
        self.history.note(self.name, "squeezed", nice=nice, core=core)

    def loosen(self, cores: set[int]) -> None:
        self.loosen_neighbour()
        if self.up:
            assert self.process is not None
            os.sched_setaffinity(self.process.pid, cores)
            with contextlib.suppress(PermissionError):
                os.setpriority(os.PRIO_PROCESS, self.process.pid, 0)
            self.history.note(self.name, "loosened")

    async def ended(self, within_s: float) -> bool:
        """Whether the process ends by itself in that time."""
        until = asyncio.get_running_loop().time() + within_s
        while self.up and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(LOOK_S)
        return not self.up

    def end(self) -> None:
        """Whatever state it is in. A stopped process hears SIGKILL too."""
        self.loosen_neighbour()
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def loosen_neighbour(self) -> None:
        if self.neighbour:
            self.neighbour.kill()
            self.neighbour.wait()
            self.neighbour = None

    def cpu_s(self) -> float:
        """CPU seconds of this life; 0 where there is no process."""
        try:
            fields = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(") ")[2].split()  # type: ignore
            return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")
        except (OSError, AttributeError, IndexError):
            return 0.0

    def log_lines(self) -> Iterator[str]:
        """Lines of its log since the last call."""
        try:
            with open(self.folder / "log", "rb") as log:
                log.seek(self.read)
                data = log.read()
        except OSError:
            return
        whole = data[: data.rfind(b"\n") + 1]
        self.read += len(whole)
        yield from whole.decode("utf-8", "replace").splitlines()
