"""What is kept for a start: its form, what a start makes of it, and processes that start while the list is silent."""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.coordination.warm_start import start_backoff as starts_part
from glenrock.coordination.warm_start import start_cache as keeper_part
from glenrock.coordination.warm_start.milestones import CountingPollBackoff
from glenrock.coordination.warm_start.start_backoff import MAX_STARTS, BackoffPolicy, StartBackoff
from glenrock.coordination.warm_start.start_cache import StartCache
from glenrock.coordination.warm_start.start_record import (
    MAX_BYTES,
    RecordTrust,
    StartRecord,
    decode,
    encode,
    usable_knowledge,
)
from glenrock.coordination.warm_start.start_report import HEADER, format_report
from glenrock.net.clock import SetClock
from glenrock.net.endpoint_rows import EndpointRow
from glenrock.net.poll_backoff import PollBackoff
from glenrock.net.server_connections import ServerRegistry
from glenrock.routing import Balancer, interface

TRUST = RecordTrust(list_ms=60_000.0, half_ms=10_000.0)
NOW = 1_000_000.0


def row(name: str, since_ms: float = 5.0) -> dict:
    return {
        "name": name,
        "address": "127.0.0.1:9",
        "zone": "a",
        "group": 0,
        "status": "SERVING",
        "weight": 1.0,
        "since_ms": since_ms,
    }


def table(index: int = 7, *names: str) -> dict:
    return {"index": index, "snapshot": True, "endpoints": [row(n) for n in names or ("s1", "s2")]}


def record(**over) -> StartRecord:
    return StartRecord(
        **{"at_ms": NOW, "boot": "b", "discovery": "d:1", "table": table(), "means": {"": (3.0, 40)}, **over}
    )


numbers = st.floats(0, 1e12)
records = st.builds(
    StartRecord,
    numbers,
    st.text(max_size=20),
    st.text(max_size=20),
    st.builds(
        lambda i, names: {"index": i, "snapshot": True, "endpoints": [row(n) for n in names]},
        st.integers(-1, 1 << 53),
        st.lists(st.text(min_size=1, max_size=8), max_size=5),
    ),
    st.dictionaries(st.text(max_size=8), st.tuples(numbers, st.integers(0, 1 << 40)), max_size=4),
)


@given(records)
def test_what_is_written_is_read_back(r: StartRecord) -> None:
    assert decode(encode(r)) == r


@given(records, st.integers(0, 10_000), st.integers(1, 255))
def test_a_file_that_is_cut_or_spoilt_anywhere_is_refused_and_nothing_else_is_raised(r, at: int, change: int) -> None:
    data = encode(r)
    at %= len(data)
    for spoilt in (data[:at], data[:at] + bytes([data[at] ^ change]) + data[at + 1 :]):
        with pytest.raises(ValueError):
            decode(spoilt)


@pytest.mark.parametrize(
    "data,said",
    [
        (b"", "not a file of this kind"),
        (b"x" * (MAX_BYTES + 1), "too large"),
        (encode(record()).replace(b"start 1", b"start 2", 1), "version 2, 1 is known"),
        (encode(record()) + b" ", "the digest is wrong"),
        (encode(record(table={"index": "7", "snapshot": True, "endpoints": []})), "not what it should be"),
        (encode(record(means={"": (float("nan"), 1)})), "not what it should be"),
        (encode(record(means={"": (-1.0, 1)})), "not what it should be"),
    ],
)
def test_what_cannot_be_used_is_said(data: bytes, said: str) -> None:
    with pytest.raises(ValueError, match=said):
        decode(data)


def test_a_record_larger_than_a_start_would_read_is_not_written() -> None:
    with pytest.raises(ValueError, match="at most"):
        encode(record(table=table(1, *(f"s{n:060d}" for n in range(30_000)))))


