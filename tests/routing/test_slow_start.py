"""Slow start: the budgets of servers that are warming up."""

from __future__ import annotations

from conftest import SECOND, Harness, HarnessFactory, settings

from glenrock.routing import interface

from .scenarios import first_server

BALANCERS = 40
CONNECTIONS_EACH = 10
CONNECTION_LOAD = 1000
WARM_SERVERS = 5
FLEET_LOAD = 0.5
INITIAL_FRACTION = 0.1
MULTIPLE = 3.0
WINDOW_US = SECOND
SLOW_START_US = 20 * SECOND


def test_warming_server_gets_a_fraction_of_a_warm_servers_load(make_harness: HarnessFactory) -> None:
    harness = make_harness(
        names=("a:1", "b:1"),
        slow_start_us=SLOW_START_US,
        slow_start_initial_fraction=INITIAL_FRACTION,
        slow_start_multiple=MULTIPLE,
    )
    for key in range(40):
        harness.establish(harness.send_request(key=key))
    harness.list_servers("c:1", kind=interface.EndpointListKind.CHANGES, started_us=harness.now_us)
    sent_count = 0
    for key in range(100, 200):
        harness.advance(20_000)
        sent_count += first_server(harness, harness.send_request(key=key)) == "c:1"
    # A full warm server has about 40 connections. The budget for 2 s of a slow start of 20 s, at a warmth of 0.1 and
    # times 3, is about 1 connection.
    assert sent_count <= 3


def balancer_with_a_warming_server(index: int) -> Harness:
    """Returns the harness of one of `BALANCERS` that has clients, when a server has just started."""
    harness = Harness(
        settings(
            balancers=BALANCERS,
            index=index,
            slow_start_us=SLOW_START_US,
            slow_start_initial_fraction=INITIAL_FRACTION,
            slow_start_multiple=MULTIPLE,
            slow_start_window_us=WINDOW_US,
            max_attempts=1,
        ),
        seed=index,
    )
    harness.list_servers(*(f"w{number}:1" for number in range(WARM_SERVERS)))
    for key in range(CONNECTIONS_EACH):
        harness.establish(harness.send_request(key=key, load=CONNECTION_LOAD))
    harness.advance(2 * SECOND)
    harness.balancer.loads.fleet_load = FLEET_LOAD
    harness.list_servers("warming:1", kind=interface.EndpointListKind.CHANGES, started_us=harness.now_us)
    return harness


def test_budgets_of_many_balancers_together_do_not_overload_a_warming_server() -> None:
    # Clients arrive at all balancers at the same time, after some seconds without requests. Budgets that were saved up
    # in these seconds would overload the server.
    harnesses = [balancer_with_a_warming_server(index) for index in range(BALANCERS)]
    started_us = harnesses[0].now_us
    sent_at_us: list[int] = []
    for step in range(100):
        for harness in harnesses:
            harness.now_us = started_us + 4 * SECOND + step * 40_000
            request_id = harness.send_request(key=1000 + step, load=CONNECTION_LOAD, deadline_in_us=SECOND)
            attempts = harness.attempts_of(request_id)
            if attempts and attempts[0].server_id == "warming:1":
                sent_at_us.append(harness.now_us)
            if attempts:
                harness.end_attempt(request_id, interface.AttemptOutcome.CANCELLED, is_final=True)
    full_connections = BALANCERS * CONNECTIONS_EACH / WARM_SERVERS / FLEET_LOAD  # number that fills a server
    for begin_us in sent_at_us:
        warmth = INITIAL_FRACTION + (1 - INITIAL_FRACTION) * (begin_us - started_us) / SLOW_START_US
        sent_in_window = sum(begin_us <= at_us < begin_us + WINDOW_US for at_us in sent_at_us)
        assert sent_in_window <= MULTIPLE * warmth * full_connections * WINDOW_US / SLOW_START_US + 2
    assert len(sent_at_us) >= 4
