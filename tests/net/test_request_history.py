"""The table of request ids, as two processes of an upgrade share it."""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import pytest

from glenrock.net import request_history
from glenrock.net.request_history import BUCKET_ENTRIES, FILE_NAME, RETENTION_MS, RequestHistory


class Time:
    """A clock that a test sets."""

    now_ms = 1000.0

    def read(self) -> float:
        """Returns the time."""
        return self.now_ms


def test_id_is_known_to_both_processes_until_it_is_forgotten(tmp_path: Path) -> None:
    one, other = RequestHistory(str(tmp_path)), RequestHistory(str(tmp_path))
    assert one.claim("x") and not one.claim("x") and not other.claim("x")
    other.keep("y")
    assert one.is_known("y") and not one.claim("y")
    one.forget("x")
    assert other.claim("x")


def test_id_is_free_after_the_retention_and_after_a_new_start_of_the_machine() -> None:
    time = Time()
    history = RequestHistory(now_ms=time.read)
    history.keep("x")
    time.now_ms += RETENTION_MS - 1
    assert not history.claim("x")
    time.now_ms += 1
    assert history.claim("x")
    time.now_ms = 500.0  # the clock has begun anew
    assert history.claim("x")


def test_full_bucket_replaces_the_id_that_was_used_longest_ago(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(request_history, "BUCKETS", 1)
    time = Time()
    history = RequestHistory(now_ms=time.read)
    for number in range(BUCKET_ENTRIES + 1):
        time.now_ms += 1
        assert history.claim(f"x{number}")
    assert not history.is_known("x0")
    assert all(history.is_known(f"x{number}") for number in range(1, BUCKET_ENTRIES + 1))


def test_id_cannot_be_claimed_while_the_other_process_holds_the_lock(tmp_path: Path) -> None:
    """The other process may be paused: no time is spent on waiting, and the request is not sent."""
    history = RequestHistory(str(tmp_path))
    descriptor = os.open(tmp_path / FILE_NAME, os.O_RDWR)
    fcntl.flock(descriptor, fcntl.LOCK_EX)
    assert not history.claim("x")
    os.close(descriptor)
    assert history.claim("x")
