"""Drawn orders of bytes, ends, answers and signals."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import socket

from hypothesis import HealthCheck, given
from hypothesis import settings as limits
from hypothesis import strategies as st

from glenrock.net.client_connection import AnswerNow, MigrateClient
from glenrock.routing import interface

from .rig import REQUEST_LINE, LoopbackRig, close_socket, reject_request, run_on_rig

STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("instance"), st.sampled_from([b"one\r\n", b"tw", b"o\r\nthr", b"\r\n", b"LOAD 3\r\n"])),
        st.tuples(
            st.sampled_from(
                [
                    "client",
                    "move",
                    "dismiss",
                    "turns",
                    "time",
                    "instance fin",
                    "instance rst",
                    "client fin",
                    "client rst",
                    "nack",
                ]
            ),
            st.just(b""),
        ),
    ),
    max_size=12,
)


@limits(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    before=st.lists(
        st.sampled_from(["turns", "nack", "dismiss", "client fin", "client rst", "half", "busy", "up"]), max_size=4
    ),
    steps=STEPS,
)
def test_any_order_of_events_gives_one_answer_or_end_and_leaves_nothing_open(before, steps) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open()
        rig.program.servers.get("s1")  # creates its actor, which stays after the test
        await rig.run_loop()
        fds, tasks = len(os.listdir("/proc/self/fd")), len(asyncio.all_tasks())
        client, sent = rig.connect_client(REQUEST_LINE), b""
        server_side = await rig.accept_request("s1")
        connection, left, ended = rig.connections["x1"], False, False
        script = [(what, b"") for what in before] + [("instance", b"UP r\r\n")] + steps
        for what, data in script:
            data = {"half": b"U", "busy": b"BUSY\r\n", "up": b"UP r\r\n"}.get(what, data)
            with contextlib.suppress(OSError):
                if data and not ended:
                    server_side.sendall(data)
                    sent += data
                elif what == "client" and not left and connection.established.is_set():
                    client.sendall(b"hello\r\n")
                elif what == "move" and connection.established.is_set():
                    connection.mailbox.try_put(MigrateClient(interface.AttemptOutcome.CANCELLED))
                elif what == "dismiss":
                    connection.mailbox.put_unbounded(AnswerNow(700))
                elif what == "nack":
                    reject_request(rig, connection)
                elif what == "turns":
                    await rig.run_loop()
                elif what == "time":
                    await rig.advance(50)
                elif what.startswith("client ") and not left:
                    left = True
                    close_socket(client, what.endswith("rst"))
                elif what.startswith("instance ") and not ended:
                    ended = True
                    close_socket(server_side, what.endswith("rst"))
        await rig.run_loop()
        received = b""
        if not left:
            connection.mailbox.put_unbounded(
                MigrateClient(interface.AttemptOutcome.CANCELLED)
                if connection.established.is_set()
                else AnswerNow(1000)
            )
            received, _ = await rig.read_to_end(client)
            close_socket(client, False)
        if not ended:
            await rig.advance(20)
            close_socket(server_side, False)
        async with asyncio.timeout(5):
            while rig.connections or rig.acceptor.tasks:
                await rig.advance(10)
        if received.startswith(b"UP "):
            body, _, rest = received.rpartition(b"MOVE\r\n")
            assert not rest or not body, "nothing comes after MOVE"
            passed = body if received.endswith(b"MOVE\r\n") else received
            assert sent.startswith(passed) and received.count(b"MOVE") <= 1
            assert not received.endswith(b"MOVE\r\n") or passed.endswith(b"\r\n"), "between two lines"
        elif not left and received:
            assert received.count(b"\n") == 1 and received.split(b" ")[0].strip() in (b"BUSY", b"ERR"), received
        await rig.run_loop()
        assert not rig.program.routing.balancer.requests
        gc.collect()
        for sock in (client, server_side):
            sock.close()
        await rig.wait_until(lambda: len(os.listdir("/proc/self/fd")) <= fds and len(asyncio.all_tasks()) <= tasks)

    run_on_rig(scenario)


ANSWERS = {"busy": b"BUSY\r\n", "err": b"ERR\r\n", "half": b"U", "up": b"UP r\r\n", "junk": b"?\r\n"}
MOMENTS = ["turns", "time", "long", "fin", "rst", "drain", "back", "term", *ANSWERS]


@limits(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    script=st.lists(st.sampled_from(MOMENTS), max_size=14),
    leaves=st.sampled_from([None, None, "fin", "rst"]),
    when=st.integers(0, 13),
)
def test_any_order_of_events_gives_one_attempt_at_a_time_and_one_answer_in_time(script, leaves, when) -> None:
    async def scenario(rig: LoopbackRig) -> None:
        await rig.open("s1", "s2")
        out: list[socket.socket] = []  # attempts; all but the last have ended
        over: set[int] = set()
        received, stops, stood, told = b"", None, False, 0.0
        client, began = rig.connect_client(REQUEST_LINE), rig.clock.now_ms()

        def given_up() -> None:
            for n, sock in enumerate(out):
                try:
                    if n not in over and not sock.recv(1 << 16):
                        over.add(n)
                except BlockingIOError:
                    pass
                except OSError:
                    over.add(n)

        def look() -> None:
            nonlocal received, told
            for listener in rig.listeners.values():
                with contextlib.suppress(BlockingIOError):
                    while True:
                        sock = rig.keep(listener.accept()[0])
                        try:
                            data = sock.recv(1 << 16)
                        except OSError:
                            continue  # connected and cancelled
                        if data.startswith(b"OPEN "):
                            assert not left, "sent on for a client that has left"
                            given_up()  # an attempt is closed before the next one connects
                            assert len(over) == len(out), "two attempts at once"
                            out.append(sock)
            given_up()
            if not left:
                before = received
                with contextlib.suppress(OSError):
                    received += client.recv(1 << 16)
                told = told or (rig.clock.now_ms() if received != before else 0.0)

        left = False
        for n, what in enumerate(script):
            if leaves and n == when and not received:
                close_socket(client, leaves == "rst")
                await rig.run_loop()
                look()  # a line that was being sent at that moment
                left = True
            if what == "turns":
                await rig.run_loop()
            elif what in ("time", "long"):
                for _ in range(30 if what == "long" else 5):
                    await rig.advance(10)
                    look()
            elif what in ("drain", "back"):
                await rig.run_loop()
                with contextlib.suppress(OSError):
                    rig.report_endpoints(s1="DRAINING" if what == "drain" else "SERVING")
            elif what == "term":
                stops = stops or asyncio.create_task(rig.program.shutdown.stop(False, None))
            elif out and len(out) - 1 not in over and not stood:
                with contextlib.suppress(OSError):
                    if what in ANSWERS:
                        out[-1].sendall(ANSWERS[what])
                        stood = what == "up"
                    else:
                        close_socket(out[-1], what == "rst")
                if what in ("fin", "rst", "busy", "err", "junk"):
                    over.add(len(out) - 1)
            await rig.run_loop()
            look()
        while rig.clock.now_ms() < began + 1600:
            await rig.advance(10)
            look()
        if not left:
            assert received and (told <= began + 1550 or received.startswith(b"UP")), (received, told - began)
            assert received.split()[0] in (b"UP", b"BUSY", b"ERR")
            assert received.count(b"\n") == 1 or received == b"UP r\r\nMOVE\r\n"
        for sock in [client, *out]:
            sock.close()
        async with asyncio.timeout(10):
            while rig.connections or stops and not stops.done():
                await rig.advance(10)

    run_on_rig(scenario)
