"""Durable files survive a failure of each write, sync and rename, and an interruption after each byte of a write."""

from __future__ import annotations

import errno
import json
import os
from collections.abc import Callable
from io import FileIO
from pathlib import Path
from typing import Literal

import pytest

from glenrock import durable_file
from glenrock.coordination.durable_state import DurableState, DurableStateError
from glenrock.coordination.leases.fence import Fence
from glenrock.coordination.shared_work.override_log import OverrideEntry, OverrideLog
from glenrock.coordination.shared_work.revision import Revision
from glenrock.upgrade import override_file
from glenrock.upgrade.override_file import SharedOverrides

CALLS = ("write", "fsync", "replace")


class FailingCalls:
    """Makes a system call fail from its n-th use, counted from 0, until `recover`.

    Attributes:
        call_count: how often the call was used.
        failure_count: how many of these uses failed.
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, call: str, nth: int, error: int) -> None:
        """Patches the call.

        Args:
            monkeypatch: undoes the patches.
            call: one of `CALLS`.
            nth: the first use that fails.
            error: the errno of the failures.
        """
        self.call_count = 0
        self.failure_count = 0
        self._nth = nth
        self._error = error
        self._has_recovered = False
        if call == "write":
            monkeypatch.setattr(durable_file, "open", self._open, raising=False)
        else:
            monkeypatch.setattr(os, call, self._failing(getattr(os, call)))

    def recover(self) -> None:
        """Lets all further uses succeed."""
        self._has_recovered = True

    def must_fail(self) -> bool:
        """Counts a use. Returns whether it has to fail."""
        self.call_count += 1
        must_fail = self.call_count > self._nth and not self._has_recovered
        self.failure_count += must_fail
        return must_fail

    def failure(self) -> OSError:
        """Returns the error of a use that fails."""
        return OSError(self._error, os.strerror(self._error))

    def _failing(self, real_call: Callable[..., None]) -> Callable[..., None]:
        def call(*arguments: object) -> None:
            if self.must_fail():
                raise self.failure()
            real_call(*arguments)

        return call

    def _open(self, path: Path, mode: Literal["wb"]) -> PartiallyWrittenFile:
        return PartiallyWrittenFile(open(path, mode, buffering=0), self)


class PartiallyWrittenFile:
    """A file opened for writing; a failing write stores half of its data."""

    def __init__(self, file: FileIO, calls: FailingCalls) -> None:
        self._file = file
        self._calls = calls

    def __enter__(self) -> PartiallyWrittenFile:
        return self

    def __exit__(self, *_: object) -> None:
        self._file.close()

    def write(self, data: bytes) -> int:
        """Writes the data, or half of it and raises OSError."""
        if self._calls.must_fail():
            self._file.write(data[: len(data) // 2])
            raise self._calls.failure()
        return self._file.write(data)

    def flush(self) -> None:
        """Flushes the file."""
        self._file.flush()

    def fileno(self) -> int:
        """Returns the descriptor."""
        return self._file.fileno()


def state_of(folder: Path) -> tuple[int, bool | None]:
    """Returns the term and the override of server `s` that a restarted process would read."""
    fence, log = Fence(), OverrideLog()
    DurableState(folder, "n").read(fence, log)
    entry = log.entries.get("s")
    return fence.position("bans").term, entry.is_suspended if entry else None


def temporary_files(folder: Path) -> list[str]:
    """Returns the names of the temporary files that this process left behind."""
    return [path.name for path in folder.iterdir() if str(os.getpid()) in path.name]


def suspended_servers(folder: Path) -> set[str]:
    """Returns the suspended servers of the override file."""
    shared = override_file.read(str(folder))
    assert shared
    return shared.suspended


def suspend(folder: Path, server_id: str, fallback: SharedOverrides) -> None:
    """Suspends a server in the override file; `fallback` is used if there is no valid file."""
    override_file.change_file(str(folder), lambda shared: shared.suspended.add(server_id), fallback, [], 0.0)


def write_state(folder: Path, term: int, is_suspended: bool) -> None:
    """Writes a durable state with the given term and override of server `s`."""
    fence, log = Fence(is_restored=True), OverrideLog()
    fence.check_effect("bans", term, 1)
    log.merge_entry("s", OverrideEntry(is_suspended, Revision(term, 1)))
    state = DurableState(folder, "n")
    state.write(state.snapshot(fence, log))


@pytest.mark.parametrize("error", (errno.ENOSPC, errno.EIO))
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("nth", (0, 1, 2))
def test_failed_write_leaves_the_state_and_a_later_write_succeeds(
    call: str, nth: int, error: int, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    write_state(tmp_path, 3, True)
    with monkeypatch.context() as patched:
        failing = FailingCalls(patched, call, nth, error)
        acknowledged = 3
        for term in (4, 5, 6):
            try:
                write_state(tmp_path, term, term % 2 == 1)
            except OSError:
                # After a rename that succeeded and a sync that failed, the state is in place but not acknowledged.
                assert failing.failure_count and acknowledged <= state_of(tmp_path)[0] <= term
                assert not temporary_files(tmp_path)
            else:
                acknowledged = term
            assert state_of(tmp_path)[1] == (state_of(tmp_path)[0] % 2 == 1), "the state mixes two writes"
        assert failing.failure_count
        failing.recover()
        write_state(tmp_path, 7, True)
    assert state_of(tmp_path) == (7, True)
    assert not temporary_files(tmp_path)


def test_write_interrupted_after_each_byte_leaves_the_previous_state(tmp_path: Path) -> None:
    write_state(tmp_path, 3, True)
    complete = (tmp_path / "glenrock-n.fleet.json").read_bytes()
    for size in range(len(complete)):
        (tmp_path / f"glenrock-n.fleet.json.{os.getpid()}").write_bytes(complete[:size])
        assert state_of(tmp_path) == (3, True)
    write_state(tmp_path, 4, False)
    assert state_of(tmp_path) == (4, False)


def test_truncated_or_damaged_state_is_reported_and_the_previous_one_is_used(tmp_path: Path) -> None:
    write_state(tmp_path, 3, True)
    write_state(tmp_path, 4, False)
    path = tmp_path / "glenrock-n.fleet.json"
    complete = path.read_bytes()
    damaged = complete.replace(b'"bans": [4, 1]', b'"bans": [2, 1]')
    assert damaged != complete
    for data in [complete[:size] for size in range(len(complete))] + [damaged]:
        path.write_bytes(data)
        fence, log = Fence(), OverrideLog()
        with pytest.raises(DurableStateError):
            DurableState(tmp_path, "n").read(fence, log)
        assert not fence.is_restored and fence.position("bans").term == 3 and log.entries["s"].is_suspended
    with pytest.raises(DurableStateError, match="digest"):
        DurableState(tmp_path, "n").read(Fence(), OverrideLog())


@pytest.mark.parametrize("call", ("write", "replace"))
def test_override_that_cannot_be_written_is_not_accepted(
    call: str, tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    overrides = SharedOverrides()
    suspend(tmp_path, "s1", overrides)
    with monkeypatch.context() as patched:
        FailingCalls(patched, call, 0, errno.ENOSPC)
        with pytest.raises(OSError, match=os.strerror(errno.ENOSPC)):
            suspend(tmp_path, "s2", overrides)
    assert suspended_servers(tmp_path) == {"s1"}
    suspend(tmp_path, "s2", overrides)
    assert suspended_servers(tmp_path) == {"s1", "s2"}


def test_previous_override_file_is_readable_if_the_current_one_is_damaged(tmp_path: Path) -> None:
    for server_id in ("s1", "s2"):
        suspend(tmp_path, server_id, SharedOverrides())
    path = tmp_path / override_file.FILE_NAME
    path.write_bytes(path.read_bytes().replace(b'"s2"', b'"s3"'))
    with pytest.raises(override_file.OverrideFileError, match="digest"):
        override_file.read(str(tmp_path))
    previous = override_file.read_previous(str(tmp_path))
    assert previous and previous.suspended == {"s1"}


def test_file_of_an_earlier_version_without_a_digest_is_read(tmp_path: Path) -> None:
    content = {"version": 1, "out": ["s1"], "back": {}, "seen": ["s1"]}
    (tmp_path / override_file.FILE_NAME).write_text(json.dumps(content))
    assert suspended_servers(tmp_path) == {"s1"}
