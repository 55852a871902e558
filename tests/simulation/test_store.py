"""The store that all set-ups ask, and the clients and probes of a deployment that has one."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.routing import interface
from glenrock.simulation import spec
from glenrock.simulation.engine import SECOND_US as S
from glenrock.simulation.fleet_simulation import FleetSimulation
from glenrock.simulation.model.store import Store

from .days import Scripted, day

ROOM = Path(__file__).resolve().parents[2] / "experiments"


@given(st.lists(st.integers(0, 300_000), max_size=40), st.floats(1, 100))
def test_calls_are_answered_in_turn_and_never_faster_than_it_works(gaps, per_s) -> None:
    store, now, dues = Store(per_s, 5_000), 0, []
    for gap in gaps:
        now += gap
        dues.append(store.call(now))
        assert dues[-1] >= now + 5_000
    assert all(b - a >= S / per_s - 1 for a, b in zip(dues, dues[1:], strict=False))
    assert Store(0, 5_000).call(now) == now


def test_set_ups_wait_for_a_slow_store_and_then_stand() -> None:
    d = day(make=Scripted, store={"headroom": 0.5}, length_s=6.0)
    s = d.run()
    assert d.store.calls > 5
    free = day(make=Scripted, length_s=6.0).run()
    assert min(x["p99_ms"] for x in s["setup"].values()) > 2 * max(x["p99_ms"] for x in free["setup"].values())


@pytest.mark.parametrize("how, times", [("none", (0, 0)), ("fixed", (1, 1)), ("double", (1, 4))])
def test_clients_space_their_quick_retries_as_the_file_says(how, times) -> None:
    d = day(clients={"backoff": how, "backoff_ms": 100.0, "retries": 3})
    client = next(iter(d.workload.clients))
    for failures, expected in zip((1, 3), times, strict=True):
        tries = [
            d.client_delays.delay_after_failure(type("C", (), {"failures": failures, "row": client})())
            for _ in range(200)
        ]
        assert sum(tries) / 200 == pytest.approx(expected * 100_000, rel=0.15)


def test_a_probe_that_does_not_wait_is_answered_by_a_full_instance() -> None:
    for waits, verdict in ((True, "timeout"), (False, "served")):
        d = day(make=Scripted, reports={"probe_waits": waits})
        d.prepare()
        host, i = d.balancers[0], next(iter(d.servers.values()))
        i.backlog = 5 * i.capacity(d.engine.now)
        i.advance(d.engine.now)
        d.send_health_check(host, i.name)
        d.engine.run(d.engine.now + S)
        ends = [e for e in host.policy.events if isinstance(e, interface.HealthCheckResult)]
        assert [e.outcome for e in ends] == [verdict]


def test_a_fleet_that_was_slow_as_a_whole_is_full_again_within_seconds() -> None:
    # 8 s after, before the window of set-ups and late messages as load: 0.40, 0.48 and 0.33 of the clients stood.
    found = []
    for seed in (4, 5, 7):
        over = {"faults[0].at_s": 8.0, "faults[0].for_s": 8.0, "length_s": 30.0}
        d = FleetSimulation(spec.load(ROOM / "one-room-slow.toml", over), seed)
        d.prepare()
        d.engine.run(d.start_us + 24 * S)
        found.append(len(d.connected_clients) / sum(1 for r in d.workload.clients if r.arrival_us <= 24 * S < r.end_us))
    assert sum(found) / 3 > 0.6, found
