"""The small file that both processes of an upgrade read and write: its form, and how it is replaced.

It stands in `$TMPDIR` and holds what operators took out of rotation. A version that is not ours, or anything else that
cannot be read, counts as no file: the reason is logged, and what this process holds itself goes on.
"""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple, TypeGuard

from .. import durable_file

FILE_NAME = "glenrock-operators.json"
LOCK_NAME = "glenrock-operators.lock"
VERSION = 1
MAX_NAMES = 4096  # of each kind
MAX_NAME_LENGTH = 256  # characters
MAX_FILE_BYTES = 4 << 20
MAX_TIME_MS = 1e15  # Unix time; anything later is no time


class OverrideFileError(ValueError):
    """The file cannot be used; the message says what is wrong with it."""


@dataclass
class SharedOverrides:
    """What both processes agree on, by server name.

    Attributes:
        suspended: servers that operators took out of rotation.
        resumed_at_ms: servers that operators took back into rotation, and when, in Unix ms.
        known_servers: servers that were ever listed, oldest first.
    """

    suspended: set[str] = field(default_factory=set)
    resumed_at_ms: dict[str, float] = field(default_factory=dict)
    known_servers: dict[str, None] = field(default_factory=dict)

    def copy(self) -> SharedOverrides:
        """A copy that may be changed alone."""
        return SharedOverrides(set(self.suspended), dict(self.resumed_at_ms), dict(self.known_servers))


class FileSignature(NamedTuple):
    """Differs once the file has been replaced."""

    modified_ns: int
    inode: int
    size: int


class Exchange(NamedTuple):
    """What a change under the lock found and left.

    Attributes:
        found: what the other process has written; None where nothing can be used.
        written: what stands there now.
        signature: of the file as it stands now.
    """

    found: SharedOverrides | None
    written: SharedOverrides
    signature: FileSignature | None


def parse(data: bytes) -> SharedOverrides:
    """The file's content.

    Raises:
        OverrideFileError: it is of another version, or not of the form that `encode` writes.
    """
    try:
        raw: Any = json.loads(data)
    except ValueError as error:
        raise OverrideFileError(str(error)) from error
    if not isinstance(raw, dict) or raw.get("version") != VERSION:
        raise OverrideFileError(f"not of version {VERSION}")
    try:
        durable_file.check_seal(raw)
    except durable_file.SpoiltFileError as error:
        raise OverrideFileError(str(error)) from error
    out = raw.get("out")
    back = raw.get("back")
    seen = raw.get("seen")
    if not (_are_names(out) and _are_names(seen) and isinstance(back, dict) and _are_names(list(back))):
        raise OverrideFileError("out, back or seen is not what it should be")
    if not all(isinstance(at_ms, int | float) and 0 <= at_ms < MAX_TIME_MS for at_ms in back.values()):
        raise OverrideFileError("back: a time out of range")
    return SharedOverrides(set(out), {name: float(at_ms) for name, at_ms in back.items()}, dict.fromkeys(seen))


def _are_names(value: Any) -> TypeGuard[list[str]]:
    return (
        isinstance(value, list)
        and len(value) <= MAX_NAMES
        and all(isinstance(name, str) and 0 < len(name) <= MAX_NAME_LENGTH for name in value)
    )


def encode(shared: SharedOverrides) -> bytes:
    """The file's bytes. Of the servers ever listed only the latest `MAX_NAMES` are kept."""
    content = {
        "version": VERSION,
        "out": sorted(shared.suspended),
        "back": shared.resumed_at_ms,
        "seen": list(shared.known_servers)[-MAX_NAMES:],
    }
    return json.dumps(content).encode()


def signature(folder: str) -> FileSignature | None:
    """The file's signature; None where there is no file."""
    try:
        found = os.stat(os.path.join(folder, FILE_NAME))
    except OSError:
        return None
    return FileSignature(found.st_mtime_ns, found.st_ino, found.st_size)


def read(folder: str) -> SharedOverrides | None:
    """The file's content; None where there is no file yet.

    Raises:
        OverrideFileError: it cannot be read, or cannot be used.
    """
    try:
        with open(os.path.join(folder, FILE_NAME), "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise OverrideFileError(str(error)) from error
    if len(data) > MAX_FILE_BYTES:
        raise OverrideFileError("too large")
    return parse(data)


def read_previous(folder: str) -> SharedOverrides | None:
    """The content of the file before the last one; None where there is none that can be used."""
    try:
        return parse(durable_file.previous_of(Path(folder, FILE_NAME)).read_bytes()[: MAX_FILE_BYTES + 1])
    except (OSError, OverrideFileError):
        return None


def write(folder: str, shared: SharedOverrides) -> None:
    """Replaces the file as a whole.

    Written in place, the other process would read half of it. The disk is not waited for: a folder of one machine's
    life is all that two processes of an upgrade share, and operators' calls are due within a second.

    Raises:
        OSError: it cannot be written.
    """
    content = json.loads(encode(shared))
    durable_file.replace(Path(folder, FILE_NAME), durable_file.sealed(content), sync=False)


def exchange(
    folder: str, change: Callable[[SharedOverrides], None], held: SharedOverrides, listed: list[str], oldest_ms: float
) -> Exchange:
    """Changes the file under its lock. Called from a thread: a disk may take seconds.

    Args:
        folder: where the file stands.
        change: applied to what the file holds.
        held: what this process holds, where the file cannot be used.
        listed: the servers that are listed here now.
        oldest_ms: servers taken back before this Unix time are forgotten.

    Raises:
        OSError: it cannot be locked or written; nothing has changed then.
    """
    with _locked(folder):
        try:
            found = read(folder)
        except OverrideFileError:
            found = None
        new = (found or held).copy()
        change(new)
        new.known_servers.update(dict.fromkeys(listed))
        new.resumed_at_ms = {name: at_ms for name, at_ms in new.resumed_at_ms.items() if at_ms > oldest_ms}
        write(folder, new)
        return Exchange(found, new, signature(folder))


@contextlib.contextmanager
def _locked(folder: str) -> Iterator[None]:
    """Lets one process at a time change the file.

    The other process never keeps the lock long, and a process that dies lets go of it.

    Raises:
        OSError: the other process has it now.
    """
    with open(os.path.join(folder, LOCK_NAME), "wb") as file:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        yield
