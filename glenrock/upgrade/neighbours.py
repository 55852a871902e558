"""Descriptors that another process of an upgrade holds: the limit is one for both.

Each process that shares a listening socket leaves a mark in the folder that both share: an empty file whose name tells
its pid and when it started, so that a pid used again is not taken for it. How many descriptors the other holds is read
from /proc while it lives; a mark whose process is gone is taken away.
"""

from __future__ import annotations

import contextlib
import os
import re

MARK = re.compile(r"glenrock-process-(\d+)-(\d+)")


def started(pid: int) -> str:
    """When a process started, in ticks since the machine did; empty where there is none of that pid."""
    try:
        with open(f"/proc/{pid}/stat", "rb") as file:
            # The second field is a name in brackets, which may hold anything.
            return file.read().rpartition(b")")[2].split()[19].decode()
    except (OSError, IndexError):
        return ""


class Neighbours:
    def __init__(self, folder: str, pid: int) -> None:
        self.folder, self.pid = folder, pid
        self.mark = f"glenrock-process-{pid}-{started(pid)}"

    def arrive(self) -> None:
        """OSError where the mark cannot be left: then the other process does not know of this one."""
        with open(os.path.join(self.folder, self.mark), "wb"):
            pass

    def leave(self) -> None:
        with contextlib.suppress(OSError):
            os.unlink(os.path.join(self.folder, self.mark))

    def descriptors(self) -> int:
        """How many all other processes hold now."""
        held = 0
        with contextlib.suppress(OSError):
            for name in os.listdir(self.folder):
                found = MARK.fullmatch(name)
                if not found or name == self.mark:
                    continue
                with contextlib.suppress(OSError):
                    if started(int(found[1])) == found[2]:
                        held += len(os.listdir(f"/proc/{found[1]}/fd"))
                    else:
                        os.unlink(os.path.join(self.folder, name))
        return held
