"""The store for balancers of one machine: leases, terms that only grow, and records that only a term's holder writes.

One file; every call is one IMMEDIATE transaction, so that processes wait for each other and a killed one leaves nothing
half done. Leases run on CLOCK_BOOTTIME, one clock for all processes of a machine, which goes on through a suspend;
those of an earlier boot are void. Calls block for up to `PATIENCE_S`: from a loop they belong in a thread.
"""

from __future__ import annotations

import sqlite3
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

PATIENCE_S = 1.0
BOOT = Path("/proc/sys/kernel/random/boot_id")
FORM = """
CREATE TABLE IF NOT EXISTS lease (job TEXT PRIMARY KEY, holder TEXT, term INTEGER NOT NULL, until INTEGER NOT NULL,
                                  boot TEXT NOT NULL, request INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS record (job TEXT, key TEXT, value TEXT NOT NULL, term INTEGER NOT NULL,
                                   number INTEGER NOT NULL, PRIMARY KEY (job, key));
"""


class StoreDown(Exception):
    """The store could not be asked. What was asked may have counted."""


@dataclass(frozen=True, slots=True)
class Lease:
    holder: str  # empty: nobody
    term: int
    left_us: int


def boottime_us() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class SqliteStore:
    """`lock_delay_us`: after a lease that ran out, not one given back, nobody gets it for so long."""

    def __init__(self, path: Path, lock_delay_us: int = 0, now: Callable[[], int] = boottime_us,
                 boot: str | None = None) -> None:
        self.now, self.lock_delay = now, lock_delay_us
        self.boot = boot if boot is not None else BOOT.read_text().strip()
        try:
            self.db = sqlite3.connect(path, timeout=PATIENCE_S, isolation_level=None, check_same_thread=False)
            self.db.execute("PRAGMA journal_mode=WAL")
            self.db.execute("PRAGMA synchronous=FULL")  # a term that was told must not be told again after a crash
            self.db.executescript(FORM)
        except sqlite3.Error as bad:
            raise StoreDown(f"{path}: {bad}") from None

    def close(self) -> None:
        self.db.close()

    def __enter__(self) -> sqlite3.Connection:
        try:
            self.db.execute("BEGIN IMMEDIATE")
        except sqlite3.Error as bad:
            raise StoreDown(str(bad)) from None
        return self.db

    def __exit__(self, kind: type[BaseException] | None, bad: BaseException | None, _: object) -> None:
        try:
            self.db.execute("ROLLBACK" if kind else "COMMIT")
        except sqlite3.Error as worse:
            raise StoreDown(str(worse)) from None
        if isinstance(bad, sqlite3.Error):
            raise StoreDown(str(bad)) from None

    def row(self, db: sqlite3.Connection, job: str) -> tuple[str, int, int, int]:
        """Last holder, term, until, its last request. A lease of an earlier boot is nobody's, and its term stays."""
        found = db.execute("SELECT holder, term, until, request, boot FROM lease WHERE job = ?", (job,)).fetchone()
        if found is None:
            return "", 0, 0, 0
        holder, term, until, request, boot = found
        return (holder, term, until, request) if boot == self.boot else ("", term, 0, 0)

    def write(self, db: sqlite3.Connection, job: str, holder: str, request: int, term: int, until: int) -> None:
        db.execute("INSERT OR REPLACE INTO lease VALUES (?, ?, ?, ?, ?, ?)",
                   (job, holder, term, until, self.boot, request))

    def acquire(self, job: str, holder: str, request: int, lease_us: int, floor: int = 0) -> int:
        """A new term, or 0 where another holds the job.

        Danger: a request that was given up may come after the one that was made in its place, and its holder would
        act in a term that the store has put aside or given back (found by `explore`). So each holder's requests are
        numbered and taken in order, and a holder's name is one life's own.
        """
        with self as db:
            now = self.now()
            held, term, until, last = self.row(db, job)
            if held == holder and request <= last:
                return 0
            # A lease that ran out is free after the lock delay; one that was given back ends at 0.
            if held and held != holder and until and now < until + self.lock_delay:
                return 0
            term = max(term, floor) + 1
            self.write(db, job, holder, request, term, now + lease_us)
            return term

    def renew(self, job: str, holder: str, request: int, term: int, lease_us: int) -> int:
        """The same term, or 0: a lease that has run out is not brought back to life."""
        with self as db:
            now = self.now()
            held, at, until, last = self.row(db, job)
            if (held, at) != (holder, term) or now >= until or request <= last:
                return 0
            self.write(db, job, holder, request, term, now + lease_us)
            return term

    def release(self, job: str, holder: str, request: int, term: int) -> None:
        with self as db:
            held, at, _, last = self.row(db, job)
            if (held, at) == (holder, term) and request > last:
                self.write(db, job, holder, request, term, 0)

    def lease(self, job: str) -> Lease:
        with self as db:
            held, term, until, _ = self.row(db, job)
            left = until - self.now()
            return Lease(held if left > 0 else "", term, max(0, left))

    def put(self, job: str, holder: str, term: int, number: int, key: str, value: str) -> bool:
        """Writes a record in the name of a term. Refused once that term is not the job's any more."""
        with self as db:
            held, at, until, _ = self.row(db, job)
            if (held, at) != (holder, term) or self.now() >= until:
                return False
            db.execute("INSERT OR REPLACE INTO record VALUES (?, ?, ?, ?, ?)", (job, key, value, term, number))
            return True

    def records(self, job: str) -> dict[str, tuple[str, int, int]]:
        """Each key with its value, term and number."""
        with self as db:
            found = db.execute(
                "SELECT key, value, term, number FROM record WHERE job = ? ORDER BY term, number", (job,))
            return {key: (value, term, number) for key, value, term, number in found}
