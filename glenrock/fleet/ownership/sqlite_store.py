"""The store for balancers of one machine: leases, terms that only grow, and records that only a term's holder writes.

One file; every call is one IMMEDIATE transaction, so that processes wait for each other and a killed one leaves nothing
half done. Leases run on CLOCK_BOOTTIME, one clock for all processes of a machine, which goes on through a suspend;
those of an earlier boot are void. Calls block for up to `PATIENCE_S`: `LocalStore` makes them in a thread.
"""

from __future__ import annotations

import asyncio
import contextlib
import sqlite3
import time
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import TypeVar

from .claim import Ask
from .store import Lease, Past, Record, StoreDown

T = TypeVar("T")

PATIENCE_S = 1.0
BOOT = Path("/proc/sys/kernel/random/boot_id")
FORM = """
CREATE TABLE IF NOT EXISTS lease (job TEXT PRIMARY KEY, holder TEXT, term INTEGER NOT NULL, until INTEGER NOT NULL,
                                  boot TEXT NOT NULL, request INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS record (job TEXT, key TEXT, value TEXT NOT NULL, term INTEGER NOT NULL,
                                   number INTEGER NOT NULL, PRIMARY KEY (job, key));
CREATE TABLE IF NOT EXISTS wish (job TEXT, key TEXT, value TEXT NOT NULL, PRIMARY KEY (job, key));
CREATE TABLE IF NOT EXISTS past (job TEXT, term INTEGER, holder TEXT NOT NULL, at REAL NOT NULL,
                                 PRIMARY KEY (job, term));
"""
KEPT = 50  # past terms of a job
LOOK_S = 0.1  # between two looks whether the file has changed: a read of shared memory


def boottime_us() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class SqliteStore:
    """`lock_delay_us`: after a lease that ran out, not one given back, nobody gets it for so long."""

    def __init__(self, path: Path, lock_delay_us: int = 0, now: Callable[[], int] = boottime_us,
                 boot: str | None = None, patience_s: float = PATIENCE_S) -> None:
        self.now, self.lock_delay = now, lock_delay_us
        self.boot = boot if boot is not None else BOOT.read_text().strip()
        try:
            self.db = sqlite3.connect(path, timeout=patience_s, isolation_level=None, check_same_thread=False)
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

    @contextlib.contextmanager
    def reading(self) -> Iterator[sqlite3.Connection]:
        """One state of the file, without the lock that writers wait for."""
        try:
            self.db.execute("BEGIN")
            yield self.db
        except sqlite3.Error as bad:
            raise StoreDown(str(bad)) from None
        finally:
            with contextlib.suppress(sqlite3.Error):
                self.db.execute("ROLLBACK")

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
        return self.batch(holder, [(job, Ask(request, "acquire", 0, floor))], lease_us)[job]

    def renew(self, job: str, holder: str, request: int, term: int, lease_us: int) -> int:
        """The same term, or 0: a lease that has run out is not brought back to life."""
        return self.batch(holder, [(job, Ask(request, "renew", term, 0))], lease_us)[job]

    def release(self, job: str, holder: str, request: int, term: int) -> None:
        self.batch(holder, [(job, Ask(request, "release", term, 0))], 0)

    def batch(self, holder: str, asks: Iterable[tuple[str, Ask]], lease_us: int) -> dict[str, int]:
        """All of one process's requests in one transaction. By job, the term granted or 0."""
        with self as db:
            return {job: self.one(db, job, holder, a, lease_us) for job, a in asks}

    def one(self, db: sqlite3.Connection, job: str, holder: str, a: Ask, lease_us: int) -> int:
        now = self.now()
        held, term, until, last = self.row(db, job)
        if held == holder and a.request <= last:
            return 0
        if a.kind == "acquire":
            # A lease that ran out is free after the lock delay; one that was given back ends at 0.
            if held and held != holder and until and now < until + self.lock_delay:
                return 0
            term = max(term, a.floor) + 1
            self.write(db, job, holder, a.request, term, now + lease_us)
            db.execute("INSERT OR REPLACE INTO past VALUES (?, ?, ?, ?)", (job, term, holder, time.time()))
            db.execute("DELETE FROM past WHERE job = ? AND term <= ?", (job, term - KEPT))
            return term
        if (held, term) != (holder, a.term) or a.kind == "renew" and now >= until:
            return 0
        self.write(db, job, holder, a.request, term, now + lease_us if a.kind == "renew" else 0)
        return term if a.kind == "renew" else 0

    def free(self, job: str, holder: str, term: int) -> None:
        with self as db:
            held, at, until, last = self.row(db, job)
            if (held, at) == (holder, term) and until:
                self.write(db, job, holder, last + 1, term, 0)

    def lease(self, job: str) -> Lease:
        return self.leases([job])[job]

    def leases(self, jobs: Iterable[str] = ()) -> dict[str, Lease]:
        """Of these jobs, or of all that were ever held."""
        with self.reading() as db:
            now, found = self.now(), {}
            for job in list(jobs) or [row[0] for row in db.execute("SELECT job FROM lease")]:
                held, term, until, _ = self.row(db, job)
                left = until - now
                found[job] = Lease(held if left > 0 else "", term, max(0, left))
            return found

    def put(self, job: str, holder: str, term: int, number: int, values: Mapping[str, str], wish: str = "") -> bool:
        """Writes records in the name of a term. Refused once that term is not the job's any more."""
        with self as db:
            held, at, until, _ = self.row(db, job)
            if (held, at) != (holder, term) or self.now() >= until:
                return False
            db.executemany("INSERT OR REPLACE INTO record VALUES (?, ?, ?, ?, ?)",
                           [(job, key, value, term, number) for key, value in values.items()])
            db.execute("DELETE FROM wish WHERE job = ? AND key = ?", (job, wish))
            return True

    def records(self, job: str) -> dict[str, Record]:
        with self.reading() as db:
            found = db.execute(
                "SELECT key, value, term, number FROM record WHERE job = ? ORDER BY term, number", (job,))
            return {key: Record(value, term, number) for key, value, term, number in found}

    def post(self, job: str, wish: str, value: str) -> None:
        with self as db:
            db.execute("INSERT OR REPLACE INTO wish VALUES (?, ?, ?)", (job, wish, value))

    def wishes(self, job: str) -> dict[str, str]:
        with self.reading() as db:
            return dict(db.execute("SELECT key, value FROM wish WHERE job = ? ORDER BY rowid", (job,)).fetchall())

    def past(self, job: str) -> list[Past]:
        with self.reading() as db:
            found = db.execute("SELECT term, holder, at FROM past WHERE job = ? ORDER BY term", (job,))
            return [Past(*row) for row in found]