@pytest.mark.parametrize(
    "known,over,age,names,means",
    [
        ({}, {}, 1000.0, ["s1", "s2"], {"": (3.0, 37)}),
        ({}, {}, 20_000.0, ["s1", "s2"], {"": (3.0, 10)}),
        ({}, {}, 59_000.0, ["s1", "s2"], {"": (3.0, 1)}),
        ({}, {}, 61_000.0, None, {"": (3.0, 1)}),
        ({}, {}, 86_400_000.0, None, {}),
        ({}, {}, -1.0, None, {}),  # the clock went back
        (table(6, "old"), {}, 1000.0, ["s1", "s2"], {"": (3.0, 37)}),
        (table(7, "given"), {}, 1000.0, ["given"], {"": (3.0, 37)}),
        (table(9, "given"), {}, 1000.0, ["given"], {"": (3.0, 37)}),
        (table(6, "given"), {"discovery": "e:1"}, 1000.0, ["given"], {"": (3.0, 37)}),  # versions of two do not compare
        ({"index": 9, "endpoints": []}, {}, 1000.0, ["s1", "s2"], {"": (3.0, 37)}),
        ({"index": "x", "endpoints": [1]}, {}, 1000.0, None, {"": (3.0, 37)}),
    ],
)
def test_what_a_start_uses_of_it(known, over, age, names, means) -> None:
    u = usable_knowledge(record(**over), known, NOW + age, "b", "d:1", TRUST)
    assert u.means == means
    assert u.table == known if names is None else [r["name"] for r in u.table["endpoints"]] == names
    assert u.why


def test_after_a_boot_the_servers_of_an_old_list_are_held_for_cold() -> None:
    u = usable_knowledge(record(), {}, NOW + 1000, "another", "d:1", TRUST)
    assert [r["since_ms"] for r in u.table["endpoints"]] == [NOW + 1000] * 2 and "cold" in u.why
    assert [r["since_ms"] for r in record().table["endpoints"]] == [5.0] * 2, "the record itself is as it was"


SETTINGS = interface.Settings(
    classes=(interface.RequestClass("look", 300_000, 1_500_000), interface.RequestClass("write", 1, 2))
)


def test_loads_that_are_known_again_weigh_less_the_older_they_are() -> None:
    """A class that has become three times as heavy: what was kept fresh holds it up, what is old hardly does."""
    draw, found = random.Random(1), []
    for count in (40, 4):
        b = Balancer(SETTINGS, 1)
        b.connection_loads.restore(
            {"": (2.0, count), "look": (2.0, count), "gone": (9.0, 9), "write": (0.0, 9)}, ["look", "write"]
        )
        assert b.connection_loads.expected("look") == 2.0 and b.connection_loads.expected("write") == 2.0
        assert "gone" not in b.connection_loads.means
        for _ in range(20):
            b.connection_loads.record("look", 6.0 * (0.9 + draw.random() / 5))
        found.append(b.connection_loads.expected("look"))
    assert 2.5 < found[0] < 4.0 < found[1] < 6.0
    b = Balancer(SETTINGS, 1)
    b.connection_loads.record("look", 5.0)
    b.connection_loads.restore({"look": (2.0, 9)}, ["look", "write"])
    assert b.connection_loads.expected("look") == 5.0, "what this process has heard goes before"
    assert b.connection_loads.snapshot() == {"": (5.0, 1), "look": (5.0, 1)}


@pytest.fixture
def said(monkeypatch) -> list[str]:
    """Lines of the log, all of them: standard error gets five of a kind a second."""
    lines: list[str] = []
    for part in (keeper_part, starts_part):
        monkeypatch.setattr(part, "say", lambda kind, text: lines.append(f"{kind}: {text}"))
    return lines


def keeper(folder: Path, version: int = 3) -> StartCache:
    entry = EndpointRow("s1", ("127.0.0.1", 9), interface.EndpointState.READY, zone="a", since_ms=5.0)
    gone = replace(entry, name="s2", state=interface.EndpointState.GONE)
    heard = asyncio.Event()
    heard.set()
    servers = ServerRegistry.__new__(ServerRegistry)
    servers.rows = {"s1": entry, "s2": gone}
    program = SimpleNamespace(
        clock=SetClock(NOW),
        routing=SimpleNamespace(balancer=Balancer(SETTINGS, 1)),
        endpoints=SimpleNamespace(address=("d", 1), newest_version=version, has_answered=heard),
        servers=servers,
    )
    return StartCache(program, folder, "n0", TRUST)


def test_it_is_written_when_the_list_changes_and_now_and_then_and_never_before_discovery_was_heard(tmp_path) -> None:
    async def story() -> None:
        k, written = keeper(tmp_path), []
        write = k.write
        k.write = lambda data: (write(data), written.append(decode(data).table["index"]))
        k._host.endpoints.newest_version = -1
        await k.write_if_due()
        assert not written and not k.path.exists()
        for version, later in ((3, 0), (3, 500), (4, 500), (4, 9000), (4, 1000)):
            k._host.endpoints.newest_version = version
            k._clock.time += later
            await k.write_if_due()
        assert written == [3, 4, 4]
        assert [r["name"] for r in decode(k.path.read_bytes()).table["endpoints"]] == ["s1"]
        assert sorted(p.name for p in tmp_path.iterdir()) == ["glenrock-n0.start"]

    asyncio.run(story())


