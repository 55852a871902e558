"""The start cache on disk."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace

import pytest

from glenrock.config import Address
from glenrock.coordination.warm_start.start_cache import StartCache
from glenrock.coordination.warm_start.start_record import decode
from glenrock.net.clock import ManualClock
from glenrock.net.endpoint_rows import EndpointRow
from glenrock.net.server_connections import ServerRegistry
from glenrock.routing import Balancer
from glenrock.routing.interface import EndpointState

from .records import NOW, SETTINGS, TRUST


def build_cache(folder: Path, version: int = 3) -> StartCache:
    entry = EndpointRow("s1", Address("127.0.0.1", 9), EndpointState.READY, zone="a", since_ms=5.0)
    gone = replace(entry, name="s2", state=EndpointState.GONE)
    heard = asyncio.Event()
    heard.set()
    servers = ServerRegistry.__new__(ServerRegistry)
    servers.rows = {"s1": entry, "s2": gone}
    program = SimpleNamespace(
        clock=ManualClock(NOW),
        routing=SimpleNamespace(balancer=Balancer(SETTINGS, 1)),
        endpoints=SimpleNamespace(address=Address("d", 1), newest_version=version, has_answered=heard),
        servers=servers,
    )
    return StartCache(program, folder, "n0", TRUST)


def test_cache_is_written_on_changes_and_periodically_but_not_before_discovery_answered(tmp_path) -> None:
    async def scenario() -> None:
        cache, written = build_cache(tmp_path), []
        write = cache.write
        cache.write = lambda data: (write(data), written.append(decode(data).table["index"]))
        cache._host.endpoints.newest_version = -1
        await cache.write_if_due()
        assert not written and not cache.path.exists()
        for version, later in ((3, 0), (3, 500), (4, 500), (4, 9000), (4, 1000)):
            cache._host.endpoints.newest_version = version
            cache._clock.time_ms += later
            await cache.write_if_due()
        assert written == [3, 4, 4]
        assert [r["name"] for r in decode(cache.path.read_bytes()).table["endpoints"]] == ["s1"]
        assert sorted(p.name for p in tmp_path.iterdir()) == ["glenrock-n0.start"]

    asyncio.run(scenario())


@pytest.mark.parametrize(
    "spoil,why",
    [
        (lambda p: p.write_bytes(p.read_bytes()[:-3]), "is put aside: the digest is wrong"),
        (lambda p: p.write_bytes(b"\0" * 50), "is put aside: not a file of this kind"),
        (lambda p: (p.unlink(), p.mkdir()), "is put aside"),
        (lambda p: p.unlink(), "nothing was kept"),
    ],
)
def test_unusable_cache_is_renamed_and_the_start_continues_without(tmp_path, caplog, spoil, why) -> None:
    async def scenario() -> None:
        cache = build_cache(tmp_path)
        await cache.write_if_due()
        spoil(cache.path)
        next_cache = build_cache(tmp_path)
        assert next_cache.read({"index": 1}) == {"index": 1} and why in next_cache.status
        assert [entry.levelname for entry in caplog.records] == (["WARNING"] if "aside" in why else [])
        for line in caplog.messages:
            assert line.startswith("start cache not usable") and str(next_cache.path) in line
            assert why.partition("aside: ")[2] in line
        await next_cache.write_if_due()
        assert decode(next_cache.path.read_bytes()).table["index"] == 3, "the file is written again"
        assert Path(f"{next_cache.path}.spoilt").exists() is ("aside" in why)

    asyncio.run(scenario())


@pytest.mark.parametrize("how", ["open", "fsync", "replace"])
def test_failed_write_is_logged_and_keeps_the_file(tmp_path, caplog, monkeypatch, how) -> None:
    """The disk is full at any step; a start still reads the old record."""

    async def scenario() -> None:
        cache = build_cache(tmp_path)
        await cache.write_if_due()
        before = cache.path.read_bytes()
        cache._host.endpoints.newest_version = 9
        with monkeypatch.context() as m:

            def full(*_, **__) -> None:
                raise OSError(28, "No space left on device")

            m.setattr("builtins.open" if how == "open" else f"os.{how}", full)
            await cache.write_if_due()
        (line,) = caplog.messages
        assert "start cache not written" in line and str(cache.path) in line and "28, 'No space left" in line
        assert cache.path.read_bytes() == before
        await cache.write_if_due()
        assert decode(cache.path.read_bytes()).table["index"] == 9, "the write is retried"

    asyncio.run(scenario())
