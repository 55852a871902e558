"""Several processes on one SQLite store."""

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
                granted = store.submit(name, [JobRequest("job", action)], timing.lease_us)["job"]
            except StoreUnavailableError:
                candidate.handle_timeout(boottime_us(), action.sequence)
                continue
            candidate.handle_answer(boottime_us(), action.sequence, granted)
    if (term := candidate.current_term(boottime_us())) is not None:
        sequence += 1
        time.sleep(0.02)  # a suspend may fall between check and write
        is_written = store.put("job", name, term, sequence, {f"{name} {sequence}": name})
        out.write(f"{boottime_us()} {name} {term} {sequence} {int(is_written)}\\n")
    time.sleep(0.002)
"""


MIN_FAULTS = 10
MIN_RECORDS = 100
MIN_TERMS = 3
MIN_DURATION_S = 7.0
MAX_DURATION_S = 120.0  # on a busy machine the records take longer


def has_enough_work(db: Path, log: Path, faults: int) -> bool:
    """Returns whether there are enough faults, records, terms and rejected late writes for the checks."""
    with contextlib.closing(sqlite3.connect(db)) as direct:
        records, terms = direct.execute("SELECT COUNT(*), COUNT(DISTINCT term) FROM record").fetchone()
    has_rejection = any(line.endswith(" 0") for line in log.read_text().splitlines())
    return faults > MIN_FAULTS and records > MIN_RECORDS and terms > MIN_TERMS and has_rejection


def test_suspended_and_killed_processes_write_in_the_order_of_terms(tmp_path) -> None:
    """Suspends or kills one of four processes at a time; the store's own order of records is checked."""
    random_source, started_s = random.Random(7), time.monotonic()
    log, db, stop = tmp_path / "log", tmp_path / "store", tmp_path / "stop"
    log.touch()
    SqliteStore(db).close()

    def start(name: str) -> subprocess.Popen[bytes]:
        return subprocess.Popen(
            [sys.executable, "-c", WORKER, name, str(db), str(log), str(stop)], cwd=Path(__file__).resolve().parents[3]
        )

    workers = {f"w{n}": start(f"w{n}") for n in range(4)}
    faults = 0
    try:
        time.sleep(1.0)
        while (elapsed_s := time.monotonic() - started_s) < MIN_DURATION_S or (
            elapsed_s < MAX_DURATION_S and not has_enough_work(db, log, faults)
        ):
            with contextlib.closing(SqliteStore(db)) as store:
                holder = store.lease("job").holder.partition("/")[0]
            name = holder if holder and random_source.random() < 0.6 else random_source.choice(sorted(workers))
            if random_source.random() < 0.3:
                workers[name].kill()
                workers[name].wait()
                workers[name] = start(name)
            else:
                workers[name].send_signal(signal.SIGSTOP)
                time.sleep(random_source.choice([0.05, 0.19, 0.21, 0.35]))  # near the end of a lease, and past it
                workers[name].send_signal(signal.SIGCONT)
            faults += 1
            time.sleep(0.05 * random_source.random())
        time.sleep(1.0)
        stop.touch()
        for worker in workers.values():
            worker.wait(20)
    finally:
        for worker in workers.values():
            worker.kill()
            worker.wait()
    with sqlite3.connect(db) as direct:
        written = direct.execute("SELECT term, value FROM record ORDER BY rowid").fetchall()
    terms = [term for term, _ in written]
    assert faults > MIN_FAULTS and len(written) > MIN_RECORDS and len(set(terms)) > MIN_TERMS
    assert terms == sorted(terms), "no record of a lower term follows one of a higher term"
    assert len(set(written)) == len(set(terms)), "a term has one holder"
    attempts = [line.split() for line in log.read_text().splitlines()]
    assert any(is_written == "0" for *_, is_written in attempts), (
        "the store rejected some late writes, else the test shows nothing"
    )
