"""Messages to the socket of an upgrade that no predecessor would send."""

from __future__ import annotations

import asyncio
import os
import socket
from pathlib import Path
from typing import Any

import pytest

from glenrock.net.clock import Clock
from glenrock.upgrade.relay_message import REJECTED, SOCKET_NAME
from glenrock.upgrade.relay_receiver import MAX_PREDECESSORS, REJECTION_BURST, RelayReceiver

TIMEOUT_S = 5.0


class NoTable:
    """Stands for the connection table, which no message of these tests reaches."""

    clock = Clock()


def connect(folder: Path) -> socket.socket:
    """Connects to the socket of an upgrade."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    sock.setblocking(False)
    sock.connect(str(folder / SOCKET_NAME))
    return sock


async def start_receiver(folder: Path) -> RelayReceiver:
    """Returns a receiver that listens."""
    table: Any = NoTable()
    receiver = RelayReceiver(str(folder), table)
    receiver.listen()
    return receiver


def test_descriptor_that_is_no_socket_is_closed_and_the_message_rejected(tmp_path: Path) -> None:
    """Guards against a receiver that stops answering, and keeps descriptors, after one unsound message."""

    async def scenario() -> None:
        receiver = await start_receiver(tmp_path)
        loop = asyncio.get_running_loop()
        pipe = os.pipe()
        with connect(tmp_path) as sock:
            before = len(os.listdir("/proc/self/fd"))
            for _ in range(2):
                socket.send_fds(sock, [b"{}"], [pipe[0], sock.fileno()])
                assert await asyncio.wait_for(loop.sock_recv(sock, 100), TIMEOUT_S) == REJECTED
            assert len(os.listdir("/proc/self/fd")) <= before + 1  # the receiver's end of the connection
        for descriptor in pipe:
            os.close(descriptor)
        assert receiver.socket_inode

    asyncio.run(scenario())


def test_rejected_messages_are_answered_at_a_limited_rate(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against messages that take each turn of the event loop (issue 58, picture b)."""

    async def scenario() -> int:
        await start_receiver(tmp_path)
        loop = asyncio.get_running_loop()
        answers = 0
        with connect(tmp_path) as sock:
            deadline = loop.time() + 0.5
            while loop.time() < deadline:
                await loop.sock_sendall(sock, b"{}")
                await loop.sock_recv(sock, 100)
                answers += 1
        return answers

    assert asyncio.run(scenario()) <= REJECTION_BURST + 0.5 * 100 + 1


def test_connections_of_predecessors_are_bounded(tmp_path: Path) -> None:
    async def scenario() -> None:
        await start_receiver(tmp_path)
        loop = asyncio.get_running_loop()
        socks = []
        for _ in range(MAX_PREDECESSORS + 1):
            socks.append(connect(tmp_path))
            await asyncio.sleep(0.01)
        assert await asyncio.wait_for(loop.sock_recv(socks[-1], 100), TIMEOUT_S) == b""
        await loop.sock_sendall(socks[0], b"{}")
        assert await asyncio.wait_for(loop.sock_recv(socks[0], 100), TIMEOUT_S) == REJECTED
        for sock in socks:
            sock.close()

    asyncio.run(scenario())
