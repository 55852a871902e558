"""The blocking calls of the SQLite store, with a clock that the test sets."""

from __future__ import annotations

import sqlite3
from dataclasses import dataclass
from pathlib import Path

import pytest

from glenrock.coordination.leases.sqlite_store import SqliteStore
from glenrock.coordination.leases.store import Record, StoreUnavailableError

LEASE_US = 1000


@dataclass
class SettableClock:
    """A clock in microseconds that the test sets."""

    now_us: int = 1_000_000

    def __call__(self) -> int:
        """Returns the time."""
        return self.now_us


def test_leases_expire_terms_grow_and_records_require_the_term(tmp_path: Path) -> None:
    clock = SettableClock()
    store = SqliteStore(tmp_path / "s", now_us=clock, boot_id="one")
    assert store.acquire("job", "a", 1, LEASE_US) == 1
    assert store.acquire("job", "b", 1, LEASE_US) == 0
    assert store.put("job", "a", 1, 1, {"k": "old"})
    assert not store.put("job", "b", 1, 1, {"k": "x"})
    clock.now_us += LEASE_US - 1
    assert store.renew("job", "a", 2, 1, LEASE_US) == 1
    assert store.acquire("job", "b", 2, LEASE_US) == 0
    clock.now_us += LEASE_US
    assert store.renew("job", "a", 3, 1, LEASE_US) == 0
    assert not store.put("job", "a", 1, 2, {"k": "late"})
    assert store.acquire("job", "b", 3, LEASE_US, term_floor=5) == 6
    store.release("job", "a", 4, 1)
    assert store.lease("job").holder == "b"
    assert store.records("job") == {"k": Record("old", 1, 1)}
    store.release("job", "b", 4, 6)
    assert store.acquire("job", "a", 5, LEASE_US) == 7, "a released lease is free at once"
    after_boot = SqliteStore(tmp_path / "s", now_us=clock, boot_id="two")
    assert after_boot.lease("job").holder == "", "leases of an earlier boot are void"
    assert after_boot.acquire("job", "b", 1, LEASE_US) == 8


def test_requests_of_a_holder_are_accepted_in_order(tmp_path: Path) -> None:
    # Requests 1 and 2 arrive late, after their sender timed out and sent request 3 in their place.
    store = SqliteStore(tmp_path / "s", now_us=SettableClock(), boot_id="one")
    assert store.acquire("job", "a", 3, LEASE_US) == 1
    store.release("job", "a", 2, 1)
    assert store.acquire("job", "a", 1, LEASE_US) == 0
    lease = store.lease("job")
    assert (lease.holder, lease.term) == ("a", 1)


def test_expired_lease_is_free_after_the_lock_delay(tmp_path: Path) -> None:
    clock = SettableClock()
    store = SqliteStore(tmp_path / "s", lock_delay_us=500, now_us=clock, boot_id="one")
    store.acquire("job", "a", 1, LEASE_US)
    clock.now_us += 1400
    assert store.acquire("job", "b", 1, LEASE_US) == 0
    clock.now_us += 200
    assert store.acquire("job", "b", 2, LEASE_US) == 2


def test_unusable_store_raises_store_unavailable(tmp_path: Path) -> None:
    with pytest.raises(StoreUnavailableError, match="no/such"):
        SqliteStore(tmp_path / "no/such/folder")
    store = SqliteStore(tmp_path / "s")
    other_writer = sqlite3.connect(tmp_path / "s", isolation_level=None)
    other_writer.execute("BEGIN IMMEDIATE")
    with pytest.raises(StoreUnavailableError):
        store.acquire("job", "a", 1, LEASE_US)
    other_writer.execute("ROLLBACK")
    assert store.acquire("job", "a", 1, LEASE_US) == 1
