"""The lease store for balancers of one machine: terms that only grow, and records that only a term's holder writes.

One file; every call is one IMMEDIATE transaction, so that processes wait for each other and a killed one leaves nothing
half done. Leases run on CLOCK_BOOTTIME, one clock for all processes of a machine, which goes on through a suspend;
those of an earlier boot are void. Calls block for up to `BUSY_TIMEOUT_S`: `AsyncSqliteStore` makes them in a thread.
"""

from __future__ import annotations

import asyncio
import contextlib
import sqlite3
import time
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import Literal, NamedTuple, TypeVar

from .candidate import LeaseRequest
from .store import Lease, PastTerm, Record, StoreUnavailableError

T = TypeVar("T")
Access = Literal["write", "read"]

BUSY_TIMEOUT_S = 1.0
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
PAST_TERMS_KEPT = 50  # of a job
POLL_INTERVAL_S = 0.1  # between two looks whether the file has changed: a read of shared memory
GIVEN_BACK_US = 0  # `until` of a lease that did not run out
# Names of tables and columns are those of files that earlier versions have written.
SCHEMA = """
CREATE TABLE IF NOT EXISTS lease (job TEXT PRIMARY KEY, holder TEXT, term INTEGER NOT NULL, until INTEGER NOT NULL,
                                  boot TEXT NOT NULL, request INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS record (job TEXT, key TEXT, value TEXT NOT NULL, term INTEGER NOT NULL,
                                   number INTEGER NOT NULL, PRIMARY KEY (job, key));
CREATE TABLE IF NOT EXISTS wish (job TEXT, key TEXT, value TEXT NOT NULL, PRIMARY KEY (job, key));
CREATE TABLE IF NOT EXISTS past (job TEXT, term INTEGER, holder TEXT NOT NULL, at REAL NOT NULL,
                                 PRIMARY KEY (job, term));
"""


def boottime_us() -> int:
    """CLOCK_BOOTTIME in whole microseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def current_boot() -> str:
    """The id of the machine's boot."""
    return BOOT_ID_PATH.read_text().strip()


class _LeaseRow(NamedTuple):
    """Last holder, its term, when it ends, and the number of its last request that was taken."""

    holder: str
    term: int
    until_us: int
    last_request: int


