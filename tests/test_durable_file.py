"""Durable files: each write, sync and rename fails in turn, and a write is interrupted after each byte."""

from __future__ import annotations

import errno
import json
import os
from collections.abc import Callable
from pathlib import Path

import pytest

from glenrock import durable_file
from glenrock.coordination.durable_state import DurableState, DurableStateError
from glenrock.coordination.leases.fence import Fence
from glenrock.coordination.shared_work.override_log import OverrideEntry, OverrideLog
from glenrock.upgrade import override_file
from glenrock.upgrade.override_file import SharedOverrides

CALLS = ("write", "fsync", "replace")


class FailingCalls:
    """Makes a system call fail from its n-th use, counted from 0, until `recover`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, call: str, nth: int, error: int) -> None:
        self.count, self.failed = 0, 0
        self._nth, self._error, self._has_recovered = nth, error, False
        for name in ("fsync", "replace"):
            monkeypatch.setattr(durable_file.os, name, self._wrap(name == call, getattr(os, name)))
        if call == "write":
            monkeypatch.setattr(durable_file, "open", self._open, raising=False)

    def recover(self) -> None:
        self._has_recovered = True

    def _must_fail(self) -> bool:
        self.count += 1
        must_fail = self.count > self._nth and not self._has_recovered
        self.failed += must_fail
        return must_fail

    def _wrap(self, is_chosen: bool, real: Callable) -> Callable:
        def call(*args):
            if is_chosen and self._must_fail():
                raise OSError(self._error, os.strerror(self._error))
            return real(*args)

        return call

    def _open(self, path, mode):
        file = open(path, mode, buffering=0)  # noqa: SIM115 - the caller closes it
        real = file.write

        class FileWithPartialWrites:
            def __enter__(inner):
                return inner

            def __exit__(inner, *_):
                file.close()

            def write(inner, data):
                if self._must_fail():
                    real(data[: len(data) // 2])
                    raise OSError(self._error, os.strerror(self._error))
                return real(data)

            def flush(inner):
                file.flush()

            def fileno(inner):
                return file.fileno()

        return FileWithPartialWrites()


def state_of(folder: Path) -> tuple[int, bool | None]:
    """Returns the term and the override that a start reads."""
    fence, log = Fence(), OverrideLog()
    DurableState(folder, "n").read(fence, log)
    entry = log.entries.get("s")
    return fence.position("bans").term, entry.is_suspended if entry else None


def temporary_files(folder: Path) -> list[str]:
    return [path.name for path in folder.iterdir() if str(os.getpid()) in path.name]


def write_state(folder: Path, term: int, is_suspended: bool) -> None:
    fence, log = Fence(is_restored=True), OverrideLog()
    fence.check_effect("bans", term, 1)
    log.merge_entry("s", OverrideEntry(is_suspended, (term, 1)))
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
                # A state whose rename succeeded and whose sync failed may be in place; it was not acknowledged.
                assert failing.failed and acknowledged <= state_of(tmp_path)[0] <= term
                assert not temporary_files(tmp_path)
            else:
                acknowledged = term
            assert state_of(tmp_path)[1] == (state_of(tmp_path)[0] % 2 == 1), "a record is complete"
        assert failing.failed
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


def test_truncated_or_damaged_state_is_reported_and_the_previous_one_counts(tmp_path: Path) -> None:
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
    folder, overrides = str(tmp_path), SharedOverrides()
    override_file.exchange(folder, lambda shared: shared.suspended.add("s1"), overrides, [], 0.0)
    with monkeypatch.context() as patched:
        FailingCalls(patched, call, 0, errno.ENOSPC)
        with pytest.raises(OSError):
            override_file.exchange(folder, lambda shared: shared.suspended.add("s2"), overrides, [], 0.0)
    assert override_file.read(folder).suspended == {"s1"}
    override_file.exchange(folder, lambda shared: shared.suspended.add("s2"), overrides, [], 0.0)
    assert override_file.read(folder).suspended == {"s1", "s2"}


def test_previous_override_file_is_readable_if_the_present_one_is_damaged(tmp_path: Path) -> None:
    folder = str(tmp_path)
    for name in ("s1", "s2"):
        override_file.exchange(folder, lambda shared, name=name: shared.suspended.add(name), SharedOverrides(), [], 0.0)
    path = tmp_path / override_file.FILE_NAME
    path.write_bytes(path.read_bytes().replace(b'"s2"', b'"s3"'))
    with pytest.raises(override_file.OverrideFileError, match="digest"):
        override_file.read(folder)
    assert override_file.read_previous(folder).suspended == {"s1"}


def test_file_of_an_earlier_version_without_a_digest_is_read(tmp_path: Path) -> None:
    content = {"version": 1, "out": ["s1"], "back": {}, "seen": ["s1"]}
    (tmp_path / override_file.FILE_NAME).write_text(json.dumps(content))
    assert override_file.read(str(tmp_path)).suspended == {"s1"}
