"""The records of servers that the endpoint list no longer has."""

from __future__ import annotations

from conftest import HarnessFactory

from glenrock.routing import interface
from glenrock.routing.endpoint_table import MAX_GONE_SERVERS

CHANGES = 60
SERVERS_PER_CHANGE = 50


def changes_of(number: int, state: interface.EndpointState) -> interface.EndpointList:
    """Returns a change of servers that no other change names."""
    names = [f"new-{number}-{index}" for index in range(SERVERS_PER_CHANGE)]
    endpoints = tuple(interface.Endpoint(name, state) for name in names)
    return interface.EndpointList(interface.EndpointListKind.CHANGES, endpoints)


def test_records_of_servers_that_are_gone_are_bounded(make_harness: HarnessFactory) -> None:
    """Guards against memory that grows for ever under changes of ever new names (issue 58, picture b)."""
    harness = make_harness()
    for number in range(CHANGES):
        harness.deliver(changes_of(number, interface.EndpointState.READY))
        harness.deliver(changes_of(number, interface.EndpointState.GONE))
    gone = [server for server in harness.balancer.servers if server.startswith("new-")]
    assert len(gone) == MAX_GONE_SERVERS
    assert gone[-1] == f"new-{CHANGES - 1}-{SERVERS_PER_CHANGE - 1}", "the oldest are removed first"
