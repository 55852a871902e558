"""Ages of servers when clocks are stepped: before the start or later, on this machine or on all machines."""

from __future__ import annotations

import asyncio
import signal
import time

import pytest
import uvloop

from glenrock.config import Address
from glenrock.net.clock import ManualClock
from glenrock.net.endpoint_rows import EndpointRow
from glenrock.net.start_times import REPORT_DELAY_MS, StartTimes
from glenrock.routing.interface import EndpointState
from glenrock.testbed.endpoint_directory import EndpointStatus
from glenrock.testbed.testbed import FleetShape, Testbed

NOW_MS = 1_700_000_000_000.0
SLOW_START_MS = 5000.0
HOUR_MS = 3_600_000.0


class SimulatedMachine:
    """A machine with a process's clock and a wall clock, which a test can step.

    Args:
        ahead_ms: how far both clocks are ahead of the true time from the start.
    """

    def __init__(self, ahead_ms: float = 0.0) -> None:
        self.true_ms = NOW_MS
        self.step_ms = 0.0
        self.clock = ManualClock(NOW_MS + ahead_ms)
        self.ahead_ms = ahead_ms
        self.times = StartTimes(self.clock, SLOW_START_MS, lambda: self.true_ms + self.ahead_ms + self.step_ms)

    def advance(self, ms: float) -> None:
        """Advances both clocks."""
        self.true_ms += ms
        self.clock.advance(ms)

    def ages_ms(self, **since_ms: float) -> dict[str, float]:
        """Lists servers with these start times, and returns their ages by name; infinite for an unknown start."""
        rows = [
            EndpointRow(name, Address("127.0.0.1", 9), EndpointState.READY, since_ms=at_ms)
            for name, at_ms in since_ms.items()
        ]
        return {
            row.name: self.clock.now_ms() - started_ms if started_ms else float("inf")
            for row, started_ms in zip(rows, self.times.start_times_ms(rows), strict=True)
        }


@pytest.mark.parametrize("ahead_ms", (0.0, 10_000.0, HOUR_MS, -10_000.0, -HOUR_MS))
def test_age_in_the_first_list_is_bounded_and_the_warm_up_ends_in_time(ahead_ms: float) -> None:
    machine = SimulatedMachine(ahead_ms)
    ages_ms = machine.ages_ms(a=0, b=0, c=NOW_MS - 1000, d=NOW_MS - 3 * HOUR_MS, e=NOW_MS - 3 * HOUR_MS)
    assert ages_ms["a"] == float("inf") and ages_ms["d"] > SLOW_START_MS
    assert 0 <= ages_ms["c"] <= 1000
    machine.advance(SLOW_START_MS)
    assert machine.ages_ms(c=NOW_MS - 1000)["c"] >= SLOW_START_MS


@pytest.mark.parametrize("ahead_ms", (0.0, 10_000.0, HOUR_MS, -HOUR_MS))
@pytest.mark.parametrize("step_ms", (0.0, 7000.0, -7000.0, HOUR_MS, -HOUR_MS))
@pytest.mark.parametrize("on_all_machines", (True, False))
def test_age_of_a_newly_reported_server_is_low_whatever_the_clocks_show(
    ahead_ms: float, step_ms: float, on_all_machines: bool
) -> None:
    machine = SimulatedMachine(ahead_ms)
    machine.ages_ms(a=0)
    machine.times.record_answer()
    machine.advance(60_000)
    machine.times.record_answer()
    machine.step_ms = step_ms
    machine.advance(2000)  # the server started right after the last answer
    since_ms = machine.true_ms - 2000 + (step_ms if on_all_machines else 0)
    age_ms = machine.ages_ms(n=since_ms)["n"]
    assert 0 <= age_ms <= 2000 + REPORT_DELAY_MS
    if not ahead_ms:
        assert age_ms <= 2000
    machine.advance(SLOW_START_MS)
    machine.times.record_answer()
    assert machine.ages_ms(n=since_ms)["n"] == age_ms + SLOW_START_MS, "a repeated report does not change the age"


def test_servers_that_started_together_long_ago_are_not_warming_up() -> None:
    machine = SimulatedMachine()
    ages_ms = machine.ages_ms(**{f"s{number}": NOW_MS - HOUR_MS + number for number in range(9)})
    assert all(age_ms > SLOW_START_MS for age_ms in ages_ms.values())


@pytest.mark.parametrize("step_s", (3600, -3600, 20, -20))
@pytest.mark.parametrize("when", ("before the start", "while it runs"))
def test_process_serves_and_stops_in_time_after_a_clock_step(step_s: int, when: str) -> None:
    async def scenario() -> None:
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
            later_clients = [bed.start_client(0, stays_s=20.0) for _ in range(10)]
            assert await bed.wait_until(lambda: all(client.up.is_set() for client in later_clients), 3.0)
            signal_s = time.monotonic()
            bed.processes[0].send_signal(signal.SIGTERM)
            assert await bed.wait_until(lambda: not bed.processes[0].is_running, 3.7)
            assert time.monotonic() - signal_s > 2.0 and bed.processes[0].exit_code == 0
            assert all(client.request.is_migrated for client in [*clients, *later_clients])
            faults.close()

    uvloop.run(asyncio.wait_for(scenario(), 30))
