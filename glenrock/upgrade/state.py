"""The small file that both processes of an upgrade read and write: its form, and how it is replaced.

It stands in $TMPDIR. A version that is not ours, or anything else that cannot be read, counts as no file: the reason is
told, and what this process holds itself goes on.
"""

from __future__ import annotations

import contextlib
import fcntl
import json
import os
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any

NAME, LOCK = "glenrock-operators.json", "glenrock-operators.lock"
VERSION = 1
MOST = 4096  # names of each kind
LONGEST = 256  # characters of a name
LARGEST = 4 << 20  # bytes

Signature = tuple[int, int, int]


@dataclass
class Shared:
    """`out`: taken out by hand. `back`: called back, and when, in Unix ms. `seen`: once listed, oldest first."""

    out: set[str] = field(default_factory=set)
    back: dict[str, float] = field(default_factory=dict)
    seen: dict[str, None] = field(default_factory=dict)


def parse(data: bytes) -> Shared:
    """ValueError says what is wrong."""
    raw: Any = json.loads(data)
    if not isinstance(raw, dict) or raw.get("version") != VERSION:
        raise ValueError(f"not of version {VERSION}")
    out, back, seen = raw.get("out"), raw.get("back"), raw.get("seen")
    if not (names(out) and names(seen) and isinstance(back, dict) and names(list(back))):
        raise ValueError("out, back or seen is not what it should be")
    if not all(isinstance(at, int | float) and 0 <= at < 1e15 for at in back.values()):
        raise ValueError("back: a time out of range")
    return Shared(set(out), {name: float(at) for name, at in back.items()}, dict.fromkeys(seen))


def names(value: Any) -> bool:
    return isinstance(value, list) and len(value) <= MOST and all(
        isinstance(name, str) and 0 < len(name) <= LONGEST for name in value)


def encode(shared: Shared) -> bytes:
    return json.dumps({"version": VERSION, "out": sorted(shared.out), "back": shared.back,
                       "seen": list(shared.seen)[-MOST:]}).encode()


def signature(folder: str) -> Signature | None:
    """Differs once the file has been replaced; None where there is none."""
    try:
        found = os.stat(os.path.join(folder, NAME))
    except OSError:
        return None
    return found.st_mtime_ns, found.st_ino, found.st_size


def read(folder: str) -> Shared | None:
    """None where there is no file yet; ValueError where it cannot be used."""
    try:
        with open(os.path.join(folder, NAME), "rb") as file:
            data = file.read(LARGEST + 1)
    except FileNotFoundError:
        return None
    except OSError as bad:
        raise ValueError(str(bad)) from None
    if len(data) > LARGEST:
        raise ValueError("too large")
    return parse(data)


def write(folder: str, shared: Shared) -> None:
    """Replaces the file as a whole. Danger: written in place, the other process would read half of it."""
    path = os.path.join(folder, f"{NAME}.{os.getpid()}")
    with open(path, "wb") as file:
        file.write(encode(shared))
    os.replace(path, os.path.join(folder, NAME))


def exchange(folder: str, how: Callable[[Shared], None], held: Shared, seen: list[str], oldest: float
             ) -> tuple[Shared | None, Shared, Signature | None]:
    """Under the lock: what the other process has written (None: nothing that can be used), what stands there now, and
    its signature. From a thread: a disk may take seconds. OSError where it cannot be written; nothing has changed then.
    """
    with locked(folder):
        try:
            told = read(folder)
        except ValueError:
            told = None
        base = told or held
        new = Shared(set(base.out), dict(base.back), dict(base.seen))
        how(new)
        new.seen.update(dict.fromkeys(seen))
        new.back = {name: at for name, at in new.back.items() if at > oldest}
        write(folder, new)
        return told, new, signature(folder)


@contextlib.contextmanager
def locked(folder: str) -> Iterator[None]:
    """One process at a time changes the file. OSError where the other one has it now; it never keeps it long, and
    a process that dies lets go."""
    with open(os.path.join(folder, LOCK), "wb") as file:
        fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
        yield
