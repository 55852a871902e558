"""The lease store for balancers on one machine, in an SQLite file.

Each write is one IMMEDIATE transaction: processes wait for each other, and a killed process leaves no partial write.
Leases are timed by CLOCK_BOOTTIME, which all processes of a machine share and which keeps running while the machine is
asleep. Leases of an earlier boot are void. Calls block for up to the busy timeout, so `AsyncSqliteStore` makes them in
threads.
"""

from __future__ import annotations

import asyncio
import contextlib
import enum
import sqlite3
import time
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path
from typing import NamedTuple, TypeVar

from .candidate import LeaseRequest, RequestKind
from .store import NOT_GRANTED, JobRequest, Lease, LeaseAnswers, PastTerm, Record, StoreUnavailableError

ResultT = TypeVar("ResultT")

BUSY_TIMEOUT_S = 1.0
BOOT_ID_PATH = Path("/proc/sys/kernel/random/boot_id")
MAX_PAST_TERMS = 50  # stored for each job
POLL_INTERVAL_S = 0.1  # between two reads of SQLite's data version, which is in shared memory
RELEASED_US = 0  # stored as the expiry time of a lease that was released
# The names of tables and columns must not change, since files of earlier versions have them.
SCHEMA = """
CREATE TABLE IF NOT EXISTS lease (job TEXT PRIMARY KEY, holder TEXT, term INTEGER NOT NULL, until INTEGER NOT NULL,
                                  boot TEXT NOT NULL, request INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS record (job TEXT, key TEXT, value TEXT NOT NULL, term INTEGER NOT NULL,
                                   number INTEGER NOT NULL, PRIMARY KEY (job, key));
CREATE TABLE IF NOT EXISTS wish (job TEXT, key TEXT, value TEXT NOT NULL, PRIMARY KEY (job, key));
CREATE TABLE IF NOT EXISTS past (job TEXT, term INTEGER, holder TEXT NOT NULL, at REAL NOT NULL,
                                 PRIMARY KEY (job, term));
"""


class Access(enum.Enum):
    """Whether a call writes to the file or only reads it."""

    WRITE = enum.auto()
    READ = enum.auto()


def boottime_us() -> int:
    """Returns CLOCK_BOOTTIME in whole microseconds."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def current_boot_id() -> str:
    """Returns the identifier of the machine's current boot."""
    return BOOT_ID_PATH.read_text().strip()


class _LeaseRow(NamedTuple):
    """A row of the lease table.

    Attributes:
        holder: the last holder; empty if there was none since the machine booted.
        term: the last term granted.
        expires_us: when the lease expires; RELEASED_US if it was released.
        last_sequence: sequence number of the holder's last request that was accepted.
    """

    holder: str
    term: int
    expires_us: int
    last_sequence: int


class _Submission(NamedTuple):
    """A request of a process, with what the store needs to apply it.

    Attributes:
        job: the job whose lease is requested.
        holder: name of the incarnation that submits the request.
        request: what it requests.
        now_us: when the request is applied.
        expires_us: when the lease expires if the request grants or renews it.
    """

    job: str
    holder: str
    request: LeaseRequest
    now_us: int
    expires_us: int


