"""Clients that disconnect while their request waits: no request line may be sent to a server for them."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable

import pytest

from glenrock.config import Address
from glenrock.net.attempt_outcomes import AttemptResult
from glenrock.net.connection_attempt import ConnectionAttempt
from glenrock.net.connection_messages import RelayEvent
from glenrock.routing import interface

from .rig import (
    REQUEST_ID,
    REQUEST_LINE,
    WAIT_TIMEOUT_S,
    LoopbackRig,
    close_socket,
    create_listener,
    fill_backlog,
    receive,
    wait_until,
)

Leave = Callable[[socket.socket], None]
"""Ends a client's connection."""


async def start_request_without_ready_server(rig: LoopbackRig) -> socket.socket:
    """Starts the program with a draining server, and a request that waits in routing. Returns the client's socket."""
    await rig.open()
    rig.report_endpoints(s1="DRAINING")
    await rig.run_loop()
    client = rig.connect_client(REQUEST_LINE)
    await wait_until(lambda: rig.program.routing.balancer.requests)
    return client


async def leave_while_attempt_is_queued(rig: LoopbackRig, leave: Leave, monkeypatch: pytest.MonkeyPatch) -> None:
    """The attempt is still in the mailbox of the server's actor when the client's end is handled."""
    await rig.open()
    client = rig.connect_client(REQUEST_LINE)
    await wait_until(lambda: rig.connections)
    connection = rig.connections[REQUEST_ID]
    start_attempt = connection.start_attempt

    def start_attempt_then_end(server: str, timeout_ms: float) -> None:
        start_attempt(server, timeout_ms)
        connection.mailbox.messages.appendleft(RelayEvent.CLIENT_FIN)
        connection.mailbox.wake()

    monkeypatch.setattr(connection, "start_attempt", start_attempt_then_end)
    leave(client)


async def leave_while_connecting(rig: LoopbackRig, leave: Leave, _: pytest.MonkeyPatch) -> None:
    """The connection to the server is established after the client has left."""
    await rig.open()
    full_listener = create_listener(backlog=0)
    fillers = fill_backlog(full_listener)
    await rig.run_loop()
    rig.server_actor().row.address = Address(*full_listener.getsockname())
    client = rig.connect_client(REQUEST_LINE)
    await rig.wait_for_attempt(lambda attempt: attempt.sock)
    leave(client)
    await rig.run_loop()
    for filler in fillers:
        filler.close()
    rig.listeners["s1"] = full_listener


async def leave_between_attempts(rig: LoopbackRig, leave: Leave, _: pytest.MonkeyPatch) -> None:
    """One server rejects the request, and the client leaves before the program reads that answer."""
    await rig.open("s1", "s2")
    client = rig.connect_client(REQUEST_LINE)
    accepted: dict[str, socket.socket] = {}
    async with asyncio.timeout(WAIT_TIMEOUT_S):
        while not accepted:
            await asyncio.sleep(0)
            accepted = {name: sock for name, listener in rig.listeners.items() for sock in rig.accept_queued(listener)}
    ((first_server, server_side),) = accepted.items()
    await receive(server_side)
    server_side.sendall(b"BUSY\r\n")
    leave(client)
    del rig.listeners[first_server]


async def leave_while_no_server_is_ready(rig: LoopbackRig, leave: Leave, _: pytest.MonkeyPatch) -> None:
    """No server is ready, and one becomes ready after the client has left."""
    client = await start_request_without_ready_server(rig)
    leave(client)
    await rig.run_loop()
    await receive(rig.discovery_connection)
    rig.report_endpoints()


async def leave_while_resuming(rig: LoopbackRig, leave: Leave, _: pytest.MonkeyPatch) -> None:
    """The client resumes a connection at a server that does not listen yet, and leaves before the retry."""
    await rig.open()
    listener = rig.listeners["s1"]
    address = listener.getsockname()
    listener.close()
    client = rig.connect_client(b"OPEN x1 1 c=look,at=s1\r\n")
    await rig.wait_for_attempt(lambda attempt: attempt.task and attempt.task.done())
    await rig.run_loop()
    leave(client)
    await rig.run_loop()
    rig.listeners["s1"] = socket.create_server(address)
    rig.listeners["s1"].setblocking(False)


async def leave_as_routing_decides(rig: LoopbackRig, leave: Leave, monkeypatch: pytest.MonkeyPatch) -> None:
    """Routing starts an attempt in the iteration of the event loop in which the client's end is handled."""
    client = await start_request_without_ready_server(rig)
    reports = rig.connections[REQUEST_ID].reports
    post_disconnected = reports.post_disconnected

    def post_disconnected_then_start_attempt() -> None:
        post_disconnected()
        rig.server_actor().row.state = interface.EndpointState.READY
        rig.program.routing.execute_action(interface.StartAttempt(REQUEST_ID, "s1", 900_000))

    monkeypatch.setattr(reports, "post_disconnected", post_disconnected_then_start_attempt)
    leave(client)


async def leave_before_accept(rig: LoopbackRig, leave: Leave, _: pytest.MonkeyPatch) -> None:
    """The client sends its request line and leaves before the program accepts the connection."""
    await rig.open()
    leave(rig.connect_client(REQUEST_LINE))
    await wait_until(lambda: rig.acceptor.tasks)


async def leave_as_the_server_connects(rig: LoopbackRig, leave: Leave, monkeypatch: pytest.MonkeyPatch) -> None:
    """The client leaves and the server connects in one iteration of the event loop; the server's actor runs first."""
    await rig.open()
    actor = rig.server_actor()
    make_attempt = actor.connect_and_request

    async def leave_then_make_attempt(attempt: ConnectionAttempt) -> AttemptResult:
        pump = rig.connections[REQUEST_ID].tasks[0]
        pump.cancel()  # so that it cannot report the client's end before the attempt
        await asyncio.wait([pump])
        leave(client)
        return await make_attempt(attempt)

    monkeypatch.setattr(actor, "connect_and_request", leave_then_make_attempt)
    client = rig.connect_client(REQUEST_LINE)
    await wait_until(lambda: rig.connections)


@pytest.mark.parametrize("reset", [False, True], ids=["fin", "rst"])
@pytest.mark.parametrize(
    "leave_in_situation",
    [
        leave_while_attempt_is_queued,
        leave_while_connecting,
        leave_between_attempts,
        leave_while_no_server_is_ready,
        leave_while_resuming,
        leave_as_routing_decides,
        leave_before_accept,
        leave_as_the_server_connects,
    ],
)
async def test_no_request_line_is_sent_for_a_client_that_has_left(
    rig: LoopbackRig,
    monkeypatch: pytest.MonkeyPatch,
    leave_in_situation: Callable[[LoopbackRig, Leave, pytest.MonkeyPatch], Awaitable[None]],
    reset: bool,
) -> None:
    await leave_in_situation(rig, lambda client: close_socket(client, reset), monkeypatch)
    await rig.check_nothing_was_sent()
