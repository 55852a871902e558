"""The start cache: when its file is written, and what a start does without a usable file."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import NoReturn

import pytest

from glenrock.config import Address
from glenrock.coordination.warm_start.start_cache import StartCache
from glenrock.coordination.warm_start.start_record import decode, table_version
from glenrock.net.clock import ManualClock
from glenrock.net.descriptor_budget import DescriptorBudget
from glenrock.net.endpoint_watcher import EndpointWatcher
from glenrock.net.metrics import ConnectionMetrics
from glenrock.net.poll_backoff import PollBackoff
from glenrock.net.routing_actor import RoutingActor
from glenrock.net.server_connections import ServerRegistry
from glenrock.net.start_times import StartTimes
from glenrock.routing.interface import EndpointState

from ..rig import FakeHost
from .records import NOW_MS, ROW, SETTINGS, VALIDITY


class RecordingCache(StartCache):
    """A start cache that records what it writes.

    Attributes:
        versions: of the lists written, in order.
    """

    def __init__(self, host: FakeHost, folder: Path) -> None:
        super().__init__(host, folder, "n0", VALIDITY)
        self.versions: list[int] = []

    def write(self, data: bytes) -> None:
        """Writes the file, and records the version of its list."""
        super().write(data)
        self.versions.append(table_version(decode(data).table))


@dataclass
class CacheRig:
    """A start cache, and the parts of its balancer that a test changes."""

    clock: ManualClock
    endpoints: EndpointWatcher
    cache: RecordingCache


def build_cache(folder: Path) -> CacheRig:
    """Returns the start cache of a balancer whose list, of version 3, has a ready server and a removed one."""
    clock = ManualClock(NOW_MS)
    host = FakeHost(clock=clock)
    host.routing = RoutingActor(SETTINGS, 1, clock)
    host.endpoints = EndpointWatcher(
        address=Address("d", 1),
        clock=clock,
        on_endpoints=lambda kind, rows: None,
        on_failure=lambda: None,
        backoff=PollBackoff(1, False, random.Random(1)),
    )
    host.endpoints.newest_version = 3
    host.endpoints.has_answered.set()
    host.servers = ServerRegistry(
        clock, 100.0, host.routing.post, ConnectionMetrics([]), DescriptorBudget(100), StartTimes(clock, 0.0)
    )
    host.servers.rows = {"s1": ROW, "s2": replace(ROW, name="s2", state=EndpointState.GONE)}
    return CacheRig(clock, host.endpoints, RecordingCache(host, folder))


def test_cache_is_written_on_changes_and_periodically_but_not_before_discovery_answered(tmp_path: Path) -> None:
    async def scenario() -> None:
        rig = build_cache(tmp_path)
        cache = rig.cache
        rig.endpoints.newest_version = -1
        await cache.write_if_due()
        assert not cache.versions
        assert not cache.path.exists()
        for version, later_ms in ((3, 0), (3, 500), (4, 500), (4, 9000), (4, 1000)):
            rig.endpoints.newest_version = version
            rig.clock.time_ms += later_ms
            await cache.write_if_due()
        assert cache.versions == [3, 4, 4]

    asyncio.run(scenario())
    (path,) = tmp_path.iterdir()
    assert path.name == "glenrock-n0.start"
    assert [row["name"] for row in decode(path.read_bytes()).table["endpoints"]] == ["s1"]


def truncate(path: Path) -> None:
    """Removes the file's last bytes."""
    path.write_bytes(path.read_bytes()[:-3])


def fill_with_zeros(path: Path) -> None:
    """Replaces the file's content with zeros."""
    path.write_bytes(b"\0" * 50)


def replace_by_folder(path: Path) -> None:
    """Replaces the file with a folder."""
    path.unlink()
    path.mkdir()


@pytest.mark.parametrize(
    "damage, status",
    [
        (truncate, "is renamed: wrong digest"),
        (fill_with_zeros, "is renamed: not a start cache file"),
        (replace_by_folder, "is renamed"),
        (Path.unlink, "no cache file"),
    ],
)
def test_unusable_cache_is_renamed_and_the_start_continues_without(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, damage: Callable[[Path], None], status: str
) -> None:
    is_unusable = "renamed" in status

    async def scenario() -> None:
        cache = build_cache(tmp_path).cache
        await cache.write_if_due()
        damage(cache.path)
        next_cache = build_cache(tmp_path).cache
        assert next_cache.read({"index": 1}) == {"index": 1}
        assert status in next_cache.status
        assert [record.levelname for record in caplog.records] == (["WARNING"] if is_unusable else [])
        for line in caplog.messages:
            assert line.startswith("start cache not usable")
            assert str(next_cache.path) in line
            assert status.partition("renamed: ")[2] in line
        await next_cache.write_if_due()
        assert table_version(decode(next_cache.path.read_bytes()).table) == 3, "the file is written again"

    asyncio.run(scenario())
    assert (tmp_path / "glenrock-n0.start.spoilt").exists() is is_unusable


def raise_disk_full(*_: object, **__: object) -> NoReturn:
    """Raises the error of a system call on a full disk."""
    raise OSError(28, "No space left on device")


@pytest.mark.parametrize("call", ["builtins.open", "os.fsync", "os.replace"])
def test_failed_write_is_logged_and_keeps_the_file(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch, call: str
) -> None:
    """The disk is full when the file is opened, synced or renamed; a start can still read the previous record."""

    async def scenario() -> None:
        rig = build_cache(tmp_path)
        cache = rig.cache
        await cache.write_if_due()
        before = cache.path.read_bytes()
        rig.endpoints.newest_version = 9
        with monkeypatch.context() as patch:
            patch.setattr(call, raise_disk_full)
            await cache.write_if_due()
        (line,) = caplog.messages
        assert "start cache not written" in line
        assert str(cache.path) in line
        assert "28, 'No space left" in line
        assert cache.path.read_bytes() == before
        await cache.write_if_due()
        assert table_version(decode(cache.path.read_bytes()).table) == 9, "the write is retried"

    asyncio.run(scenario())
