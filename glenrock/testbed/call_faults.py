"""Builds the library that fails system calls, and controls it in running processes."""

from __future__ import annotations

import errno
import hashlib
import mmap
import shutil
import struct
import subprocess
import tempfile
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path

SOURCE = Path(__file__).with_name("call_faults.c")
MAX_ERRORS = 8
HEAD = struct.Struct("<QqII")
RULE = struct.Struct(f"<II{MAX_ERRORS}i")
PER_MILLION = 1_000_000


class Call(IntEnum):
    """Kinds of system calls, in the order of the library's control file."""

    ACCEPT = 0
    SOCKET = 1
    CONNECT = 2
    RECEIVE = 3
    SEND = 4
    DATAGRAM = 5
    WAIT = 6
    SHORT_READ = 7
    SHORT_WRITE = 8
    SYNC = 9
    RENAME = 10
    FILE_WRITE = 11
    STALL = 12


DOCUMENTED: dict[Call, tuple[int, ...]] = {
    Call.ACCEPT: (errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EINTR),
    Call.SOCKET: (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM),
    Call.CONNECT: (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EINTR),
    Call.RECEIVE: (errno.EINTR,),
    Call.SEND: (errno.EINTR,),
    Call.DATAGRAM: (errno.ENOBUFS, errno.EPERM, errno.ECONNREFUSED),
    Call.WAIT: (errno.EINTR,),
    Call.SHORT_READ: (),
    Call.SHORT_WRITE: (),
    Call.SYNC: (errno.EIO, errno.ENOSPC),
    Call.RENAME: (errno.ENOSPC, errno.EIO),
    Call.FILE_WRITE: (errno.ENOSPC, errno.EIO),
    Call.STALL: (0,),
}
"""Errors that the manual pages name for each call, and that end no connection by themselves; none for a stall."""

ENDS_CONNECTION = (errno.ECONNRESET, errno.EPIPE, errno.ETIMEDOUT, errno.EHOSTUNREACH)


class NoCompilerError(RuntimeError):
    """There is no C compiler on this machine."""


def build() -> Path:
    """Returns the library, built once for each version of its source.

    Raises:
        NoCompilerError: there is no C compiler.
        subprocess.CalledProcessError: the compiler rejects the source.
    """
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise NoCompilerError("no C compiler: calls cannot be failed")
    digest = hashlib.sha256(SOURCE.read_bytes()).hexdigest()[:16]
    library = Path(tempfile.gettempdir()) / f"glenrock-call-faults-{digest}.so"
    if not library.exists():
        with tempfile.TemporaryDirectory() as folder:
            built = Path(folder) / "built.so"
            command = [compiler, "-O2", "-shared", "-fPIC", "-o", str(built), str(SOURCE), "-ldl"]
            subprocess.run(command, check=True, capture_output=True)
            beside = library.with_suffix(f".{Path(folder).name}")
            shutil.copy(built, beside)
            beside.replace(library)
    return library


@dataclass(frozen=True)
class InjectedFault:
    """A call that failed. `at_s` is monotonic; ports are 0 where the call has none."""

    at_s: float
    call: Call
    error: int
    local_port: int
    peer_port: int


class CallFaults:
    """The control file of one process, which may change while the process runs."""

    def __init__(self, folder: Path, seed: int) -> None:
        self._path = folder / "call-faults"
        self._log = folder / "call-faults.log"
        self._path.write_bytes(HEAD.pack(seed, 0, 0, 0) + RULE.pack(0, 0, *[0] * MAX_ERRORS) * len(Call))
        self._file = open(self._path, "r+b")  # noqa: SIM115 - kept open as long as it is mapped
        self._map = mmap.mmap(self._file.fileno(), 0)

    def environment(self) -> dict[str, str]:
        """Returns the environment variables of a process under these faults."""
        return {
            "LD_PRELOAD": str(build()),
            "GLENROCK_CALL_FAULTS": str(self._path),
            "GLENROCK_CALL_FAULTS_LOG": str(self._log),
        }

    def fail(self, call: Call, rate: float, errors: tuple[int, ...] | None = None) -> None:
        """Lets a fraction of the calls of a kind fail from now on, with one of the errors."""
        chosen = DOCUMENTED[call] if errors is None else errors
        padded = [*chosen, *[0] * (MAX_ERRORS - len(chosen))]
        place = HEAD.size + RULE.size * call
        self._map[place : place + RULE.size] = RULE.pack(round(rate * PER_MILLION), len(chosen), *padded)

    def stall(self, rate: float, ms: int) -> None:
        """Lets a fraction of the calls take `ms` milliseconds from now on."""
        seed, step, _, unused = HEAD.unpack_from(self._map)
        HEAD.pack_into(self._map, 0, seed, step, ms, unused)
        self.fail(Call.STALL, rate)

    def step_clock(self, seconds: int) -> None:
        """Sets the wall clock of the process this far from the machine's from now on."""
        seed, _, stall_ms, unused = HEAD.unpack_from(self._map)
        HEAD.pack_into(self._map, 0, seed, seconds * 1000, stall_ms, unused)

    def clear(self) -> None:
        """Lets no more calls fail. The clock stays where it is."""
        for call in Call:
            self.fail(call, 0.0, ())

    def injected(self) -> list[InjectedFault]:
        """Returns the calls that failed so far."""
        if not self._log.exists():
            return []
        names = {call.name.lower(): call for call in Call}
        found = []
        for line in self._log.read_text().splitlines():
            at_s, name, error, local_port, peer_port = line.split()
            found.append(InjectedFault(float(at_s), names[name], int(error), int(local_port), int(peer_port)))
        return found

    def close(self) -> None:
        """Closes the file."""
        self._map.close()
        self._file.close()