@pytest.mark.parametrize(
    "spoil,why",
    [
        (lambda p: p.write_bytes(p.read_bytes()[:-3]), "is put aside: the digest is wrong"),
        (lambda p: p.write_bytes(b"\0" * 50), "is put aside: not a file of this kind"),
        (lambda p: (p.unlink(), p.mkdir()), "is put aside"),
        (lambda p: p.unlink(), "nothing was kept"),
    ],
)
def test_a_spoilt_file_is_put_aside_and_the_start_goes_on_without(tmp_path, said, spoil, why) -> None:
    async def story() -> None:
        k = keeper(tmp_path)
        await k.write_if_due()
        spoil(k.path)
        again = keeper(tmp_path)
        assert again.read({"index": 1}) == {"index": 1} and why in again.status
        assert said == ([f"start: {again.status}"] if "aside" in why else [])
        await again.write_if_due()
        assert decode(again.path.read_bytes()).table["index"] == 3, "and it is written anew"
        assert Path(f"{again.path}.spoilt").exists() is ("aside" in why)

    asyncio.run(story())


@pytest.mark.parametrize("how", ["open", "fsync", "replace"])
def test_a_disk_that_cannot_be_written_is_told_and_what_stands_there_stays(tmp_path, said, monkeypatch, how) -> None:
    """Full at any step: a start reads the old record whole."""

    async def story() -> None:
        k = keeper(tmp_path)
        await k.write_if_due()
        before = k.path.read_bytes()
        k._host.endpoints.newest_version = 9
        with monkeypatch.context() as m:

            def full(*_, **__) -> None:
                raise OSError(28, "No space left on device")

            m.setattr("builtins.open" if how == "open" else f"os.{how}", full)
            await k.write_if_due()
        assert len(said) == 1 and f"{k.path} cannot be written: [Errno 28] No space left" in said[0]
        assert k.path.read_bytes() == before
        await k.write_if_due()
        assert decode(k.path.read_bytes()).table["index"] == 9, "tried again"

    asyncio.run(story())


SPACING = BackoffPolicy(sound_ms=8000.0, most_ms=5000.0)


@pytest.mark.parametrize(
    "lives,now,wait",
    [
        ([], 0, 0.0),
        ([0], 100, 0.0),
        ([0], 9000, 0.0),  # the first death costs nothing
        ([0, 100], 200, 500.0),
        ([0, 100, 200], 300, 1000.0),
        ([0, 1, 2, 3], 4, 2000.0),
        ([0, 1, 2, 3, 4], 5, 4000.0),
        ([0, 1, 2, 3, 4, 5], 6, 5000.0),  # bounded
        ([0, 100, 8200], 8300, 0.0),  # a sound life ended the row
        ([0, 7000, 14_000], 21_000, 1000.0),
        ([0, 100], 8200, 0.0),  # the last life was sound
        ([300, 100, 200], 400, 1000.0),  # in any order
        ([10_000, 20_000, 30_000], 100, 0.0),
    ],
)  # the clock went back
def test_a_start_after_lives_that_ended_too_soon_waits(lives, now, wait) -> None:
    assert SPACING.wait_ms([NOW + at for at in lives], NOW + now) == wait


whole = st.integers(0, 1_000_000)


@given(st.lists(whole, max_size=MAX_STARTS), whole, st.integers(1, 100_000), st.integers(1, 100_000))
def test_no_wait_is_longer_than_the_longest_and_none_follows_one_death(lives, now, sound, most) -> None:
    s = BackoffPolicy(sound, most)
    assert 0 <= s.wait_ms(lives, now) <= most
    assert s.wait_ms(lives[:1], now) == 0.0
    oldest = min([at for at in lives if at <= now] + [now])
    assert s.early_deaths([oldest - sound, *lives], now) == s.early_deaths(lives, now), "a sound life ends the row"
    assert s.early_deaths([oldest - sound + 1, *lives], now) >= s.early_deaths(lives, now)


