"""What a balancer must know after its own restart: terms it has seen, words it has taken, its operator's wishes.

One file for each balancer, replaced as a whole before what it says is carried out. Two processes of one name, in an
upgrade, share it: under a lock each takes over what the other has written, and marks only grow.
"""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from .jobs.board import Board, Word, wish_of
from .ownership.fence import Fence
from .ownership.sqlite_store import BOOT

VERSION = 1
LARGEST = 8 << 20  # bytes


class Kept:
    def __init__(self, folder: Path, name: str) -> None:
        self.boot = BOOT.read_text().strip()
        self.path = folder / f"glenrock-{name}.fleet.json"
        self.signature: tuple[int, int, int] | None = None
        self.tickets: dict[str, tuple[str, int]] = {}  # job: holder and term of a ticket that may still be out

    def take(self, raw: dict[str, Any], fence: Fence, board: Board) -> dict[str, bool]:
        """What another process of this name knew; the servers that change by it."""
        for job, mark in raw["seen"].items():
            fence.seen[job] = max(fence.seen.get(job, (0, 0)), tuple(mark))
        changes = {}
        for server, (out, term, number) in raw["words"].items():
            if (now := board.take(server, Word(out, (term, number)))) is not None:
                changes[server] = now
        for life, count in raw["lives"].items():
            changes.update(board.numbered(life, count))
        return changes

    def read(self, fence: Fence, board: Board) -> bool:
        """Takes over what stands there; True where that is all that was seen. ValueError says what is wrong with it.

        Written without waiting for the disk: a process that dies loses nothing, a machine that does may lose the last.
        After a boot the file's marks count, and the store must say the rest."""
        try:
            with open(self.path, "rb") as file:
                self.signature = self.stamp(file.fileno())
                data = file.read(LARGEST + 1)
        except FileNotFoundError:
            return False
        except OSError as bad:
            raise ValueError(str(bad)) from None
        raw: Any = json.loads(data) if len(data) <= LARGEST else None
        if not isinstance(raw, dict) or raw.get("version") != VERSION:
            raise ValueError(f"not of version {VERSION}")
        try:
            seen = {str(job): (int(term), int(number)) for job, (term, number) in raw["seen"].items()}
            words = {str(s): Word(bool(out), (int(term), int(number)))
                     for s, (out, term, number) in raw["words"].items()}
            wishes = {str(i): wish_of(json.dumps(w)) for i, w in raw["wishes"].items()}
            lives = {str(life): int(count) for life, count in raw["lives"].items()}
            tickets = {str(job): (str(holder), int(term)) for job, (holder, term) in raw["tickets"].items()}
        except (KeyError, TypeError, ValueError, AttributeError) as bad:
            raise ValueError(f"not what it should be: {bad!r}") from None
        whole = raw.get("boot") == self.boot
        known = fence.known
        fence.learned(seen)
        fence.known = known or whole
        for server, word in words.items():
            board.take(server, word)
        for life, count in lives.items():
            board.numbered(life, count)
        for id_, wish in wishes.items():
            if wish and id_ not in board.wishes:
                board.wish(id_, wish.server, wish.out)
        self.tickets.update(tickets)
        return whole

    def stamp(self, fd: int) -> tuple[int, int, int]:
        s = os.fstat(fd)
        return s.st_mtime_ns, s.st_ino, s.st_size

    @contextlib.contextmanager
    def locked(self) -> Iterator[None]:
        with open(self.path.with_suffix(".lock"), "wb") as file:
            fcntl.flock(file, fcntl.LOCK_EX)
            yield

    def snapshot(self, fence: Fence, board: Board) -> dict[str, Any]:
        """What is to be written, as it is now."""
        return {"version": VERSION, "boot": self.boot, "seen": dict(fence.seen), "tickets": dict(self.tickets),
                "lives": dict(board.lives), "words": {s: [w.out, *w.revision] for s, w in board.words.items()},
                "wishes": {i: {"server": w.server, "out": w.out} for i, w in board.wishes.items()}}

    def write(self, raw: dict[str, Any]) -> bool:
        """From a thread: a disk may take seconds. OSError where it cannot be written: then what it would say must not
        be carried out. True where the other process of this name has written meanwhile, and was taken over."""
        with self.locked():
            merged = False
            with contextlib.suppress(OSError, ValueError):
                found = os.stat(self.path)
                if (found.st_mtime_ns, found.st_ino, found.st_size) != self.signature:
                    merged = self.merge(raw)
            beside = self.path.with_suffix(f".{os.getpid()}")
            with open(beside, "wb") as file:
                file.write(json.dumps(raw).encode())
                file.flush()
                self.signature = self.stamp(file.fileno())
            os.replace(beside, self.path)
            return merged

    def merge(self, raw: dict[str, Any]) -> bool:
        """What the other process has written stands where it is higher; its wishes and tickets are its own."""
        theirs = json.loads(self.path.read_bytes()[:LARGEST])
        if theirs.get("version") != VERSION:
            return False
        for job, mark in theirs["seen"].items():
            raw["seen"][job] = max(tuple(raw["seen"].get(job, (0, 0))), tuple(mark))
        for server, word in theirs["words"].items():
            if tuple(word[1:]) > tuple(raw["words"].get(server, (False, 0, 0))[1:]):
                raw["words"][server] = word
        for life, count in theirs["lives"].items():
            raw["lives"][life] = max(raw["lives"].get(life, 0), count)
        return True
