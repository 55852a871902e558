"""States and helpers that several tests of routing share."""

from __future__ import annotations

from conftest import SECOND

from glenrock.routing import interface
from glenrock.routing.gossip_codec import encode

ENOUGH_ROUNDS = 10
"""Rounds after which usual capacities are known."""


def receive_summary(harness, number: int, active_load: float, clients: int, waiting=()) -> None:
    """Delivers a gossip summary of another balancer, stamped now."""
    data = encode(harness.now_us // 100_000 & 0xFFFF, active_load, clients, list(waiting))
    harness.deliver(interface.GossipReceived(number, data))


def with_one_connection(make_harness):
    """Returns a harness with a connection at its only server, which reports its load and slow messages."""
    harness = make_harness(
        may_health_check=True, load_report_fields=("load_ratio",), has_message_delay_reports=True, names=("a:1",)
    )
    name = harness.send_request(key=1)
    harness.establish(name)
    return harness, name, harness.balancer.servers["a:1"]


def report_loads(harness, loads: dict[str, float]) -> None:
    """Delivers a health check result for each server."""
    harness.deliver(
        *(
            interface.HealthCheckResult(name, interface.AttemptOutcome.SERVED, 1000, {"load_ratio": load})
            for name, load in loads.items()
        )
    )


def with_loaded_servers(make_harness, loads: dict[str, float], connections_each: int = 6):
    """Returns a harness with that number of connections at each server."""
    harness = make_harness(may_health_check=True, load_report_fields=("load_ratio",), names=tuple(loads))
    report_loads(harness, dict.fromkeys(loads, 0.3))
    for n in range(connections_each * len(loads)):
        harness.establish(harness.send_request(key=n, load=10_000))
    servers = {server.server_id: server for server in harness.balancer.servers.values()}
    requests = list(harness.balancer.requests.values())
    for server in servers.values():
        server.connections.clear()
    for n, request in enumerate(requests):
        request.server = servers[list(loads)[n % len(loads)]]
        request.server.connections[request.event.request_id] = request
    return harness


def run_rounds(harness, loads: dict[str, float], rounds: int) -> list[interface.Action]:
    """Reports these loads and advances, round by round. Returns the actions."""
    actions = []
    for _ in range(rounds):
        report_loads(harness, loads)
        actions += harness.advance(SECOND // 2)
    return actions
