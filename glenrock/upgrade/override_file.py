"""The file of operators' overrides, which both processes of an upgrade read and replace.

The file is in `$TMPDIR`. A file that is unreadable or of another version counts as missing: the caller logs the
reason, keeps its own overrides, and writes them to a new file at the next change.
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
MAX_SERVERS = 4096  # in each field of `SharedOverrides`
MAX_SERVER_ID_LENGTH = 256  # characters
MAX_FILE_BYTES = 4 << 20
MAX_TIME_MS = 1e15  # Unix time; this or a later time is invalid


class OverrideFileError(ValueError):
    """The file cannot be read, or its content is invalid."""


@dataclass
class SharedOverrides:
    """The overrides that both processes agree on, by server id.

    Attributes:
        suspended: servers that operators took out of rotation.
        resumed_at_ms: when operators took a server back into rotation, in Unix ms.
        known_servers: servers that were ever in the endpoint list, oldest first.
    """

    suspended: set[str] = field(default_factory=set)
    resumed_at_ms: dict[str, float] = field(default_factory=dict)
    known_servers: dict[str, None] = field(default_factory=dict)

    def copy(self) -> SharedOverrides:
        """Returns an independent copy."""
        return SharedOverrides(set(self.suspended), dict(self.resumed_at_ms), dict(self.known_servers))


class FileSignature(NamedTuple):
    """Identifies the content of the file. It changes when the file is replaced."""

    modified_ns: int
    inode: int
    size: int


class FileChange(NamedTuple):
    """The result of one change of the file, made under its lock.

    Attributes:
        before: the file's content before the change; None if there was no valid file.
        after: the file's content now.
        signature: the signature of the new file; None if the file was removed in the meantime.
    """

    before: SharedOverrides | None
    after: SharedOverrides
    signature: FileSignature | None


def parse(data: bytes) -> SharedOverrides:
    """Parses the file's bytes.

    Raises:
        OverrideFileError: the content is of another version, damaged, or not of the form that `encode` writes.
    """
    try:
        content: Any = json.loads(data)
    except ValueError as error:
        raise OverrideFileError(str(error)) from error
    if not isinstance(content, dict) or content.get("version") != VERSION:
        raise OverrideFileError(f"not a JSON object of version {VERSION}")
    try:
        durable_file.check_digest(content)
    except durable_file.CorruptFileError as error:
        raise OverrideFileError(str(error)) from error
    suspended = content.get("out")
    resumed = content.get("back")
    known = content.get("seen")
    if not (
        _are_server_ids(suspended)
        and _are_server_ids(known)
        and isinstance(resumed, dict)
        and _are_server_ids(list(resumed))
    ):
        raise OverrideFileError(
            f"out, back and seen: expected at most {MAX_SERVERS} server ids of 1 to {MAX_SERVER_ID_LENGTH} characters"
        )
    if not all(isinstance(at_ms, int | float) and 0 <= at_ms < MAX_TIME_MS for at_ms in resumed.values()):
        raise OverrideFileError(f"back: expected Unix times in ms, at least 0 and below {MAX_TIME_MS:.0f}")
    return SharedOverrides(
        suspended=set(suspended),
        resumed_at_ms={server_id: float(at_ms) for server_id, at_ms in resumed.items()},
        known_servers=dict.fromkeys(known),
    )


def _are_server_ids(value: Any) -> TypeGuard[list[str]]:
    return (
        isinstance(value, list)
        and len(value) <= MAX_SERVERS
        and all(isinstance(server_id, str) and 0 < len(server_id) <= MAX_SERVER_ID_LENGTH for server_id in value)
    )


def encode(shared: SharedOverrides) -> bytes:
    """Returns the content as JSON, with the latest `MAX_SERVERS` of the known servers. `write` adds the digest."""
    content = {
        "version": VERSION,
        "out": sorted(shared.suspended),
        "back": shared.resumed_at_ms,
        "seen": list(shared.known_servers)[-MAX_SERVERS:],
    }
    return json.dumps(content).encode()


def read_signature(folder: str) -> FileSignature | None:
    """Returns the file's signature; None if there is no file."""
    try:
        status = os.stat(os.path.join(folder, FILE_NAME))
    except OSError:
        return None
    return FileSignature(status.st_mtime_ns, status.st_ino, status.st_size)


def read(folder: str) -> SharedOverrides | None:
    """Returns the file's content; None if there is no file.

    Raises:
        OverrideFileError: the file cannot be read, or its content is invalid.
    """
    try:
        with open(os.path.join(folder, FILE_NAME), "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except FileNotFoundError:
        return None
    except OSError as error:
        raise OverrideFileError(str(error)) from error
    if len(data) > MAX_FILE_BYTES:
        raise OverrideFileError(f"larger than {MAX_FILE_BYTES} bytes")
    return parse(data)


def read_previous(folder: str) -> SharedOverrides | None:
    """Returns the content of the file that was replaced last; None if there is no valid one."""
    try:
        return parse(durable_file.previous_path(Path(folder, FILE_NAME)).read_bytes()[: MAX_FILE_BYTES + 1])
    except (OSError, OverrideFileError):
        return None


def write(folder: str, shared: SharedOverrides) -> None:
    """Replaces the file atomically, without waiting for the disk.

    The other process reads the file without its lock. Written in place, the file could be read half written.
    The file must survive the end of a process, but not a power failure. A sync may take longer than the second within
    which an operator's call is answered.

    Raises:
        OSError: the file cannot be written.
    """
    content = json.loads(encode(shared))
    durable_file.replace(Path(folder, FILE_NAME), durable_file.encode_with_digest(content), sync=False)


def change_file(
    folder: str,
    change: Callable[[SharedOverrides], None],
    fallback: SharedOverrides,
    listed_servers: list[str],
    oldest_ms: float,
) -> FileChange:
    """Changes the file under its lock. Blocks on the disk, so callers use a thread.

    Args:
        folder: the folder of the file.
        change: applied to the file's content.
        fallback: used in place of the content if there is no valid file.
        listed_servers: the endpoint list of this process, added to the known servers.
        oldest_ms: servers resumed before this Unix time are removed from `resumed_at_ms`.

    Raises:
        OSError: the file cannot be locked or written, and is unchanged.
    """
    with _file_lock(folder):
        try:
            before = read(folder)
        except OverrideFileError:
            before = None
        after = (before or fallback).copy()
        change(after)
        after.known_servers.update(dict.fromkeys(listed_servers))
        after.resumed_at_ms = {
            server_id: at_ms for server_id, at_ms in after.resumed_at_ms.items() if at_ms > oldest_ms
        }
        write(folder, after)
        return FileChange(before, after, read_signature(folder))


@contextlib.contextmanager
def _file_lock(folder: str) -> Iterator[None]:
    """Holds the lock of the file, which a process holds for one change only. The kernel releases it if it dies.

    Raises:
        OSError: the other process holds the lock.
    """
    with open(os.path.join(folder, LOCK_NAME), "wb") as file:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        yield