class SqliteStore:
    """The blocking calls. `lock_delay_us`: after a lease that ran out, nobody gets it for so long."""

    def __init__(
        self,
        path: Path,
        lock_delay_us: int = 0,
        now: Callable[[], int] = boottime_us,
        boot: str | None = None,
        busy_timeout_s: float = BUSY_TIMEOUT_S,
    ) -> None:
        self._now = now
        self._lock_delay_us = lock_delay_us
        self._boot = boot if boot is not None else current_boot()
        try:
            self.db = sqlite3.connect(path, timeout=busy_timeout_s, isolation_level=None, check_same_thread=False)
            self.db.execute("PRAGMA journal_mode=WAL")
            self.db.execute("PRAGMA synchronous=FULL")  # a term that was told must not be told again after a crash
            self.db.executescript(SCHEMA)
        except sqlite3.Error as error:
            raise StoreUnavailableError(f"{path}: {error}") from error

    def close(self) -> None:
        """Closes the file."""
        self.db.close()

    @contextlib.contextmanager
    def _writing(self) -> Iterator[sqlite3.Connection]:
        """One transaction; what fails in it leaves nothing behind."""
        try:
            self.db.execute("BEGIN IMMEDIATE")
        except sqlite3.Error as error:
            raise StoreUnavailableError(str(error)) from error
        try:
            yield self.db
        except BaseException as error:
            with contextlib.suppress(sqlite3.Error):
                self.db.execute("ROLLBACK")
            if isinstance(error, sqlite3.Error):
                raise StoreUnavailableError(str(error)) from error
            raise
        try:
            self.db.execute("COMMIT")
        except sqlite3.Error as error:
            raise StoreUnavailableError(str(error)) from error

    @contextlib.contextmanager
    def _reading(self) -> Iterator[sqlite3.Connection]:
        """One state of the file, without the lock that writers wait for."""
        try:
            self.db.execute("BEGIN")
            yield self.db
        except sqlite3.Error as error:
            raise StoreUnavailableError(str(error)) from error
        finally:
            with contextlib.suppress(sqlite3.Error):
                self.db.execute("ROLLBACK")

    # -- leases ----------------------------------------------------------------------------------------

    def acquire(self, job: str, holder: str, number: int, lease_us: int, min_term: int = 0) -> int:
        """A new term, or 0 where another holds the job.

        A request that was given up may come after the one that was made in its place, and its holder would act in a
        term that the store has put aside or given back (found by the model checker). So each holder's requests are
        numbered and taken in order, and a holder's name is one incarnation's own.
        """
        return self.submit(holder, [(job, LeaseRequest(number, "acquire", 0, min_term))], lease_us)[job]

    def renew(self, job: str, holder: str, number: int, term: int, lease_us: int) -> int:
        """The same term, or 0: a lease that has run out is not brought back to life."""
        return self.submit(holder, [(job, LeaseRequest(number, "renew", term, 0))], lease_us)[job]

    def release(self, job: str, holder: str, number: int, term: int) -> None:
        """Gives a lease back."""
        self.submit(holder, [(job, LeaseRequest(number, "release", term, 0))], 0)

    def submit(self, holder: str, requests: Iterable[tuple[str, LeaseRequest]], lease_us: int) -> dict[str, int]:
        """All of one process's requests in one transaction. By job, the term granted or 0."""
        with self._writing() as db:
            return {job: self._answer(db, job, holder, request, lease_us) for job, request in requests}

    def _answer(self, db: sqlite3.Connection, job: str, holder: str, request: LeaseRequest, lease_us: int) -> int:
        now_us = self._now()
        row = self._row(db, job)
        if row.holder == holder and request.number <= row.last_request:
            return 0
        if request.kind == "acquire":
            return self._grant(db, job, holder, request, row, now_us, lease_us)
        if (row.holder, row.term) != (holder, request.term):
            return 0
        if request.kind == "release":
            self._write(db, job, _LeaseRow(holder, row.term, GIVEN_BACK_US, request.number))
            return 0
        if now_us >= row.until_us:
            return 0
        self._write(db, job, _LeaseRow(holder, row.term, now_us + lease_us, request.number))
        return row.term

    def _grant(
        self,
        db: sqlite3.Connection,
        job: str,
        holder: str,
        request: LeaseRequest,
        row: _LeaseRow,
        now_us: int,
        lease_us: int,
    ) -> int:
        # A lease that ran out is free after the lock delay; one that was given back ends at 0.
        anothers = row.holder and row.holder != holder
        if anothers and row.until_us and now_us < row.until_us + self._lock_delay_us:
            return 0
        term = max(row.term, request.min_term) + 1
        self._write(db, job, _LeaseRow(holder, term, now_us + lease_us, request.number))
        db.execute("INSERT OR REPLACE INTO past VALUES (?, ?, ?, ?)", (job, term, holder, time.time()))
        db.execute("DELETE FROM past WHERE job = ? AND term <= ?", (job, term - PAST_TERMS_KEPT))
        return term

    def _row(self, db: sqlite3.Connection, job: str) -> _LeaseRow:
        """A lease of an earlier boot is nobody's, and its term stays."""
        found = db.execute("SELECT holder, term, until, request, boot FROM lease WHERE job = ?", (job,)).fetchone()
        if found is None:
            return _LeaseRow("", 0, 0, 0)
        holder, term, until_us, last_request, boot = found
        return _LeaseRow(holder, term, until_us, last_request) if boot == self._boot else _LeaseRow("", term, 0, 0)

    def _write(self, db: sqlite3.Connection, job: str, row: _LeaseRow) -> None:
        values = (job, row.holder, row.term, row.until_us, self._boot, row.last_request)
        db.execute("INSERT OR REPLACE INTO lease VALUES (?, ?, ?, ?, ?, ?)", values)

    def free(self, job: str, holder: str, term: int) -> None:
        """Gives back what an earlier incarnation held."""
        with self._writing() as db:
            row = self._row(db, job)
            if (row.holder, row.term) == (holder, term) and row.until_us:
                self._write(db, job, _LeaseRow(holder, term, GIVEN_BACK_US, row.last_request + 1))

    def lease(self, job: str) -> Lease:
        """One job's lease."""
        return self.leases([job])[job]

    def leases(self, jobs: Iterable[str] = ()) -> dict[str, Lease]:
        """Of these jobs, or of all that were ever held."""
        with self._reading() as db:
            now_us = self._now()
            jobs = list(jobs) or [row[0] for row in db.execute("SELECT job FROM lease")]
            return {job: _lease_of(self._row(db, job), now_us) for job in jobs}

    # -- records and proposals -------------------------------------------------------------------------

    def put(self, job: str, holder: str, term: int, number: int, values: Mapping[str, str], proposal: str = "") -> bool:
        """Writes records in the name of a term. Refused once that term is not the job's any more."""
        with self._writing() as db:
            row = self._row(db, job)
            if (row.holder, row.term) != (holder, term) or self._now() >= row.until_us:
                return False
            rows = [(job, key, value, term, number) for key, value in values.items()]
            db.executemany("INSERT OR REPLACE INTO record VALUES (?, ?, ?, ?, ?)", rows)
            db.execute("DELETE FROM wish WHERE job = ? AND key = ?", (job, proposal))
            return True

    def records(self, job: str) -> dict[str, Record]:
        """A job's records, in the order of their revisions."""
        with self._reading() as db:
            found = db.execute(
                "SELECT key, value, term, number FROM record WHERE job = ? ORDER BY term, number", (job,)
            )
            return {key: Record(value, term, number) for key, value, term, number in found}

    def propose(self, job: str, proposal: str, value: str) -> None:
        """Asks the holder of a job for something."""
        with self._writing() as db:
            db.execute("INSERT OR REPLACE INTO wish VALUES (?, ?, ?)", (job, proposal, value))

    def proposals(self, job: str) -> dict[str, str]:
        """What the holder of a job is asked for, oldest first."""
        with self._reading() as db:
            return dict(db.execute("SELECT key, value FROM wish WHERE job = ? ORDER BY rowid", (job,)).fetchall())

    def past_terms(self, job: str) -> list[PastTerm]:
        """Terms of a job, oldest first."""
        with self._reading() as db:
            found = db.execute("SELECT term, holder, at FROM past WHERE job = ? ORDER BY term", (job,))
            return [PastTerm(*row) for row in found]

    def data_version(self) -> int:
        """Differs once another connection has changed the file."""
        return int(self.db.execute("PRAGMA data_version").fetchone()[0])


