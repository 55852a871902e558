"""The SQLite store's calls, with a clock of the test."""

from __future__ import annotations

import sqlite3

import pytest

from glenrock.coordination.leases.sqlite_store import SqliteStore
from glenrock.coordination.leases.store import Record, StoreUnavailableError


class Clock:
    now = 1_000_000

    def __call__(self) -> int:
        return self.now


def test_leases_expire_terms_grow_and_records_require_the_term(tmp_path) -> None:
    clock = Clock()
    store = SqliteStore(tmp_path / "s", now_us=clock, boot="one")
    assert store.acquire("job", "a", 1, 1000) == 1 and store.acquire("job", "b", 1, 1000) == 0
    assert store.put("job", "a", 1, 1, {"k": "old"}) and not store.put("job", "b", 1, 1, {"k": "x"})
    clock.now += 999
    assert store.renew("job", "a", 2, 1, 1000) == 1 and store.acquire("job", "b", 2, 1000) == 0
    clock.now += 1000
    assert store.renew("job", "a", 3, 1, 1000) == 0 and not store.put("job", "a", 1, 2, {"k": "late"})
    assert store.acquire("job", "b", 3, 1000, term_floor=5) == 6
    store.release("job", "a", 4, 1)
    assert store.lease("job").holder == "b" and store.records("job") == {"k": Record("old", 1, 1)}
    store.release("job", "b", 4, 6)
    assert store.acquire("job", "a", 5, 1000) == 7, "a released lease is free at once"
    other = SqliteStore(tmp_path / "s", now_us=clock, boot="two")
    assert other.lease("job").holder == "" and other.acquire("job", "b", 1, 1000) == 8, (
        "leases of an earlier boot are void"
    )


def test_requests_of_a_holder_are_accepted_in_order(tmp_path) -> None:
    # A release and an acquire that were given up arrive after the acquire sent in their place.
    store = SqliteStore(tmp_path / "s", now_us=Clock(), boot="one")
    assert store.acquire("job", "a", 3, 1000) == 1
    store.release("job", "a", 2, 1)
    assert store.acquire("job", "a", 1, 1000) == 0 and store.lease("job").holder == "a" and store.lease("job").term == 1


def test_expired_lease_is_free_after_the_lock_delay(tmp_path) -> None:
    clock = Clock()
    store = SqliteStore(tmp_path / "s", lock_delay_us=500, now_us=clock, boot="one")
    store.acquire("job", "a", 1, 1000)
    clock.now += 1400
    assert store.acquire("job", "b", 1, 1000) == 0
    clock.now += 200
    assert store.acquire("job", "b", 2, 1000) == 2


def test_unusable_store_raises_store_unavailable(tmp_path) -> None:
    with pytest.raises(StoreUnavailableError, match="no/such"):
        SqliteStore(tmp_path / "no/such/folder")
    store = SqliteStore(tmp_path / "s")
    lock = sqlite3.connect(tmp_path / "s", isolation_level=None)
    lock.execute("BEGIN IMMEDIATE")
    with pytest.raises(StoreUnavailableError):
        store.acquire("job", "a", 1, 1000)
    lock.execute("ROLLBACK")
    assert store.acquire("job", "a", 1, 1000) == 1
