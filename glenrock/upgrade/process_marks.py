"""Descriptors that another process of an upgrade holds: the limit is one for both.

Each process that shares a listening socket leaves a mark in the folder that both share: an empty file whose name tells
its pid and when it started, so that a pid used again is not taken for it. How many descriptors the other holds is read
from `/proc` while it lives; a mark whose process is gone is deleted.
"""

from __future__ import annotations

import contextlib
import os
import re

MARK_NAME = re.compile(r"glenrock-process-(\d+)-(\d+)")
START_TIME_FIELD = 19  # of /proc/<pid>/stat, counted from the state, the first field after the name (proc(5))


def start_time(pid: int) -> str | None:
    """The start of a process in clock ticks since boot; None if no process has this pid."""
    try:
        with open(f"/proc/{pid}/stat", "rb") as file:
            # The second field is a name in brackets, which may hold anything.
            after_name = file.read().rpartition(b")")[2]
        return after_name.split()[START_TIME_FIELD].decode()
    except (OSError, IndexError):
        return None


class ProcessMarks:
    """This process's mark, by its file name, and what the marks of others tell."""

    def __init__(self, folder: str, pid: int) -> None:
        self._folder = folder
        self.mark = f"glenrock-process-{pid}-{start_time(pid) or ''}"

    def arrive(self) -> None:
        """Leaves the mark.

        Raises:
            OSError: it cannot be left, and the other process does not know of this one.
        """
        with open(os.path.join(self._folder, self.mark), "wb"):
            pass

    def leave(self) -> None:
        """Deletes the mark."""
        with contextlib.suppress(OSError):
            os.unlink(os.path.join(self._folder, self.mark))

    def count_descriptors(self) -> int:
        """How many descriptors all other processes hold now."""
        held = 0
        with contextlib.suppress(OSError):
            for name in os.listdir(self._folder):
                if name != self.mark and (found := MARK_NAME.fullmatch(name)):
                    held += self._count_of(name, pid=int(found[1]), started=found[2])
        return held

    def _count_of(self, mark: str, pid: int, started: str) -> int:
        with contextlib.suppress(OSError):
            if start_time(pid) == started:
                return len(os.listdir(f"/proc/{pid}/fd"))
            os.unlink(os.path.join(self._folder, mark))
        return 0
