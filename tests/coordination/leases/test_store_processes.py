"""Several processes on one SQLite store, while they are paused and killed."""

from __future__ import annotations

import contextlib
import random
import signal
import sqlite3
import subprocess
import sys
import time
from pathlib import Path

from glenrock.coordination.leases.sqlite_store import SqliteStore

ROOT = Path(__file__).resolve().parents[3]
WORKER = """
import sys, time
from pathlib import Path
from glenrock.coordination.leases.candidate import LeaseCandidate, LeaseRequest, LeaseTiming
from glenrock.coordination.leases.sqlite_store import SqliteStore, StoreUnavailableError, boottime_us
from glenrock.coordination.leases.store import JobRequest
name, path, stop_path = f"{sys.argv[1]}/{boottime_us()}", Path(sys.argv[2]), Path(sys.argv[4])
out = open(sys.argv[3], "a", buffering=1)
timing = LeaseTiming(lease_us=200_000, max_drift_fraction=0.05, request_timeout_us=100_000, retry_interval_us=20_000,
                    unreachable_backoff_us=40_000)
store, candidate, sequence = SqliteStore(path), LeaseCandidate(timing), 0
while not stop_path.exists():
    for action in candidate.tick(boottime_us()):
        if isinstance(action, LeaseRequest):
            try:
                answers = store.submit(name, [JobRequest("job", action)], timing.lease_us)
            except StoreUnavailableError:
                candidate.handle_timeout(boottime_us(), action.sequence)
                continue
            candidate.handle_answer(boottime_us(), action.sequence, answers.granted_term("job"))
    if (term := candidate.current_term(boottime_us())) is not None:
        sequence += 1
        time.sleep(0.02)  # so that a pause may fall between check and write
        is_written = store.put("job", name, term, sequence, {f"{name} {sequence}": name})
        out.write(f"{boottime_us()} {name} {term} {sequence} {int(is_written)}\\n")
    time.sleep(0.002)
"""
WORKER_COUNT = 4
MIN_FAULTS = 10
MIN_RECORDS = 100
MIN_TERMS = 3
MIN_DURATION_S = 7.0
MAX_DURATION_S = 120.0  # on a busy machine the records take longer
PAUSES_S = [0.05, 0.19, 0.21, 0.35]  # well within a lease, just before and just after its end, and far beyond it


class Workers:
    """Processes that request the lease of one job, and write records while they hold it.

    Attributes:
        fault_count: how often a process was paused or killed so far.
    """

    def __init__(self, folder: Path) -> None:
        self.fault_count = 0
        self._random = random.Random(7)
        self._store_path, self._log_path, self._stop_path = folder / "store", folder / "log", folder / "stop"
        self._log_path.touch()
        SqliteStore(self._store_path).close()
        self._processes = {name: self._start(name) for name in (f"w{number}" for number in range(WORKER_COUNT))}

    def _start(self, name: str) -> subprocess.Popen[bytes]:
        paths = [str(path) for path in (self._store_path, self._log_path, self._stop_path)]
        return subprocess.Popen([sys.executable, "-c", WORKER, name, *paths], cwd=ROOT)

    def inject_fault(self) -> None:
        """Pauses or kills a process, more often the holder than another."""
        with contextlib.closing(SqliteStore(self._store_path)) as store:
            holder = store.lease("job").holder.partition("/")[0]
        name = holder if holder and self._random.random() < 0.6 else self._random.choice(sorted(self._processes))
        process = self._processes[name]
        if self._random.random() < 0.3:
            process.kill()
            process.wait()
            self._processes[name] = self._start(name)
        else:
            process.send_signal(signal.SIGSTOP)
            time.sleep(self._random.choice(PAUSES_S))
            process.send_signal(signal.SIGCONT)
        self.fault_count += 1
        time.sleep(0.05 * self._random.random())

    def stop(self) -> None:
        """Tells all processes to end, and waits until they have."""
        self._stop_path.touch()
        for process in self._processes.values():
            process.wait(20)

    def kill(self) -> None:
        """Kills the processes that are still running."""
        for process in self._processes.values():
            process.kill()
            process.wait()

    def records(self) -> list[tuple[int, str]]:
        """Returns the term and the writer of each record, in the order in which they were written."""
        with contextlib.closing(sqlite3.connect(self._store_path)) as connection:
            return connection.execute("SELECT term, value FROM record ORDER BY rowid").fetchall()

    def has_rejected_writes(self) -> bool:
        """Returns whether the store has rejected a write, as the processes log it."""
        return any(line.endswith(" 0") for line in self._log_path.read_text().splitlines())

    def has_enough_work(self) -> bool:
        """Returns whether there were enough faults, records, terms and rejected writes for the final checks."""
        records = self.records()
        terms = {term for term, _ in records}
        is_enough = self.fault_count > MIN_FAULTS and len(records) > MIN_RECORDS and len(terms) > MIN_TERMS
        return is_enough and self.has_rejected_writes()


def test_paused_and_killed_processes_write_in_the_order_of_terms(tmp_path: Path) -> None:
    """Pauses or kills one of four processes at a time, and checks the order of the records in the store."""
    started_s = time.monotonic()
    workers = Workers(tmp_path)
    try:
        time.sleep(1.0)
        while (elapsed_s := time.monotonic() - started_s) < MIN_DURATION_S or (
            elapsed_s < MAX_DURATION_S and not workers.has_enough_work()
        ):
            workers.inject_fault()
        time.sleep(1.0)
        workers.stop()
    finally:
        workers.kill()
    records = workers.records()
    terms = [term for term, _ in records]
    assert workers.fault_count > MIN_FAULTS
    assert len(records) > MIN_RECORDS
    assert len(set(terms)) > MIN_TERMS
    assert terms == sorted(terms), "no record of a lower term follows one of a higher term"
    assert len(set(records)) == len(set(terms)), "a term has one holder"
    assert workers.has_rejected_writes(), (
        "a pause between check and write must have happened, or the test shows nothing"
    )