class SqliteStore:
    """The store's blocking calls.

    Args:
        path: path of the SQLite file.
        lock_delay_us: time from the expiry of a lease until another holder may acquire it.
        now_us: returns the time, in microseconds, by which leases expire.
        boot_id: identifier of the machine's boot; None for the current one.
        busy_timeout_s: bound on the wait for another process's transaction.

    Raises:
        StoreUnavailableError: the file cannot be opened.
    """

    def __init__(
        self,
        path: Path,
        lock_delay_us: int = 0,
        now_us: Callable[[], int] = boottime_us,
        boot_id: str | None = None,
        busy_timeout_s: float = BUSY_TIMEOUT_S,
    ) -> None:
        self._now_us = now_us
        self._lock_delay_us = lock_delay_us
        self._boot_id = boot_id if boot_id is not None else current_boot_id()
        try:
            self.db = sqlite3.connect(path, timeout=busy_timeout_s, isolation_level=None, check_same_thread=False)
            self.db.execute("PRAGMA journal_mode=WAL")
            # A crash of the machine must not lose a granted term, since it would be granted a second time.
            self.db.execute("PRAGMA synchronous=FULL")
            self.db.executescript(SCHEMA)
        except sqlite3.Error as error:
            raise StoreUnavailableError(f"{path}: {error}") from error

    def close(self) -> None:
        """Closes the file."""
        self.db.close()

    @contextlib.contextmanager
    def _write_transaction(self) -> Iterator[sqlite3.Connection]:
        """Runs the body in a write transaction, which is rolled back if the body raises."""
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
    def _read_transaction(self) -> Iterator[sqlite3.Connection]:
        """Runs the body in a read transaction: a consistent snapshot that does not wait for writers."""
        try:
            self.db.execute("BEGIN")
            yield self.db
        except sqlite3.Error as error:
            raise StoreUnavailableError(str(error)) from error
        finally:
            with contextlib.suppress(sqlite3.Error):
                self.db.execute("ROLLBACK")

    # -- leases ----------------------------------------------------------------------------------------

    def acquire(self, job: str, holder: str, sequence: int, lease_us: int, term_floor: int = 0) -> int:
        """Acquires a job's lease.

        Requests carry sequence numbers, and the store ignores those that arrive out of order: a late request whose
        sender timed out could otherwise undo the request sent in its place, and the holder would act under a term that
        the store has replaced or released (`InjectedFault.REQUESTS_IN_ANY_ORDER` in `model_checker`). For the same
        reason, a holder's name is used by one incarnation only.

        Args:
            job: the job whose lease is requested.
            holder: name of the incarnation that requests the lease.
            sequence: sequence number of the request among those of this holder.
            lease_us: duration of the lease.
            term_floor: a granted term is above this one.

        Returns:
            The new term, or 0 if another process holds the lease or the request is out of order.
        """
        request = JobRequest(job, LeaseRequest(sequence, RequestKind.ACQUIRE, 0, term_floor))
        return self.submit(holder, [request], lease_us).granted_term(job)

    def renew(self, job: str, holder: str, sequence: int, term: int, lease_us: int) -> int:
        """Renews a lease. Returns its term, or 0 if it has expired or this holder does not hold the term."""
        request = JobRequest(job, LeaseRequest(sequence, RequestKind.RENEW, term, 0))
        return self.submit(holder, [request], lease_us).granted_term(job)

    def release(self, job: str, holder: str, sequence: int, term: int) -> None:
        """Releases a lease, if this holder holds the term."""
        self.submit(holder, [JobRequest(job, LeaseRequest(sequence, RequestKind.RELEASE, term, 0))], 0)

    def submit(self, holder: str, requests: Iterable[JobRequest], lease_us: int) -> LeaseAnswers:
        """Applies the requests of one process in one transaction."""
        answers = LeaseAnswers()
        with self._write_transaction() as db:
            for job, request in requests:
                now_us = self._now_us()
                submission = _Submission(job, holder, request, now_us, now_us + lease_us)
                answers.add(job, self._apply(db, submission))
        return answers

    def _apply(self, db: sqlite3.Connection, submission: _Submission) -> int:
        """Applies a request. Returns the term that is granted or renewed, or NOT_GRANTED."""
        job, holder, request, now_us, expires_us = submission
        row = self._read_row(db, job)
        if row.holder == holder and request.sequence <= row.last_sequence:
            return NOT_GRANTED
        if request.kind is RequestKind.ACQUIRE:
            return self._acquire(db, submission, row)
        if (row.holder, row.term) != (holder, request.term):
            return NOT_GRANTED
        if request.kind is RequestKind.RELEASE:
            self._write_row(db, job, _LeaseRow(holder, row.term, RELEASED_US, request.sequence))
            return NOT_GRANTED
        if now_us >= row.expires_us:
            return NOT_GRANTED
        self._write_row(db, job, _LeaseRow(holder, row.term, expires_us, request.sequence))
        return row.term

    def _acquire(self, db: sqlite3.Connection, submission: _Submission, row: _LeaseRow) -> int:
        """Grants a new term, unless another holder's lease and its lock delay have not expired."""
        job, holder, request, now_us, expires_us = submission
        has_other_holder = row.holder and row.holder != holder
        is_released = row.expires_us == RELEASED_US
        if has_other_holder and not is_released and now_us < row.expires_us + self._lock_delay_us:
            return NOT_GRANTED
        term = max(row.term, request.term_floor) + 1
        self._write_row(db, job, _LeaseRow(holder, term, expires_us, request.sequence))
        db.execute("INSERT OR REPLACE INTO past VALUES (?, ?, ?, ?)", (job, term, holder, time.time()))
        db.execute("DELETE FROM past WHERE job = ? AND term <= ?", (job, term - MAX_PAST_TERMS))
        return term

    def _read_row(self, db: sqlite3.Connection, job: str) -> _LeaseRow:
        """Reads a job's row. A lease of an earlier boot is returned without its holder, but with its term."""
        found = db.execute("SELECT holder, term, until, request, boot FROM lease WHERE job = ?", (job,)).fetchone()
        if found is None:
            return _LeaseRow("", 0, RELEASED_US, 0)
        holder, term, expires_us, last_sequence, boot_id = found
        if boot_id != self._boot_id:
            return _LeaseRow("", term, RELEASED_US, 0)
        return _LeaseRow(holder, term, expires_us, last_sequence)

    def _write_row(self, db: sqlite3.Connection, job: str, row: _LeaseRow) -> None:
        values = (job, row.holder, row.term, row.expires_us, self._boot_id, row.last_sequence)
        db.execute("INSERT OR REPLACE INTO lease VALUES (?, ?, ?, ?, ?, ?)", values)

    def release_for(self, job: str, holder: str, term: int) -> None:
        """Releases the lease of an earlier incarnation; see `LeaseStore.release_for`."""
        with self._write_transaction() as db:
            row = self._read_row(db, job)
            if (row.holder, row.term) == (holder, term) and row.expires_us != RELEASED_US:
                self._write_row(db, job, _LeaseRow(holder, term, RELEASED_US, row.last_sequence + 1))

    def lease(self, job: str) -> Lease:
        """Returns the lease of a job."""
        return self.leases([job])[job]

    def leases(self, jobs: Iterable[str] = ()) -> dict[str, Lease]:
        """Returns the leases of these jobs; of all jobs that ever had a holder if `jobs` is empty."""
        with self._read_transaction() as db:
            now_us = self._now_us()
            jobs = list(jobs) or [row[0] for row in db.execute("SELECT job FROM lease")]
            return {job: _to_lease(self._read_row(db, job), now_us) for job in jobs}

    # -- records and proposals -------------------------------------------------------------------------

    def put(
        self, job: str, holder: str, term: int, sequence: int, values: Mapping[str, str], proposal: str = ""
    ) -> bool:
        """Writes records under a term; see `LeaseStore.put`."""
        with self._write_transaction() as db:
            row = self._read_row(db, job)
            if (row.holder, row.term) != (holder, term) or self._now_us() >= row.expires_us:
                return False
            rows = [(job, key, value, term, sequence) for key, value in values.items()]
            db.executemany("INSERT OR REPLACE INTO record VALUES (?, ?, ?, ?, ?)", rows)
            db.execute("DELETE FROM wish WHERE job = ? AND key = ?", (job, proposal))
            return True

    def records(self, job: str) -> dict[str, Record]:
        """Returns a job's records by key, ordered by term and sequence number."""
        with self._read_transaction() as db:
            found = db.execute(
                "SELECT key, value, term, number FROM record WHERE job = ? ORDER BY term, number", (job,)
            )
            return {key: Record(value, term, sequence) for key, value, term, sequence in found}

    def propose(self, job: str, proposal: str, value: str) -> None:
        """Writes a proposal for the holder of a job."""
        with self._write_transaction() as db:
            db.execute("INSERT OR REPLACE INTO wish VALUES (?, ?, ?)", (job, proposal, value))

    def proposals(self, job: str) -> dict[str, str]:
        """Returns the values of a job's proposals by key, oldest first."""
        with self._read_transaction() as db:
            return dict(db.execute("SELECT key, value FROM wish WHERE job = ? ORDER BY rowid", (job,)).fetchall())

    def past_terms(self, job: str) -> list[PastTerm]:
        """Returns the last terms of a job, oldest first."""
        with self._read_transaction() as db:
            found = db.execute("SELECT term, holder, at FROM past WHERE job = ? ORDER BY term", (job,))
            return [PastTerm(*row) for row in found]

    def data_version(self) -> int:
        """Returns SQLite's data version, which changes when another connection has changed the file."""
        return int(self.db.execute("PRAGMA data_version").fetchone()[0])


