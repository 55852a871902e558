"""Clients that leave while their request waits: no request line is sent for them."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Callable

import pytest

from glenrock.config import Address
from glenrock.net.client_connection import RelayEnd
from glenrock.routing import interface

from .rig import REQUEST_LINE, LoopbackRig, close_socket, create_listener, run_on_rig


async def leave_while_attempt_is_queued(rig: LoopbackRig, leave: Callable[[socket.socket], None]) -> None:
    """The attempt is in the mailbox of the server's actor; the client's end is handled before its first step."""
    await rig.open()
    client = rig.connect_client(REQUEST_LINE)
    start_attempt = None

    async def intercept_start() -> None:
        await rig.wait_until(lambda: rig.connections)
        connection = rig.connections["x1"]
        nonlocal start_attempt
        start_attempt = connection.start_attempt
        connection.start_attempt = lambda name, ms: (
            start_attempt(name, ms),
            connection.mailbox.messages.appendleft(RelayEnd.CLIENT_FIN),
            connection.mailbox.wake(),
        )

    await intercept_start()
    leave(client)


async def leave_while_connecting(rig: LoopbackRig, leave: Callable[[socket.socket], None]) -> None:
    """The connection to the server is established after the client has left."""
    await rig.open()
    full = create_listener(0)
    queue_fillers = []
    for _ in range(4):
        queue_fillers.append(socket.socket())
        queue_fillers[-1].setblocking(False)
        queue_fillers[-1].connect_ex(full.getsockname())
    await rig.run_loop()
    rig.program.servers.get("s1").row.address = Address(*full.getsockname())
    client = rig.connect_client(REQUEST_LINE)
    await rig.wait_until(
        lambda: rig.connections and rig.connections["x1"].attempt and rig.connections["x1"].attempt.sock
    )
    leave(client)
    await rig.run_loop()
    for sock in queue_fillers:
        sock.close()
    rig.listeners["s1"] = full


async def leave_between_attempts(rig: LoopbackRig, leave: Callable[[socket.socket], None]) -> None:
    """One server rejects the request, and the client's end is in the kernel together with that answer."""
    await rig.open("s1", "s2")
    client = rig.connect_client(REQUEST_LINE)
    server_side, first = None, ""
    async with asyncio.timeout(5):
        while server_side is None:
            await asyncio.sleep(0)
            for name, listener in rig.listeners.items():
                with contextlib.suppress(BlockingIOError):
                    server_side, first = rig.keep(listener.accept()[0]), name
    await rig.wait_until(lambda: rig.read(server_side))
    server_side.sendall(b"BUSY\r\n")
    leave(client)
    del rig.listeners[first]


async def leave_while_no_server_is_ready(rig: LoopbackRig, leave: Callable[[socket.socket], None]) -> None:
    """No server is ready; one becomes ready after the client has left."""
    await rig.open()
    rig.report_endpoints(s1="DRAINING")
    await rig.run_loop()
    client = rig.connect_client(REQUEST_LINE)
    await rig.wait_until(lambda: rig.program.routing.balancer.requests)
    leave(client)
    await rig.run_loop()
    await rig.wait_until(lambda: rig.read(rig.discovery_connection))
    rig.report_endpoints()


async def leave_while_resuming(rig: LoopbackRig, leave: Callable[[socket.socket], None]) -> None:
    """The connection is resumed at a server that does not listen yet; a timer retries it."""
    await rig.open()
    listener = rig.listeners["s1"]
    address = listener.getsockname()
    listener.close()
    client = rig.connect_client(b"OPEN x1 1 c=look,at=s1\r\n")
    await rig.wait_until(
        lambda: (
            rig.connections
            and rig.connections["x1"].attempt
            and rig.connections["x1"].attempt.task
            and rig.connections["x1"].attempt.task.done()
        )
    )
    await rig.run_loop()
    leave(client)
    await rig.run_loop()
    rig.listeners["s1"] = socket.create_server(address)
    rig.listeners["s1"].setblocking(False)


async def leave_as_routing_decides(rig: LoopbackRig, leave: Callable[[socket.socket], None]) -> None:
    """Routing starts an attempt in the iteration of the loop in which the connection is closed."""
    await rig.open()
    rig.report_endpoints(s1="DRAINING")
    await rig.run_loop()
    client = rig.connect_client(REQUEST_LINE)
    await rig.wait_until(lambda: rig.program.routing.balancer.requests)
    connection, gone = rig.connections["x1"], rig.connections["x1"].reports.post_disconnected

    def crossed() -> None:
        gone()
        rig.program.servers.get("s1").row.state = interface.EndpointState.READY
        rig.program.routing.act(interface.StartAttempt("x1", "s1", 900_000))

    connection.reports.post_disconnected = crossed
    leave(client)


async def leave_before_accept(rig: LoopbackRig, leave: Callable[[socket.socket], None]) -> None:
    """The request line and the client's end are both in the kernel before the program accepts."""
    await rig.open()
    leave(rig.connect_client(REQUEST_LINE))
    await rig.wait_until(lambda: rig.acceptor.tasks)


async def leave_as_the_server_connects(rig: LoopbackRig, leave: Callable[[socket.socket], None]) -> None:
    """The client's end and the server's connection are ready in one iteration; the server's actor runs first."""
    await rig.open()
    actor = rig.program.servers.get("s1")
    attempt = actor.attempt

    async def first(x) -> object:
        pump = rig.connections["x1"].tasks[0]
        pump.cancel()  # the pump does not run before the line is written
        await asyncio.wait([pump])
        leave(client)
        return await attempt(x)

    actor.attempt = first
    client = rig.connect_client(REQUEST_LINE)
    await rig.wait_until(lambda: rig.connections)


@pytest.mark.parametrize("reset", [False, True], ids=["fin", "rst"])
@pytest.mark.parametrize(
    "place",
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
def test_no_request_line_is_sent_for_a_client_that_has_left(place, reset: bool) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await place(rig, lambda client: close_socket(client, reset))
        await rig.check_nothing_was_sent()

    run_on_rig(scenario)