def test_starts_are_counted_over_lives_and_an_end_by_sigterm_is_no_death(tmp_path, said) -> None:
    async def story() -> None:
        clock, waited = SetClock(NOW), []
        stop = asyncio.Event()
        stop.set()  # told to end at once: no start of this test waits in fact
        for n in range(5):
            starts = StartBackoff(tmp_path, "n0", SPACING, clock.now)
            waited.append(SPACING.wait_ms(starts.read(), clock.now()))
            await starts.wait(stop)
            clock.time += 100
            if n == 3:
                starts.record_orderly_end()
        assert waited == [0.0, 0.0, 500.0, 1000.0, 1000.0]
        assert [line.partition(" lives")[0] for line in said] == ["start: 2", "start: 3", "start: 3"]
        dies = StartBackoff(tmp_path, "n0", SPACING, clock.now)
        waiting = asyncio.create_task(dies.wait(asyncio.Event()))
        await asyncio.sleep(0)
        waiting.cancel()
        assert len(starts.read()) == 5, "one that dies while it waits has died as well"
        for _ in range(30):
            starts.write([*starts.read(), clock.now()])
        assert len(starts.read()) == MAX_STARTS

    asyncio.run(story())


def test_a_wait_lasts_its_time_and_ends_when_the_process_is_told_to_end(tmp_path) -> None:
    async def story() -> None:
        clock, stop = SetClock(NOW), asyncio.Event()
        starts = StartBackoff(tmp_path, "n0", BackoffPolicy(1600.0, 60_000.0), clock.now)
        starts.write([NOW - n for n in range(1, 3)])
        loop = asyncio.get_running_loop()
        began = loop.time()
        await starts.wait(stop)
        assert loop.time() - began >= 0.099
        starts.write([NOW - n for n in range(1, 12)])  # 51 s
        waiting = asyncio.create_task(starts.wait(stop))
        await asyncio.sleep(0)
        assert not waiting.done()
        stop.set()
        await asyncio.wait_for(waiting, 5)

    asyncio.run(story())


@pytest.mark.parametrize("data", [b"", b"{}", b'["x"]', b"[1, ", b"\xff"])
def test_starts_that_cannot_be_read_count_as_none_and_are_told(tmp_path, said, data: bytes) -> None:
    starts = StartBackoff(tmp_path, "n0", SPACING, lambda: NOW)
    starts.path.write_bytes(data)
    assert starts.read() == [] and len(said) == 1 and f"{starts.path} is left aside" in said[0]


def view(name: str, begun: float, **over) -> dict:
    start = {
        "begun_ms": begun,
        "waited_ms": 0,
        "ready_ms": begun + 300,
        "heard_ms": begun + 200,
        "served_ms": begun + 900,
        "list": "kept",
        "calls": {"answered": 2, "refused": 0, "failed": 0},
        "first": {"attempts": 9, "up": 8, "refused": 1, "failed": 0},
    }
    return {"name": name, "start": {**start, **over}}


def test_a_report_puts_starts_side_by_side_and_names_who_is_missing() -> None:
    calls = {"answered": 1, "refused": 2, "failed": 3}
    lines = format_report([view("n1", NOW + 500, waited_ms=1250, list="none", calls=calls), view("n0", NOW)])
    assert [line.split() for line in lines[:3]] == [
        list(HEADER),
        "n0 0.00 s - kept 0.30 s 0.20 s 0.90 s 2 9 8 1 0".split(),
        "n1 0.50 s 1.25 s none 0.30 s 0.20 s 0.90 s 1 and 5 not 9 8 1 0".split(),
    ]
    assert lines[3:] == [
        "all doors are open: 0.80 s after the first process began",
        "all have heard the list: 0.70 s after the first process began",
        "all have served: 1.40 s after the first process began",
        "calls for the list: 4.0 a balancer, 2 refused, 3 failed",
    ]
    late = format_report([view("n0", NOW), *(view(f"m{n}", NOW, heard_ms=0, served_ms=0) for n in range(6))])
    assert "all have heard the list: not yet: m0, m1, m2, m3, m4 and more" in late
    assert "all doors are open: 0.30 s after the first process began" in late


def test_calls_for_the_list_are_counted_and_the_pace_is_the_one_that_was() -> None:
    one, other = (PollBackoff(200, True, random.Random(1)) for _ in range(2))
    counted = CountingPollBackoff(one)
    assert (counted.must_poll, counted.watch_timeout_ms, counted.answer_grace_ms) == (
        other.must_poll,
        other.watch_timeout_ms,
        other.answer_grace_ms,
    )
    for _ in range(3):
        assert counted.overload_delay_ms() == other.overload_delay_ms() and counted.retry_delay_ms(
            2
        ) == other.retry_delay_ms(2)
    counted.record_answer()
    other.record_answer()
    assert counted.overload_delay_ms() == other.overload_delay_ms() and counted.first_call_delay_ms(
        False
    ) == other.first_call_delay_ms(False)
    assert (counted.answered, counted.refused, counted.failed) == (1, 4, 3)
