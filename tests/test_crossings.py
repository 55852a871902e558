"""What comes between two lines of the program: bytes, ends, answers, signals. The order is forced, on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import os
import socket
import struct
from collections.abc import Awaitable, Callable

import pytest
import uvloop
from hypothesis import HealthCheck, given
from hypothesis import settings as limits
from hypothesis import strategies as st
from test_exchanges import SETTINGS

from glenrock.config import check
from glenrock.net import server_actor as instance_part
from glenrock.net.acceptor import IDLE_TIMEOUT_MS, LAST_LINE_TIMEOUT_MS, LINGER_MS
from glenrock.net.attempt_outcomes import Reach
from glenrock.net.client_connection import AnswerNow, ClientConnection, MigrateClient, RelayEnd
from glenrock.net.clock import SetClock
from glenrock.program import Program
from glenrock.routing import interface

LINE = b"OPEN x1 1 c=look,d=1500\r\n"


def closed(sock: socket.socket, reset: bool) -> None:
    if reset:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def door(backlog: int = 16) -> socket.socket:
    sock = socket.create_server(("127.0.0.1", 0), backlog=backlog)
    sock.setblocking(False)
    return sock


def address(sock: socket.socket) -> str:
    return f"127.0.0.1:{sock.getsockname()[1]}"


def refused(rig: Rig, command) -> None:
    """What the module's refusal does, at any instant: it forgets the request, and the answer is on its way."""
    balancer = rig.program.routing.balancer
    if command.request_line.request_id in balancer.requests:
        balancer.lifecycle.client_disconnected(command.request_line.request_id)
        command.reject(500.0)


