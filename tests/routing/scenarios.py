"""Set-ups and helpers that several tests of routing share."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from conftest import SECOND, Harness, HarnessFactory

from glenrock.routing import interface
from glenrock.routing.gossip_codec import encode
from glenrock.routing.state import Server

ROUNDS_TO_LEARN_CAPACITY = 10
"""Rounds after which the usual capacities of the servers are known."""

NO_WAITING_CLIENTS: tuple[tuple[int, float], ...] = ()


class ConnectedServer(NamedTuple):
    """A harness, one of its servers, and a request with a connection to that server."""

    harness: Harness
    server: Server
    request_id: str


def health_report(server_id: str, load: float) -> interface.HealthCheckResult:
    """Returns the result of a successful health check that reports this load."""
    return interface.HealthCheckResult(server_id, interface.AttemptOutcome.SERVED, 1000, {"load_ratio": load})


def report_loads(harness: Harness, loads: Mapping[str, float]) -> list[interface.Action]:
    """Delivers a health check result for each server, in one batch. Returns the actions."""
    return harness.deliver(*(health_report(server_id, load) for server_id, load in loads.items()))


def run_rounds(harness: Harness, loads: Mapping[str, float], rounds: int) -> list[interface.Action]:
    """Runs rounds, and reports these loads before each. Returns the actions of the rounds."""
    actions: list[interface.Action] = []
    for _ in range(rounds):
        report_loads(harness, loads)
        actions += harness.advance(SECOND // 2)
    return actions


def summary_stamp(harness: Harness) -> int:
    """Returns the time stamp of a gossip summary that is sent now."""
    return harness.now_us // 100_000 & 0xFFFF


def receive_summary(
    harness: Harness,
    peer: int,
    active_load: float,
    clients: int,
    waiting: Sequence[tuple[int, float]] = NO_WAITING_CLIENTS,
) -> None:
    """Delivers a gossip summary of another balancer, with the current time as its stamp.

    Args:
        harness: harness of the balancer that receives the summary.
        peer: index of the sender.
        active_load: total load of the sender's sessions.
        clients: number of the sender's clients.
        waiting: age and load of each bucket of the sender's waiting queue.
    """
    data = encode(summary_stamp(harness), active_load, clients, waiting)
    harness.deliver(interface.GossipReceived(peer, data))


def migrated_requests(actions: Iterable[interface.Action]) -> list[str]:
    """Returns the ids of the requests whose clients are asked to migrate, in order."""
    return [action.request_id for action in actions if isinstance(action, interface.Migrate)]


def checked_servers(actions: Iterable[interface.Action]) -> list[str]:
    """Returns the ids of the servers that are health-checked, in order."""
    return [action.server_id for action in actions if isinstance(action, interface.SendHealthCheck)]


def rejections(actions: Iterable[interface.Action]) -> list[interface.Reject]:
    """Returns the rejections among these actions."""
    return [action for action in actions if isinstance(action, interface.Reject)]


def is_rejected_at_once(harness: Harness, request_id: str) -> bool:
    """Returns whether the first action on the request is its rejection."""
    return isinstance(harness.actions_for(request_id)[0], interface.Reject)


def first_server(harness: Harness, request_id: str) -> str:
    """Returns the id of the server that received the request's first attempt."""
    return harness.attempts_of(request_id)[0].server_id


def reject_newcomers(harness: Harness, load_cap: float = 0.0, quota: float = 0.0) -> None:
    """Sets the load cap and the quota of new clients, and makes both apply until the next round."""
    admission = harness.balancer.admission
    admission.load_cap, admission.quota = load_cap, quota
    admission.may_admit_new_clients = False


def establish_requests(harness: Harness, count: int, load: int = 0, wait_us: int = 0) -> list[str]:
    """Establishes one connection for each of `count` clients. Returns the ids of the requests.

    Args:
        harness: harness of the balancer.
        count: number of clients; their keys are 0 to `count` - 1.
        load: load hint of each request; 0 for none.
        wait_us: time between the requests and their connections, during which no health check is answered.
    """
    request_ids = [harness.send_request(key=key, load=load) for key in range(count)]
    if wait_us:
        harness.advance(wait_us)
    for request_id in request_ids:
        harness.establish(request_id)
    return request_ids


def open_connection(
    harness: Harness, request_id: str, server_id: str, key: int, load: int = 0, group: int | None = None
) -> None:
    """Delivers a connection that was open at a server before the balancer started."""
    request = interface.Request(request_id, "read", harness.now_us + SECOND, key, group, load=load)
    harness.deliver(interface.OpenConnection(request, server_id))


def with_one_connection(make_harness: HarnessFactory) -> ConnectedServer:
    """Returns a harness with one connection to its only server, which reports its load and slow messages."""
    harness = make_harness(
        may_health_check=True, load_report_fields=("load_ratio",), has_message_delay_reports=True, names=("a:1",)
    )
    request_id = harness.send_request(key=1)
    harness.establish(request_id)
    return ConnectedServer(harness, harness.balancer.servers["a:1"], request_id)


def with_loaded_servers(make_harness: HarnessFactory, loads: Mapping[str, float], connections_each: int = 6) -> Harness:
    """Returns a harness with the servers named in `loads`, each with `connections_each` connections.

    The servers report a load of 0.3. The connections are distributed evenly, whatever server was selected.
    """
    harness = make_harness(may_health_check=True, load_report_fields=("load_ratio",), names=tuple(loads))
    report_loads(harness, dict.fromkeys(loads, 0.3))
    for key in range(connections_each * len(loads)):
        harness.establish(harness.send_request(key=key, load=10_000))
    servers = harness.balancer.servers
    requests = list(harness.balancer.requests.values())
    for server in servers.values():
        server.connections.clear()
    for number, request in enumerate(requests):
        server = servers[list(loads)[number % len(loads)]]
        request.server = server
        server.connections[request.event.request_id] = request
    return harness