def _to_lease(row: _LeaseRow, now_us: int) -> Lease:
    remaining_us = row.expires_us - now_us
    return Lease(row.holder if remaining_us > 0 else "", row.term, max(0, remaining_us))


class AsyncSqliteStore:
    """The `LeaseStore` over an SQLite file, which runs `SqliteStore` in threads.

    One thread makes the writes, so that they keep their order, and another makes the reads: a process that is paused in
    its transaction blocks all writers, and reads must not wait behind them.
    """

    def __init__(self, path: Path, holder: str, lock_delay_us: int = 0, busy_timeout_s: float = BUSY_TIMEOUT_S) -> None:
        self.holder = holder
        self._path = path
        self._lock_delay_us = lock_delay_us
        self._busy_timeout_s = busy_timeout_s
        self._executors = {
            Access.WRITE: ThreadPoolExecutor(1, "glenrock-store-write"),
            Access.READ: ThreadPoolExecutor(1, "glenrock-store-read"),
        }
        self._stores: dict[Access, SqliteStore] = {}
        self._version = -1

    async def _run_in_thread(self, call: Callable[[SqliteStore], ResultT], access: Access = Access.WRITE) -> ResultT:
        def run_in_this_thread() -> ResultT:
            if access not in self._stores:
                self._stores[access] = SqliteStore(self._path, self._lock_delay_us, busy_timeout_s=self._busy_timeout_s)
            return call(self._stores[access])

        return await asyncio.get_running_loop().run_in_executor(self._executors[access], run_in_this_thread)

    async def submit(self, requests: Sequence[JobRequest], lease_us: int) -> LeaseAnswers:
        """See `LeaseStore`."""
        return await self._run_in_thread(lambda store: store.submit(self.holder, requests, lease_us))

    async def leases(self, jobs: Sequence[str] = ()) -> dict[str, Lease]:
        """See `LeaseStore`."""
        return await self._run_in_thread(lambda store: store.leases(jobs), Access.READ)

    async def put(self, job: str, term: int, sequence: int, values: Mapping[str, str], proposal: str = "") -> bool:
        """See `LeaseStore`."""
        return await self._run_in_thread(lambda store: store.put(job, self.holder, term, sequence, values, proposal))

    async def records(self, job: str) -> dict[str, Record]:
        """See `LeaseStore`."""
        return await self._run_in_thread(lambda store: store.records(job), Access.READ)

    async def propose(self, job: str, proposal: str, value: str) -> None:
        """See `LeaseStore`."""
        await self._run_in_thread(lambda store: store.propose(job, proposal, value))

    async def proposals(self, job: str) -> dict[str, str]:
        """See `LeaseStore`."""
        return await self._run_in_thread(lambda store: store.proposals(job), Access.READ)

    async def release_for(self, job: str, holder: str, term: int) -> None:
        """See `LeaseStore`."""
        await self._run_in_thread(lambda store: store.release_for(job, holder, term))

    async def past_terms(self, job: str) -> list[PastTerm]:
        """See `LeaseStore`."""
        return await self._run_in_thread(lambda store: store.past_terms(job), Access.READ)

    async def wait_for_change(self, timeout_s: float) -> None:
        """Returns when the file has changed since the last call, or after `timeout_s`."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        while loop.time() < deadline_s:
            version = await self._run_in_thread(SqliteStore.data_version, Access.READ)
            if version != self._version:
                self._version = version
                return
            await asyncio.sleep(POLL_INTERVAL_S)

    async def close(self) -> None:
        """Closes the file in the threads that opened it, and ends the threads."""
        loop = asyncio.get_running_loop()
        for access, executor in self._executors.items():
            if store := self._stores.get(access):
                await loop.run_in_executor(executor, store.close)
            executor.shutdown(wait=False)
