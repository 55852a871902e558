"""Slow start: budgets for servers that are warming up."""

from __future__ import annotations

from conftest import SECOND, Harness, settings

from glenrock.routing import interface


def test_warming_server_gets_a_fraction_of_a_warm_servers_load(make_harness) -> None:
    harness = make_harness(
        names=("a:1", "b:1"), slow_start_us=20 * SECOND, slow_start_initial_fraction=0.1, slow_start_multiple=3.0
    )
    for n in range(40):
        harness.establish(harness.send_request(key=n))
    harness.list_servers("c:1", kind=interface.EndpointListKind.CHANGES, started_us=harness.now_us)
    sent = 0
    for n in range(100, 200):
        harness.advance(20_000)
        sent += harness.attempts_of(harness.send_request(key=n))[0].server_id == "c:1"
    # 2 s at some 40 connections a server: a tenth of that over a slow start of 20 s, times 3.
    assert sent <= 3


def test_budgets_of_many_balancers_together_do_not_overload_a_warming_server() -> None:
    # Clients arrive at all balancers at the same time, after some seconds without requests.
    count, load, multiple, window, cold = 40, 1000, 3.0, SECOND, 20 * SECOND
    harnesses = []
    for n in range(count):
        harness = Harness(
            settings(
                balancers=count,
                index=n,
                slow_start_us=cold,
                slow_start_initial_fraction=0.1,
                slow_start_multiple=multiple,
                slow_start_window_us=window,
                max_attempts=1,
            ),
            seed=n,
        )
        harness.list_servers(*(f"w{k}:1" for k in range(5)))
        for k in range(10):
            harness.establish(harness.send_request(key=k, load=load))
        harness.advance(2 * SECOND)
        harness.balancer.loads.fleet_load = 0.5
        harness.list_servers("cold:1", kind=interface.EndpointListKind.CHANGES, started_us=harness.now_us)
        harnesses.append(harness)
    born = harnesses[0].now_us
    at: list[int] = []
    for step in range(100):
        for harness in harnesses:
            harness.now_us = born + 4 * SECOND + step * 40_000
            name = harness.send_request(key=1000 + step, load=load, life_us=SECOND)
            sent = harness.attempts_of(name)
            if sent and sent[0].server_id == "cold:1":
                at.append(harness.now_us)
            harness.end_attempt(name, interface.AttemptOutcome.CANCELLED, is_final=True) if sent else None
    full = count * 10 / 5 / 0.5  # connections that fill a server
    for t in at:
        share = 0.1 + 0.9 * (t - born) / cold
        inside = sum(t <= x < t + window for x in at)
        assert inside <= multiple * share * full * window / cold + 2
    assert len(at) >= 4