class LocalStore:
    """A `SqliteStore` behind the interface of all stores: a thread for what writes, so that its calls keep their order.

    Another for what reads. Danger: a process that sleeps within its transaction keeps all others from writing, and what
    is read would wait in line behind a write that waits for it.
    """

    def __init__(self, path: Path, holder: str, lock_delay_us: int = 0, patience_s: float = PATIENCE_S) -> None:
        self.path, self.holder, self.lock_delay, self.patience = path, holder, lock_delay_us, patience_s
        self.threads = {n: ThreadPoolExecutor(1, f"glenrock-store-{n}") for n in ("write", "read")}
        self.inner: dict[str, SqliteStore] = {}
        self.version = -1

    async def call(self, work: Callable[[SqliteStore], T], how: str = "write") -> T:
        def inside() -> T:
            if how not in self.inner:
                self.inner[how] = SqliteStore(self.path, self.lock_delay, patience_s=self.patience)
            return work(self.inner[how])

        return await asyncio.get_running_loop().run_in_executor(self.threads[how], inside)

    async def read(self, work: Callable[[SqliteStore], T]) -> T:
        return await self.call(work, "read")

    async def ask(self, asks: Sequence[tuple[str, Ask]], lease_us: int) -> dict[str, int]:
        return await self.call(lambda s: s.batch(self.holder, asks, lease_us))

    async def leases(self, jobs: Sequence[str] = ()) -> dict[str, Lease]:
        return await self.read(lambda s: s.leases(jobs))

    async def put(self, job: str, term: int, number: int, values: Mapping[str, str], wish: str = "") -> bool:
        return await self.call(lambda s: s.put(job, self.holder, term, number, values, wish))

    async def records(self, job: str) -> dict[str, Record]:
        return await self.read(lambda s: s.records(job))

    async def post(self, job: str, wish: str, value: str) -> None:
        await self.call(lambda s: s.post(job, wish, value))

    async def wishes(self, job: str) -> dict[str, str]:
        return await self.read(lambda s: s.wishes(job))

    async def free(self, job: str, holder: str, term: int) -> None:
        await self.call(lambda s: s.free(job, holder, term))

    async def past(self, job: str) -> list[Past]:
        return await self.read(lambda s: s.past(job))

    async def changed(self, wait_s: float) -> None:
        """The file's version as the reading connection sees it."""
        until = asyncio.get_running_loop().time() + wait_s
        while asyncio.get_running_loop().time() < until:
            version = await self.read(lambda s: int(s.db.execute("PRAGMA data_version").fetchone()[0]))
            if version != self.version:
                self.version = version
                return
            await asyncio.sleep(LOOK_S)

    async def close(self) -> None:
        for how, thread in self.threads.items():
            await asyncio.get_running_loop().run_in_executor(
                thread, lambda how=how: self.inner[how].close() if how in self.inner else None)
            thread.shutdown(wait=False)
