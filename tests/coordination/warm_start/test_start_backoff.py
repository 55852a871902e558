"""The start backoff: the delay of a start after repeated crashes."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.coordination.warm_start.start_backoff import MAX_STARTS, BackoffPolicy, StartBackoff
from glenrock.net.clock import ManualClock

from .records import NOW_MS

POLICY = BackoffPolicy(min_lifetime_ms=8000.0, max_delay_ms=5000.0)


@pytest.mark.parametrize(
    "starts_ms, now_ms, delay_ms",
    [
        ([], 0, 0.0),
        ([0], 100, 0.0),
        ([0], 9000, 0.0),  # the first crash causes no delay
        ([0, 100], 200, 500.0),
        ([0, 100, 200], 300, 1000.0),
        ([0, 1, 2, 3], 4, 2000.0),
        ([0, 1, 2, 3, 4], 5, 4000.0),
        ([0, 1, 2, 3, 4, 5], 6, 5000.0),  # the longest delay
        ([0, 100, 8200], 8300, 0.0),  # crashes before an incarnation that ran long do not count
        ([0, 7000, 14_000], 21_000, 1000.0),
        ([0, 100], 8200, 0.0),  # the last incarnation ran long
        ([300, 100, 200], 400, 1000.0),  # start times in any order
        ([10_000, 20_000, 30_000], 100, 0.0),  # start times in the future: the clock was set back
    ],
)
def test_start_delay_after_crashes(starts_ms: list[int], now_ms: int, delay_ms: float) -> None:
    assert POLICY.delay_ms([NOW_MS + start_ms for start_ms in starts_ms], NOW_MS + now_ms) == delay_ms


times_ms = st.integers(0, 1_000_000)
durations_ms = st.integers(1, 100_000)


@given(st.lists(times_ms, max_size=MAX_STARTS), times_ms, durations_ms, durations_ms)
def test_delay_is_bounded_and_one_crash_causes_none(
    starts_ms: list[int], now_ms: int, min_lifetime_ms: int, max_delay_ms: int
) -> None:
    policy = BackoffPolicy(min_lifetime_ms, max_delay_ms)
    assert 0 <= policy.delay_ms(starts_ms, now_ms) <= max_delay_ms
    assert policy.delay_ms(starts_ms[:1], now_ms) == 0.0
    crashes = policy.recent_crashes(starts_ms, now_ms)
    oldest_ms = min([start_ms for start_ms in starts_ms if start_ms <= now_ms] + [now_ms])
    long_before_ms = oldest_ms - min_lifetime_ms
    assert policy.recent_crashes([long_before_ms, *starts_ms], now_ms) == crashes, (
        "an incarnation that ran long ends the series"
    )
    assert policy.recent_crashes([long_before_ms + 1, *starts_ms], now_ms) >= crashes


def test_delay_grows_with_crashes_and_a_graceful_exit_is_not_a_crash(
    tmp_path: Path, caplog: pytest.LogCaptureFixture
) -> None:
    async def scenario() -> None:
        clock = ManualClock(NOW_MS)
        delays_ms: list[float] = []
        stop = asyncio.Event()
        stop.set()  # so that no start in this test waits
        for number in range(5):
            starts = StartBackoff(tmp_path, "n0", POLICY, clock.now_ms)
            delays_ms.append(POLICY.delay_ms(starts.read(), clock.now_ms()))
            await starts.wait(stop)
            clock.time_ms += 100
            if number == 3:
                starts.record_graceful_exit()
        assert delays_ms == [0.0, 0.0, 500.0, 1000.0, 1000.0]
        prefix = "start delayed after repeated crashes crashes="
        logged = [line.partition(" sound_ms")[0] for line in caplog.messages]
        assert logged == [f"{prefix}{crashes}" for crashes in (2, 3, 3)]
        crashing = StartBackoff(tmp_path, "n0", POLICY, clock.now_ms)
        waiting = asyncio.create_task(crashing.wait(asyncio.Event()))
        await asyncio.sleep(0)
        waiting.cancel()
        assert len(starts.read()) == 5, "a crash during the delay counts"
        for _ in range(30):
            starts.write([*starts.read(), clock.now_ms()])
        assert len(starts.read()) == MAX_STARTS

    asyncio.run(scenario())


def test_start_is_delayed_for_the_whole_delay_or_until_the_process_stops(tmp_path: Path) -> None:
    async def scenario() -> None:
        clock, stop = ManualClock(NOW_MS), asyncio.Event()
        starts = StartBackoff(tmp_path, "n0", BackoffPolicy(1600.0, 60_000.0), clock.now_ms)
        starts.write([NOW_MS - age_ms for age_ms in range(1, 3)])
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        await starts.wait(stop)
        assert loop.time() - started_s >= 0.099
        starts.write([NOW_MS - age_ms for age_ms in range(1, 12)])  # 10 crashes above the first: the delay is 51 s
        waiting = asyncio.create_task(starts.wait(stop))
        await asyncio.sleep(0)
        assert not waiting.done()
        stop.set()
        await asyncio.wait_for(waiting, 5)

    asyncio.run(scenario())


@pytest.mark.parametrize("data", [b"", b"{}", b'["x"]', b"[1, ", b"\xff"])
def test_unreadable_file_of_start_times_is_logged_and_ignored(
    tmp_path: Path, caplog: pytest.LogCaptureFixture, data: bytes
) -> None:
    starts = StartBackoff(tmp_path, "n0", POLICY, lambda: NOW_MS)
    starts.path.write_bytes(data)
    assert starts.read() == []
    (line,) = caplog.messages
    assert "start times not readable" in line
    assert str(starts.path) in line
