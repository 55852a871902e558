"""Ages of servers under a wall clock that is stepped: before the start, while this process runs, here or everywhere."""

from __future__ import annotations

import asyncio
import time

import pytest
import uvloop

from glenrock.net.clock import SetClock
from glenrock.net.endpoint_rows import EndpointRow
from glenrock.net.start_times import REPORT_DELAY_MS, StartTimes
from glenrock.routing.interface import EndpointState
from glenrock.testbed.endpoint_directory import EndpointStatus
from glenrock.testbed.testbed import FleetShape, Testbed

NOW, SLOW, HOUR = 1_700_000_000_000.0, 5000.0, 3_600_000.0


class Machine:
    """A process's clock beside a wall clock that may be stepped."""

    def __init__(self, ahead_ms: float = 0.0) -> None:
        self.true_ms, self.step_ms = NOW, 0.0
        self.clock = SetClock(NOW + ahead_ms)
        self.ahead_ms = ahead_ms
        self.times = StartTimes(self.clock, SLOW, lambda: self.true_ms + self.ahead_ms + self.step_ms)

    def run(self, ms: float) -> None:
        self.true_ms += ms
        self.clock.advance(ms)

    def ages(self, **since_ms: float) -> dict[str, float]:
        rows = [
            EndpointRow(name, ("127.0.0.1", 9), EndpointState.READY, since_ms=at_ms) for name, at_ms in since_ms.items()
        ]
        return {
            row.name: self.clock.now() - started_ms if started_ms else float("inf")
            for row, started_ms in zip(rows, self.times.started_ms(rows), strict=True)
        }


@pytest.mark.parametrize("ahead_ms", (0.0, 10_000.0, HOUR, -10_000.0, -HOUR))
def test_a_start_in_the_first_list_is_no_older_than_it_can_be_and_warms_up_in_time(ahead_ms: float) -> None:
    machine = Machine(ahead_ms)
    ages = machine.ages(a=0, b=0, c=NOW - 1000, d=NOW - 3 * HOUR, e=NOW - 3 * HOUR)
    assert ages["a"] == float("inf") and ages["d"] > SLOW
    assert 0 <= ages["c"] <= 1000
    machine.run(SLOW)
    assert machine.ages(c=NOW - 1000)["c"] >= SLOW


@pytest.mark.parametrize("ahead_ms", (0.0, 10_000.0, HOUR, -HOUR))
@pytest.mark.parametrize("step_ms", (0.0, 7000.0, -7000.0, HOUR, -HOUR))
@pytest.mark.parametrize("everywhere", (True, False))
def test_a_start_that_is_news_is_young_whatever_the_clocks_show(
    ahead_ms: float, step_ms: float, everywhere: bool
) -> None:
    machine = Machine(ahead_ms)
    machine.ages(a=0)
    machine.times.record_answer()
    machine.run(60_000)
    machine.times.record_answer()
    machine.step_ms = step_ms
    machine.run(2000)  # it started right after the last answer
    since_ms = machine.true_ms - 2000 + (step_ms if everywhere else 0)
    age = machine.ages(n=since_ms)["n"]
    assert 0 <= age <= 2000 + REPORT_DELAY_MS
    if not ahead_ms:
        assert age <= 2000
    machine.run(SLOW)
    machine.times.record_answer()
    assert machine.ages(n=since_ms)["n"] == age + SLOW, "told again it is no news"


def test_a_fleet_that_started_together_long_ago_is_warm_at_the_start() -> None:
    machine = Machine()
    ages = machine.ages(**{f"s{n}": NOW - HOUR + n for n in range(9)})
    assert all(age > SLOW for age in ages.values())


@pytest.mark.parametrize("step_s", (3600, -3600, 20, -20))
@pytest.mark.parametrize("when", ("before the start", "while it runs"))
def test_a_real_process_whose_clock_is_stepped_serves_and_ends_in_time(step_s: int, when: str) -> None:
    async def play() -> None:
        async with Testbed(FleetShape(servers=10)) as bed:
            faults = bed.prepare_call_faults(0)
            bed.directory.set_status(["s-00000001"], EndpointStatus.SERVING, since_ms=time.time() * 1000)
            if when == "before the start":
                faults.step_clock(step_s)
            await bed.start_balancers()
            clients = [bed.start_client(0, stays_s=20.0) for _ in range(10)]
            assert await bed.wait_until(lambda: all(client.up.is_set() for client in clients), 5.0)
            if when == "while it runs":
                faults.step_clock(step_s)
            bed.directory.set_status(["s-00000002"], EndpointStatus.SERVING, since_ms=time.time() * 1000)
            late = [bed.start_client(0, stays_s=20.0) for _ in range(10)]
            assert await bed.wait_until(lambda: all(client.up.is_set() for client in late), 3.0)
            asked_s = time.monotonic()
            bed.processes[0].send_signal(15)
            assert await bed.wait_until(lambda: not bed.processes[0].is_running, 3.7)
            assert time.monotonic() - asked_s > 2.0 and bed.processes[0].exit_code == 0
            assert all(client.request.is_migrated for client in [*clients, *late])
            faults.close()

    uvloop.run(asyncio.wait_for(play(), 30))