def _lease_of(row: _LeaseRow, now_us: int) -> Lease:
    remaining_us = row.until_us - now_us
    return Lease(row.holder if remaining_us > 0 else "", row.term, max(0, remaining_us))


class AsyncSqliteStore:
    """A `SqliteStore` behind the interface of all stores: a thread for what writes, so that its calls keep their order.

    Another for what reads. A process that sleeps within its transaction keeps all others from writing, and what is read
    would wait in line behind a write that waits for it.
    """

    def __init__(self, path: Path, holder: str, lock_delay_us: int = 0, busy_timeout_s: float = BUSY_TIMEOUT_S) -> None:
        self.holder = holder
        self._path = path
        self._lock_delay_us = lock_delay_us
        self._busy_timeout_s = busy_timeout_s
        self._threads: dict[Access, ThreadPoolExecutor] = {
            "write": ThreadPoolExecutor(1, "glenrock-store-write"),
            "read": ThreadPoolExecutor(1, "glenrock-store-read"),
        }
        self._stores: dict[Access, SqliteStore] = {}
        self._version = -1

    async def _call(self, work: Callable[[SqliteStore], T], access: Access = "write") -> T:
        def in_thread() -> T:
            if access not in self._stores:
                self._stores[access] = SqliteStore(self._path, self._lock_delay_us, busy_timeout_s=self._busy_timeout_s)
            return work(self._stores[access])

        return await asyncio.get_running_loop().run_in_executor(self._threads[access], in_thread)

    async def submit(self, requests: Sequence[tuple[str, LeaseRequest]], lease_us: int) -> dict[str, int]:
        """See `LeaseStore`."""
        return await self._call(lambda store: store.submit(self.holder, requests, lease_us))

    async def leases(self, jobs: Sequence[str] = ()) -> dict[str, Lease]:
        """See `LeaseStore`."""
        return await self._call(lambda store: store.leases(jobs), "read")

    async def put(self, job: str, term: int, number: int, values: Mapping[str, str], proposal: str = "") -> bool:
        """See `LeaseStore`."""
        return await self._call(lambda store: store.put(job, self.holder, term, number, values, proposal))

    async def records(self, job: str) -> dict[str, Record]:
        """See `LeaseStore`."""
        return await self._call(lambda store: store.records(job), "read")

    async def propose(self, job: str, proposal: str, value: str) -> None:
        """See `LeaseStore`."""
        await self._call(lambda store: store.propose(job, proposal, value))

    async def proposals(self, job: str) -> dict[str, str]:
        """See `LeaseStore`."""
        return await self._call(lambda store: store.proposals(job), "read")

    async def free(self, job: str, holder: str, term: int) -> None:
        """See `LeaseStore`."""
        await self._call(lambda store: store.free(job, holder, term))

    async def past_terms(self, job: str) -> list[PastTerm]:
        """See `LeaseStore`."""
        return await self._call(lambda store: store.past_terms(job), "read")

    async def changed(self, wait_s: float) -> None:
        """Until the file's version is another, as the reading connection sees it, and no longer than that."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while loop.time() < until:
            version = await self._call(SqliteStore.data_version, "read")
            if version != self._version:
                self._version = version
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """Closes the file in the threads that opened it, and ends them."""
        loop = asyncio.get_running_loop()
        for access, thread in self._threads.items():
            if store := self._stores.get(access):
                await loop.run_in_executor(thread, store.close)
            thread.shutdown(wait=False)
