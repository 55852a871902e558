"""Ids of requests in progress and of requests that may have run, so that none runs twice under one id.

Both processes of an upgrade accept clients, so the ids are in a table of fixed size that both map from a file. Without
an upgrade the table is private memory. A lock on the file guards each use of the table; it is never waited for, since
the other process may be paused while it holds it.
"""

from __future__ import annotations

import contextlib
import fcntl
import hashlib
import mmap
import os
import struct
import time
from collections.abc import Callable, Iterator

FILE_NAME = "glenrock-requests.table"
FILE_MODE = 0o600
RETENTION_MS = 600_000.0  # how long an id is known after its request has ended; no page gives a time
BUCKETS = 8192
BUCKET_ENTRIES = 8
MAX_LOCK_ATTEMPTS = 200
DIGEST_BYTES = 16
ENTRY = struct.Struct(f"<{DIGEST_BYTES}sd")  # digest of the id, and when it was last used, on the monotonic clock
TABLE_BYTES = BUCKETS * BUCKET_ENTRIES * ENTRY.size
NEVER_MS = 0.0


def monotonic_ms() -> float:
    """Returns the time of the monotonic clock, which is the same in all processes of this machine."""
    return time.monotonic() * 1000


class HistoryLockedError(OSError):
    """The other process of an upgrade holds the lock."""


class RequestHistory:
    """The table of ids. When a bucket is full, the id that was used longest ago is replaced.

    Args:
        folder: the folder that both processes of an upgrade share; empty for a table of this process alone.
        now_ms: returns the time on a clock that both processes share.

    Raises:
        OSError: the file cannot be opened or mapped.
    """

    def __init__(self, folder: str = "", now_ms: Callable[[], float] = monotonic_ms) -> None:
        self._now_ms = now_ms
        self._descriptor = -1
        if folder:
            self._descriptor = os.open(
                os.path.join(folder, FILE_NAME), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE
            )
            os.ftruncate(self._descriptor, TABLE_BYTES)
        self._table = mmap.mmap(self._descriptor, TABLE_BYTES)

    def is_known(self, request_id: str) -> bool:
        """Returns whether a request of that id is in progress or may have run."""
        digest = _digest(request_id)
        return any(found == digest and self._is_valid(used_ms) for _, found, used_ms in self._entries(digest))

    def claim(self, request_id: str) -> bool:
        """Records the id of a request that begins. Returns False if the id is known, or the table is locked."""
        try:
            with self._lock():
                if self.is_known(request_id):
                    return False
                self._write(_digest(request_id), self._now_ms())
        except HistoryLockedError:
            return False
        return True

    def keep(self, request_id: str) -> None:
        """Records that a request which may have run has ended: its id stays known for `RETENTION_MS`."""
        with contextlib.suppress(HistoryLockedError), self._lock():
            self._write(_digest(request_id), self._now_ms())

    def forget(self, request_id: str) -> None:
        """Removes the id of a request that has not run, or that may run again."""
        digest = _digest(request_id)
        with contextlib.suppress(HistoryLockedError), self._lock():
            for offset, found, _ in self._entries(digest):
                if found == digest:
                    ENTRY.pack_into(self._table, offset, b"", NEVER_MS)

    def _is_valid(self, used_ms: float) -> bool:
        """Returns whether an entry counts. One in the future is of a time before this machine was started."""
        return 0.0 <= self._now_ms() - used_ms < RETENTION_MS and used_ms != NEVER_MS

    def _entries(self, digest: bytes) -> Iterator[tuple[int, bytes, float]]:
        """Yields offset, digest and time of the entries of the bucket of a digest."""
        bucket = int.from_bytes(digest[:8], "little") % BUCKETS
        start = bucket * BUCKET_ENTRIES * ENTRY.size
        for offset in range(start, start + BUCKET_ENTRIES * ENTRY.size, ENTRY.size):
            found, used_ms = ENTRY.unpack_from(self._table, offset)
            yield offset, found, used_ms

    def _write(self, digest: bytes, used_ms: float) -> None:
        oldest_offset, oldest_ms = -1, float("inf")
        for offset, found, found_ms in self._entries(digest):
            if found == digest:
                oldest_offset = offset
                break
            valid_ms = found_ms if self._is_valid(found_ms) else NEVER_MS
            if valid_ms < oldest_ms:
                oldest_offset, oldest_ms = offset, valid_ms
        ENTRY.pack_into(self._table, oldest_offset, digest, used_ms)

    @contextlib.contextmanager
    def _lock(self) -> Iterator[None]:
        """Locks the table against the other process.

        Raises:
            HistoryLockedError: the other process holds the lock.
        """
        if self._descriptor < 0:
            yield
            return
        for _ in range(MAX_LOCK_ATTEMPTS):
            with contextlib.suppress(BlockingIOError):
                fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
                break
        else:
            raise HistoryLockedError("the other process holds the lock")
        try:
            yield
        finally:
            fcntl.flock(self._descriptor, fcntl.LOCK_UN)


def _digest(request_id: str) -> bytes:
    return hashlib.blake2b(request_id.encode(), digest_size=DIGEST_BYTES).digest()