class Rig:
    """A program whose clock the test sets, raw sockets round it, and a discovery that says what the test says."""

    def __init__(self) -> None:
        self.clock, self.doors, self.open_socks = SetClock(), {}, []

    async def open(self, *names: str, effect: str = "safe", **over) -> Rig:
        self.doors = {name: door() for name in names or ("s1",)}
        self.discovery, self.index = door(), 1
        classes = [{**SETTINGS["classes"][0], "effect": effect}]
        self.program = Program(
            check(
                {
                    "name": "n0",
                    "listen": "127.0.0.1:0",
                    "seed": "7",
                    "known": self.rows(),
                    "discovery": address(self.discovery),
                    "settings": {**SETTINGS, "balancers": 1, "classes": classes, **over},
                }
            ),
            self.clock,
        )
        self.entrance, self.commands = self.program.acceptor, self.program.connections.by_id
        starting = asyncio.create_task(self.program.start())
        self.list = await self.accepted(self.discovery)
        await self.until(lambda: self.read(self.list).startswith(b"GET /discovery/hosts HTTP"))
        self.say()
        await starting
        self.port = self.entrance.listener.getsockname()[1]
        return self

    def rows(self, **states: str) -> dict:
        rows = [
            {
                "name": name,
                "address": address(sock),
                "zone": "a",
                "type": "m",
                "group": 0,
                "status": states.get(name, "SERVING"),
                "weight": 1.0,
                "since_ms": 0,
            }
            for name, sock in self.doors.items()
        ]
        return {"index": self.index, "snapshot": True, "endpoints": rows}

    def say(self, **states: str) -> None:
        self.index += 1
        body = json.dumps(self.rows(**states)).encode()
        self.list.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    def client(self, data: bytes = b"") -> socket.socket:
        sock = socket.create_connection(("127.0.0.1", self.port))
        if data:
            sock.sendall(data)
        return self.keep(sock)

    def keep(self, sock: socket.socket) -> socket.socket:
        sock.setblocking(False)
        self.open_socks.append(sock)
        return sock

    async def accepted(self, listener: socket.socket) -> socket.socket:
        async with asyncio.timeout(5):
            sock, _ = await asyncio.get_running_loop().sock_accept(listener)
        return self.keep(sock)

    async def at(self, name: str) -> socket.socket:
        """The next connection at an instance, with its first line read."""
        sock = await self.accepted(self.doors[name])
        got = await self.until(lambda: self.read(sock))
        assert got.startswith(b"OPEN "), got
        return sock

    def read(self, sock: socket.socket) -> bytes:
        try:
            return sock.recv(1 << 16)
        except BlockingIOError:
            return b""

    async def until(self, what: Callable[[], object]) -> object:
        async with asyncio.timeout(5):
            while not (got := what()):
                await asyncio.sleep(0)
        return got

    async def rest(self, sock: socket.socket) -> tuple[bytes, str]:
        """All that comes to the end, and the end."""
        data = b""
        async with asyncio.timeout(5):
            while True:
                await asyncio.sleep(0)
                try:
                    got = sock.recv(1 << 16)
                except BlockingIOError:
                    continue
                except ConnectionError:
                    return data, "reset"
                if not got:
                    return data, "fin"
                data += got

    async def run(self, ms: float) -> None:
        for _ in range(int(ms // 10)):
            await self.turns()
            self.clock.advance(10)
        await self.turns()

    async def turns(self) -> None:
        for _ in range(10):
            await asyncio.sleep(0.0002)

    async def asked(self) -> tuple[socket.socket, socket.socket, ClientConnection]:
        """A program, and a request that has been sent on and waits for its answer."""
        await self.open()
        client = self.client(LINE)
        return client, await self.at("s1"), self.commands["x1"]

    async def up(self, data: bytes = LINE) -> tuple[socket.socket, socket.socket]:
        client = self.client(data)
        at = await self.at("s1")
        at.sendall(b"UP r\r\n")
        assert await self.until(lambda: self.read(client)) == b"UP r\r\n"
        return client, at

    async def nothing_was_sent(self) -> None:
        """Whoever connected to an instance wrote no line there, and nothing of the client is left."""
        await self.until(lambda: not self.commands and not self.entrance.tasks)
        await self.run(700)
        for listener in self.doors.values():
            with contextlib.suppress(BlockingIOError):
                while True:
                    sock, _ = listener.accept()
                    sock.setblocking(False)
                    data, _ = await self.rest(sock)
                    sock.close()
                    assert b"OPEN" not in data
        assert not self.program.routing.balancer.requests


def played(story: Callable[[Rig], Awaitable[None]]) -> None:
    async def play() -> None:
        await asyncio.wait_for(story(Rig()), 20)

    uvloop.run(play())


# -- a client that has left while its request waited ------------------------------------------------


async def queued(rig: Rig, leave: Callable[[socket.socket], None]) -> None:
    """The attempt lies with the instance's actor; the client's end is told before its first step."""
    await rig.open()
    client = rig.client(LINE)
    start_attempt = None

    async def caught() -> None:
        await rig.until(lambda: rig.commands)
        command = rig.commands["x1"]
        nonlocal start_attempt
        start_attempt = command.start_attempt
        command.start_attempt = lambda name, ms: (
            start_attempt(name, ms),
            command.mailbox.messages.appendleft(RelayEnd.CLIENT_FIN),
            command.mailbox.wake(),
        )

    await caught()
    leave(client)


async def dialled(rig: Rig, leave: Callable[[socket.socket], None]) -> None:
    """Its connection does not come up until it has left."""
    await rig.open()
    full = door(0)
    plugs = []
    for _ in range(4):
        plugs.append(socket.socket())
        plugs[-1].setblocking(False)
        plugs[-1].connect_ex(full.getsockname())
    await rig.turns()
    rig.program.servers.get("s1").row.address = full.getsockname()
    client = rig.client(LINE)
    await rig.until(lambda: rig.commands and rig.commands["x1"].attempt and rig.commands["x1"].attempt.sock)
    leave(client)
    await rig.turns()
    for sock in plugs:
        sock.close()
    rig.doors["s1"] = full


async def between_attempts(rig: Rig, leave: Callable[[socket.socket], None]) -> None:
    """It is turned away at one instance, and its end lies in the kernel with that answer."""
    await rig.open("s1", "s2")
    client = rig.client(LINE)
    at, first = None, ""
    async with asyncio.timeout(5):
        while at is None:
            await asyncio.sleep(0)
            for name, listener in rig.doors.items():
                with contextlib.suppress(BlockingIOError):
                    at, first = rig.keep(listener.accept()[0]), name
    await rig.until(lambda: rig.read(at))
    at.sendall(b"BUSY\r\n")
    leave(client)
    del rig.doors[first]


async def held(rig: Rig, leave: Callable[[socket.socket], None]) -> None:
    """No instance may take it; one may once it has left."""
    await rig.open()
    rig.say(s1="DRAINING")
    await rig.turns()
    client = rig.client(LINE)
    await rig.until(lambda: rig.program.routing.balancer.requests)
    leave(client)
    await rig.turns()
    await rig.until(lambda: rig.read(rig.list))
    rig.say()


async def standing(rig: Rig, leave: Callable[[socket.socket], None]) -> None:
    """It stood at an instance that is not there yet; it is tried again by a timer."""
    await rig.open()
    listener = rig.doors["s1"]
    address = listener.getsockname()
    listener.close()
    client = rig.client(b"OPEN x1 1 c=look,at=s1\r\n")
    await rig.until(
        lambda: (
            rig.commands
            and rig.commands["x1"].attempt
            and rig.commands["x1"].attempt.task
            and rig.commands["x1"].attempt.task.done()
        )
    )
    await rig.turns()
    leave(client)
    await rig.turns()
    rig.doors["s1"] = socket.create_server(address)
    rig.doors["s1"].setblocking(False)


async def decided(rig: Rig, leave: Callable[[socket.socket], None]) -> None:
    """The module decides on it in the turn in which it is closed."""
    await rig.open()
    rig.say(s1="DRAINING")
    await rig.turns()
    client = rig.client(LINE)
    await rig.until(lambda: rig.program.routing.balancer.requests)
    command, gone = rig.commands["x1"], rig.commands["x1"].reports.post_disconnected

    def crossed() -> None:
        gone()
        rig.program.servers.get("s1").row.state = interface.EndpointState.READY
        rig.program.routing.act(interface.StartAttempt("x1", "s1", 900_000))

    command.reports.post_disconnected = crossed
    leave(client)


async def at_the_door(rig: Rig, leave: Callable[[socket.socket], None]) -> None:
    """Its line and its end are both there before the program has looked once."""
    await rig.open()
    leave(rig.client(LINE))
    await rig.until(lambda: rig.entrance.tasks)


async def late_turn(rig: Rig, leave: Callable[[socket.socket], None]) -> None:
    """Its end and the instance's connection come in one turn, and the instance's actor has it first."""
    await rig.open()
    instance = rig.program.servers.get("s1")
    attempt = instance.attempt

    async def first(x) -> object:
        pump = rig.commands["x1"].tasks[0]
        pump.cancel()  # it has no turn before the line is written
        await asyncio.wait([pump])
        leave(client)
        return await attempt(x)

    instance.attempt = first
    client = rig.client(LINE)
    await rig.until(lambda: rig.commands)


@pytest.mark.parametrize("reset", [False, True], ids=["fin", "rst"])
@pytest.mark.parametrize("place", [queued, dialled, between_attempts, held, standing, decided, at_the_door, late_turn])
def test_nothing_is_sent_on_for_a_client_that_has_left(place, reset: bool) -> None:
    async def story(rig: Rig) -> None:
        await place(rig, lambda client: closed(client, reset))
        await rig.nothing_was_sent()

    played(story)


# -- the end of the process, and of connections that rest -------------------------------------------


def test_a_request_in_the_queue_when_the_last_is_taken_has_its_answer() -> None:
    async def story(rig: Rig) -> None:
        await rig.open()
        client = rig.client(LINE)  # no turn of the loop until it closes its door
        rig.entrance.close_idle()
        data, end = await rig.rest(client)
        assert data.startswith(b"BUSY ") and end == "fin"
        client.close()
        await rig.nothing_was_sent()

    played(story)


@pytest.mark.parametrize("late", [b"", LINE, LINE[:9]], ids=["nothing", "a request", "half of one"])
def test_who_rests_until_the_end_is_told_and_a_request_of_that_instant_answered(late: bytes) -> None:
    async def story(rig: Rig) -> None:
        await rig.open()
        client = rig.client(b"PING\r\n")
        assert await rig.until(lambda: rig.read(client)) == b"PONG\r\n"
        if late:
            client.sendall(late)
        rig.entrance.close_idle()
        data, end = await rig.rest(client)
        assert (data == b"ERR\r\n" if late == LINE[:9] else data.startswith(b"BUSY ")) and end == "fin"
        client.close()
        await rig.nothing_was_sent()

    played(story)


@pytest.mark.parametrize(
    "caps,words",
    [
        ({"retryAfter": True, "maxRetryAfterUs": 400_000}, (b"BUSY 400\r\n", b"BUSY 400\r\n")),
        ({"retryAfter": True, "maxRetryAfterUs": 9_000_000}, (b"BUSY 1000\r\n", b"BUSY 1000\r\n")),
        ({"retryAfter": False, "maxRetryAfterUs": 400_000}, (b"BUSY\r\n", b"BUSY\r\n")),
    ],
)
def test_nobody_is_told_at_the_end_to_wait_longer_than_clients_do(caps, words) -> None:
    async def story(rig: Rig) -> None:
        await rig.open(caps={**SETTINGS["caps"], **caps})
        rests, waits = rig.client(b"PING\r\n"), rig.client(LINE.replace(b"1500", b"9000"))
        assert await rig.until(lambda: rig.read(rests)) == b"PONG\r\n"
        await rig.at("s1")
        end = asyncio.create_task(rig.program.shutdown.stop(False, None))
        async with asyncio.timeout(10):
            while not end.done():
                await rig.run(10)
        assert (rig.read(rests), rig.read(waits)) == words

    played(story)


@pytest.mark.parametrize("late", [b"", LINE], ids=["nothing", "a request"])
def test_a_process_that_gives_its_door_away_ends_only_once_all_who_rest_are_told(late: bytes) -> None:
    async def story(rig: Rig) -> None:
        await rig.open(balancers=2)
        client = rig.client(b"PING\r\n")
        assert await rig.until(lambda: rig.read(client)) == b"PONG\r\n"
        if late:
            client.sendall(late)  # no turn of the loop before the signal

        async def told_at_the_end() -> bytes:
            await rig.program.shutdown.stop(True, None)
            return rig.read(client)

        end = asyncio.create_task(told_at_the_end())
        async with asyncio.timeout(10):
            while not end.done():
                await rig.run(10)
        assert end.result().startswith(b"BUSY ")

    played(story)


def test_who_says_nothing_at_the_end_is_not_waited_for() -> None:
    async def story(rig: Rig) -> None:
        await rig.open()
        client = rig.client()
        rig.entrance.close_idle()
        await rig.turns()
        assert rig.read(client) == b""
        await rig.run(LAST_LINE_TIMEOUT_MS + 20)
        assert await rig.rest(client) == (b"ERR\r\n", "fin")

    played(story)


@pytest.mark.parametrize("late", [b"", LINE], ids=["nothing", "a request"])
def test_a_request_in_the_instant_in_which_a_resting_connection_is_given_up_is_served(late: bytes) -> None:
    async def story(rig: Rig) -> None:
        await rig.open()
        client = rig.client(b"PING\r\n")
        assert await rig.until(lambda: rig.read(client)) == b"PONG\r\n"
        await rig.turns()
        if late:
            client.sendall(late)
        rig.clock.advance(IDLE_TIMEOUT_MS)  # without a turn of the loop between
        if late:
            at = await rig.at("s1")
            at.sendall(b"UP r\r\n")
            assert await rig.until(lambda: rig.read(client)) == b"UP r\r\n"
        else:
            assert (await rig.rest(client))[0].startswith(b"BUSY ")

    played(story)


def test_a_ping_and_a_request_in_one_piece_are_both_answered() -> None:
    async def story(rig: Rig) -> None:
        await rig.open()
        client = rig.client(b"PING\r\nPING\r\n" + LINE)
        at = await rig.at("s1")
        at.sendall(b"UP r\r\n")
        got = b""
        async with asyncio.timeout(5):
            while got != b"PONG\r\nPONG\r\nUP r\r\n":
                got += rig.read(client)
                await asyncio.sleep(0)

    played(story)


@pytest.mark.parametrize(
    "effect,sent,word",
    [("safe", True, b"BUSY"), ("keyed", True, b"BUSY"), ("unsafe", True, b"ERR"), ("unsafe", False, b"BUSY")],
)
def test_who_waits_at_the_end_is_told_to_come_again_only_where_that_is_harmless(effect, sent, word) -> None:
    async def story(rig: Rig) -> None:
        await rig.open(effect=effect)
        if not sent:
            rig.say(s1="DRAINING")
            await rig.turns()
        client = rig.client(LINE)
        at = await rig.at("s1") if sent else None
        await rig.until(lambda: rig.program.routing.balancer.requests)
        rig.commands["x1"].mailbox.deliver(AnswerNow(1000))
        data, end = await rig.rest(client)
        assert data.startswith(word) and data.count(b"\n") == 1 and end == "fin"
        if at:
            assert (await rig.rest(at))[0] == b""  # the attempt has ended too

    played(story)


# -- answers that meet decisions --------------------------------------------------------------------


def test_one_that_came_up_as_it_was_refused_stands_and_the_module_knows_it() -> None:
    async def story(rig: Rig) -> None:
        client, at, command = await rig.asked()
        answered = command.on_attempt_result

        def crossed(x, outcome) -> None:  # the answer, and right behind it the module's last word
            answered(x, outcome)
            refused(rig, command)

        command.attempt.on_result = crossed
        at.sendall(b"UP r\r\n")
        assert await rig.until(lambda: rig.read(client)) == b"UP r\r\n"
        await rig.until(lambda: rig.program.routing.balancer.requests)
        rig.say(s1="DRAINING")
        await rig.run(2600)
        assert (await rig.rest(client))[0] == b"MOVE\r\n"

    played(story)


def test_one_that_comes_up_after_it_was_refused_is_closed_before_its_client_hears() -> None:
    async def story(rig: Rig) -> None:
        client, at, command = await rig.asked()
        answered = command.on_attempt_result
        command.attempt.on_result = lambda x, outcome: (refused(rig, command), answered(x, outcome))
        at.sendall(b"UP r\r\n")
        assert await rig.rest(at) == (b"", "fin")
        data, end = await rig.rest(client)
        assert data == b"BUSY 500\r\n" and end == "fin"

    played(story)


def test_a_full_mailbox_loses_no_end() -> None:
    async def story(rig: Rig) -> None:
        await rig.open()
        client, at = await rig.up()
        rig.commands["x1"].mailbox.limit = 0  # full, and nobody has read it yet
        client.close()
        assert await rig.rest(at) == (b"", "fin")
        at.close()
        await rig.until(lambda: not rig.commands)

    played(story)


@pytest.mark.parametrize("reads", [True, False])
def test_a_client_is_moved_while_its_instance_hangs_within_a_line(reads: bool) -> None:
    """And while what the client sends fills the way to an instance that does not read."""

    async def story(rig: Rig) -> None:
        await rig.open()
        client, at = await rig.up()
        at.sendall(b"whole\r\nhal")
        assert await rig.until(lambda: rig.read(client)) == b"whole\r\n"
        if not reads:
            idle = 0
            while idle < 50:
                try:
                    client.send(b"k" * 1023 + b"\n")
                    idle = 0
                except BlockingIOError:
                    idle += 1
                    await asyncio.sleep(0.0002)
            assert not rig.commands["x1"].awaits_client
        rig.commands["x1"].mailbox.put(MigrateClient(interface.AttemptOutcome.CANCELLED))
        got = b""
        async with asyncio.timeout(5):
            while not got.endswith(b"MOVE\r\n"):
                got += rig.read(client)
                await asyncio.sleep(0)
        assert got == b"MOVE\r\n"
        client.close()
        await rig.until(lambda: not rig.commands)

    played(story)


@pytest.mark.parametrize("first", ["answer", "dismissal"])
def test_one_that_came_up_as_the_process_ends_is_moved_and_one_dismissed_first_is_closed(first: str) -> None:
    async def story(rig: Rig) -> None:
        client, at, command = await rig.asked()
        answered = command.on_attempt_result

        def crossed(x, outcome) -> None:
            order = [lambda: answered(x, outcome), lambda: command.mailbox.deliver(AnswerNow(700))]
            for act in order if first == "answer" else reversed(order):
                act()

        command.attempt.on_result = crossed
        at.sendall(b"UP r\r\n")
        assert await rig.rest(at) == (b"", "fin")
        assert await rig.rest(client) == (b"UP r\r\nMOVE\r\n" if first == "answer" else b"BUSY 700\r\n", "fin")

    played(story)


def test_an_answer_in_the_instant_in_which_it_is_waited_for_no_longer_counts_as_none() -> None:
    async def story(rig: Rig) -> None:
        await rig.open("s1", caps={**SETTINGS["caps"], "maxAttempts": 1})
        client = rig.client(LINE)
        at = await rig.at("s1")
        at.sendall(b"UP r\r\n")
        rig.clock.advance(1500)  # no turn of the loop between
        assert await rig.rest(at) == (b"", "fin")
        data, end = await rig.rest(client)
        assert data.split()[0] in (b"BUSY", b"ERR") and data.count(b"\n") == 1 and end == "fin"

    played(story)


def test_a_line_whose_writing_was_stopped_may_have_run(monkeypatch) -> None:
    """Its last byte may be out: whoever may not be asked twice is failed, and no other instance gets it."""
    monkeypatch.setattr(instance_part.protocol, "with_wait", lambda line, ms: line + b"z" * (16 << 20))

    async def story(rig: Rig) -> None:
        await rig.open("s1", "s2", effect="unsafe")
        client = rig.client(LINE)
        await rig.until(
            lambda: (
                rig.commands and rig.commands["x1"].attempt and rig.commands["x1"].attempt.reach == Reach.PARTLY_WRITTEN
            )
        )
        await rig.run(1600)
        assert rig.read(client) == b"ERR\r\n"
        came = 0
        for listener in rig.doors.values():
            with contextlib.suppress(BlockingIOError):
                while True:
                    rig.keep(listener.accept()[0])
                    came += 1
        assert came == 1

    played(story)


@pytest.mark.parametrize("taken", [True, False])
@pytest.mark.parametrize("late", [b"a line\r\nhal", b""], ids=["bytes", "the client's end"])
def test_what_comes_while_a_relay_is_handed_over_is_read_by_whoever_has_it(taken: bool, late: bytes) -> None:
    async def story(rig: Rig) -> None:
        await rig.open()
        client, at = await rig.up()
        command, elsewhere = rig.commands["x1"], []
        await rig.until(command.may_hand_over)

        async def give() -> bool:
            elsewhere.append(rig.keep(command.sock.dup()))
            await rig.turns()
            return taken

        client.sendall(late) if late else client.shutdown(socket.SHUT_WR)  # no turn of the loop before the offer
        handed = await command.hand_over(give)
        assert handed is taken
        if taken:
            assert await rig.until(lambda: rig.read(elsewhere[0]) or not late) == (late or True)
        elif late:
            assert await rig.until(lambda: rig.read(at)) == late
        else:
            assert await rig.rest(at) == (b"", "fin")
        at.close()

    played(story)


@pytest.mark.parametrize("at_once", [True, False])
def test_a_flood_behind_a_first_line_has_its_answer_and_keeps_nobody_waiting(at_once: bool) -> None:
    async def story(rig: Rig) -> None:
        await rig.open()
        flood = rig.client(LINE.replace(b"x1", b"x9") + b"z" * 200_000 * at_once)
        if not at_once:
            await rig.at("s1")
            flood.send(b"z" * 200_000)
        client, at = await rig.up()
        assert rig.read(flood) == b"ERR\r\n"
        for sock in (flood, client, at):
            sock.close()
        await rig.run(LINGER_MS + 20)
        assert not rig.commands

    played(story)


def test_a_signal_that_came_before_the_door_was_open_ends_the_program_with_all_answered() -> None:
    async def story(rig: Rig) -> None:
        await rig.open(balancers=2)
        stop, client = asyncio.Event(), rig.client(LINE)
        stop.set()
        end = asyncio.create_task(rig.program.run_until(stop))
        at = await rig.at("s1")
        at.sendall(b"UP r\r\n")
        async with asyncio.timeout(10):
            while not end.done():
                await rig.run(10)
        end.result()
        assert rig.read(client) == b"UP r\r\nMOVE\r\n" and not rig.commands

    played(story)


# -- probes and the list ----------------------------------------------------------------------------

PROBES = {**SETTINGS["caps"], "probes": True}


def test_a_probe_on_a_connection_that_the_instance_has_closed_is_asked_anew() -> None:
    async def story(rig: Rig) -> None:
        await rig.open(caps=PROBES, report={"how": "probe", "names": ["x0"]})
        results = []
        instance = rig.program.servers.get("s1")
        instance.post = results.append
        for _ in range(2):
            rig.program.servers.send_health_check("s1")
            at = await rig.accepted(rig.doors["s1"])
            assert await rig.until(lambda at=at: rig.read(at)) == b"STATS\r\n"
            at.sendall(b"PONG x0=0.5\r\n")
            await rig.until(lambda: instance.health_check_task.done())
            at.close()  # idle: the program does not look at it now
        assert [r.outcome for r in results] == ["served", "served"]

    played(story)


def test_a_silent_watch_is_given_up_before_what_it_misses_counts() -> None:
    """The agent has a drain from the moment the watch fell silent; nothing new goes there after the grace."""

    async def story(rig: Rig) -> None:
        grace = 2000.0
        await rig.open(obligations={**SETTINGS["obligations"], "drainGraceUs": grace * 1000})
        assert b"index=2&wait=1000 " in await rig.until(lambda: rig.read(rig.list))
        spent = 0.0
        with pytest.raises(BlockingIOError):
            rig.discovery.accept()
        while True:
            await rig.run(10)
            spent += 10
            assert spent < grace
            with contextlib.suppress(BlockingIOError):
                rig.list = rig.keep(rig.discovery.accept()[0])
                break
        assert (await rig.until(lambda: rig.read(rig.list))).startswith(b"GET /discovery/hosts HTTP"), "no watch"
        rig.say(s1="DRAINING")
        await rig.turns()
        client = rig.client(LINE)
        assert (await rig.until(lambda: rig.clock.advance(10) or rig.read(client))).startswith(b"BUSY")

    played(story)


@pytest.mark.parametrize("answered", [True, False])
def test_discovery_that_moves_as_its_answer_comes_leaves_no_version_behind(answered: bool) -> None:
    """The new one knows nothing of the old one's versions: it is asked for the whole list, and its list counts."""

    async def story(rig: Rig) -> None:
        await rig.open()
        await rig.until(lambda: b"index=2" in rig.read(rig.list))
        if answered:
            rig.say(s1="DRAINING")  # no turn of the loop between
        rig.discovery, rig.index = door(), 0
        rig.program.endpoints.change_address(rig.discovery.getsockname())
        rig.list = await rig.accepted(rig.discovery)
        assert (await rig.until(lambda: rig.read(rig.list))).startswith(b"GET /discovery/hosts HTTP")
        rig.say()
        await rig.up()

    played(story)


# -- any order ---------------------------------------------------------------------------------------

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
def test_whatever_the_order_each_has_one_answer_or_end_and_nothing_is_left(before, steps) -> None:
    async def story(rig: Rig) -> None:
        await rig.open()
        rig.program.servers.get("s1")  # its actor is made at first use, and outlives the work
        await rig.turns()
        fds, tasks = len(os.listdir("/proc/self/fd")), len(asyncio.all_tasks())
        client, sent = rig.client(LINE), b""
        at = await rig.at("s1")
        command, left, ended = rig.commands["x1"], False, False
        script = [(what, b"") for what in before] + [("instance", b"UP r\r\n")] + steps
        for what, data in script:
            data = {"half": b"U", "busy": b"BUSY\r\n", "up": b"UP r\r\n"}.get(what, data)
            with contextlib.suppress(OSError):
                if data and not ended:
                    at.sendall(data)
                    sent += data
                elif what == "client" and not left and command.established.is_set():
                    client.sendall(b"hello\r\n")
                elif what == "move" and command.established.is_set():
                    command.mailbox.put(MigrateClient(interface.AttemptOutcome.CANCELLED))
                elif what == "dismiss":
                    command.mailbox.deliver(AnswerNow(700))
                elif what == "nack":
                    refused(rig, command)
                elif what == "turns":
                    await rig.turns()
                elif what == "time":
                    await rig.run(50)
                elif what.startswith("client ") and not left:
                    left = True
                    closed(client, what.endswith("rst"))
                elif what.startswith("instance ") and not ended:
                    ended = True
                    closed(at, what.endswith("rst"))
        await rig.turns()
        got = b""
        if not left:
            command.mailbox.deliver(
                MigrateClient(interface.AttemptOutcome.CANCELLED) if command.established.is_set() else AnswerNow(1000)
            )
            got, _ = await rig.rest(client)
            closed(client, False)
        if not ended:
            await rig.run(20)
            closed(at, False)
        async with asyncio.timeout(5):
            while rig.commands or rig.entrance.tasks:
                await rig.run(10)
        if got.startswith(b"UP "):
            body, _, rest = got.rpartition(b"MOVE\r\n")
            assert not rest or not body, "nothing comes after MOVE"
            passed = body if got.endswith(b"MOVE\r\n") else got
            assert sent.startswith(passed) and got.count(b"MOVE") <= 1
            assert not got.endswith(b"MOVE\r\n") or passed.endswith(b"\r\n"), "between two lines"
        elif not left and got:
            assert got.count(b"\n") == 1 and got.split(b" ")[0].strip() in (b"BUSY", b"ERR"), got
        await rig.turns()
        assert not rig.program.routing.balancer.requests
        gc.collect()
        for sock in (client, at):
            sock.close()
        await rig.until(lambda: len(os.listdir("/proc/self/fd")) <= fds and len(asyncio.all_tasks()) <= tasks)

    played(story)


ANSWERS = {"busy": b"BUSY\r\n", "err": b"ERR\r\n", "half": b"U", "up": b"UP r\r\n", "junk": b"?\r\n"}
MOMENTS = ["turns", "time", "long", "fin", "rst", "drain", "back", "term", *ANSWERS]


@limits(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(
    script=st.lists(st.sampled_from(MOMENTS), max_size=14),
    leaves=st.sampled_from([None, None, "fin", "rst"]),
    when=st.integers(0, 13),
)
def test_whatever_the_order_there_is_one_attempt_at_a_time_and_one_answer_in_time(script, leaves, when) -> None:
    async def story(rig: Rig) -> None:
        await rig.open("s1", "s2")
        out: list[socket.socket] = []  # attempts, the last of them perhaps not over
        over: set[int] = set()
        got, stops, stood, told = b"", None, False, 0.0
        client, began = rig.client(LINE), rig.clock.now()

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
            nonlocal got, told
            for listener in rig.doors.values():
                with contextlib.suppress(BlockingIOError):
                    while True:
                        sock = rig.keep(listener.accept()[0])
                        try:
                            data = sock.recv(1 << 16)
                        except OSError:
                            continue  # it came up and was given up
                        if data.startswith(b"OPEN "):
                            assert not left, "sent on for a client that has left"
                            given_up()  # one that is over was closed before this one was opened
                            assert len(over) == len(out), "two attempts at once"
                            out.append(sock)
            given_up()
            if not left:
                before = got
                with contextlib.suppress(OSError):
                    got += client.recv(1 << 16)
                told = told or (rig.clock.now() if got != before else 0.0)

        left = False
        for n, what in enumerate(script):
            if leaves and n == when and not got:
                closed(client, leaves == "rst")
                await rig.turns()
                look()  # a line that was on its way in that instant
                left = True
            if what == "turns":
                await rig.turns()
            elif what in ("time", "long"):
                for _ in range(30 if what == "long" else 5):
                    await rig.run(10)
                    look()
            elif what in ("drain", "back"):
                await rig.turns()
                with contextlib.suppress(OSError):
                    rig.say(s1="DRAINING" if what == "drain" else "SERVING")
            elif what == "term":
                stops = stops or asyncio.create_task(rig.program.shutdown.stop(False, None))
            elif out and len(out) - 1 not in over and not stood:
                with contextlib.suppress(OSError):
                    if what in ANSWERS:
                        out[-1].sendall(ANSWERS[what])
                        stood = what == "up"
                    else:
                        closed(out[-1], what == "rst")
                if what in ("fin", "rst", "busy", "err", "junk"):
                    over.add(len(out) - 1)
            await rig.turns()
            look()
        while rig.clock.now() < began + 1600:
            await rig.run(10)
            look()
        if not left:
            assert got and (told <= began + 1550 or got.startswith(b"UP")), (got, told - began)
            assert got.split()[0] in (b"UP", b"BUSY", b"ERR")
            assert got.count(b"\n") == 1 or got == b"UP r\r\nMOVE\r\n"
        for sock in [client, *out]:
            sock.close()
        async with asyncio.timeout(10):
            while rig.commands or stops and not stops.done():
                await rig.run(10)

    played(story)
