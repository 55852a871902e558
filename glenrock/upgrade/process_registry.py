"""Registry of the processes of an upgrade, which share one descriptor limit.

Each process creates an empty file in the shared folder. The file's name has the process id and the start time, so that
a reused process id is not mistaken for the registered process. The descriptors of a live process are counted in
`/proc`; the file of a process that has ended is deleted.
"""

from __future__ import annotations

import contextlib
import os
import re

FILE_NAME_PATTERN = re.compile(r"glenrock-process-(?P<pid>\d+)-(?P<start_time>\d+)")
START_TIME_INDEX = 19  # of /proc/<pid>/stat, counted from the field after the process name (proc(5))


def read_start_time(pid: int) -> str | None:
    """Returns when a process started, in clock ticks since boot; None if no process has this id."""
    try:
        with open(f"/proc/{pid}/stat", "rb") as file:
            # The process name is in parentheses and may contain spaces and parentheses.
            after_name = file.read().rpartition(b")")[2]
        return after_name.split()[START_TIME_INDEX].decode()
    except (OSError, IndexError):
        return None


class ProcessRegistry:
    """Registers one process, and counts the descriptors of the others.

    Attributes:
        file_name: the name of this process's file.
    """

    def __init__(self, folder: str, pid: int) -> None:
        self._folder = folder
        self.file_name = f"glenrock-process-{pid}-{read_start_time(pid) or ''}"

    def register(self) -> None:
        """Creates this process's file.

        Raises:
            OSError: the file cannot be created, so other processes do not count this one's descriptors.
        """
        with open(os.path.join(self._folder, self.file_name), "wb"):
            pass

    def unregister(self) -> None:
        """Deletes this process's file."""
        with contextlib.suppress(OSError):
            os.unlink(os.path.join(self._folder, self.file_name))

    def count_other_descriptors(self) -> int:
        """Returns how many descriptors all other registered processes have open now."""
        count = 0
        with contextlib.suppress(OSError):
            for name in os.listdir(self._folder):
                if name != self.file_name and (match := FILE_NAME_PATTERN.fullmatch(name)):
                    count += self._count_descriptors(name, int(match["pid"]), match["start_time"])
        return count

    def _count_descriptors(self, file_name: str, pid: int, registered_start_time: str) -> int:
        """Returns the descriptors of a process; 0 if it has ended, and then deletes its file."""
        with contextlib.suppress(OSError):
            if read_start_time(pid) == registered_start_time:
                return len(os.listdir(f"/proc/{pid}/fd"))
            os.unlink(os.path.join(self._folder, file_name))
        return 0
