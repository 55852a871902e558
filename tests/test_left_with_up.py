"""An answer and an end that reach a command in one turn of the loop: neither is lost."""

from __future__ import annotations

import asyncio
import contextlib
import socket

import pytest
import uvloop
from test_ends import Ends


async def together(word: bytes, reset: bool) -> dict[str, int]:
    site = Ends()
    await site.open()
    loop, door = asyncio.get_running_loop(), socket.create_server(("127.0.0.1", 0))
    door.setblocking(False)
    instance = site.program.server.instances.get("s1")
    instance.entry.address = door.getsockname()
    client = socket.create_connection(("127.0.0.1", site.port))
    client.sendall(b"OPEN wait-1 1 c=look,d=1000\r\n")
    while not (site.commands and site.commands["wait-1"].execution and site.commands["wait-1"].execution.sock):
        await asyncio.sleep(0)
    at, _ = await loop.sock_accept(door)
    assert (await loop.sock_recv(at, 100)).startswith(b"OPEN wait-1 ")
    # Both lie in the kernel before the loop looks again, the answer first.
    at.sendall(word + b"\r\n")
    if reset:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    client.close()
    async with asyncio.timeout(0.6):  # well under the second after which an end that nobody passes on is forced
        with contextlib.suppress(ConnectionResetError):  # an end comes in kind
            while await loop.sock_recv(at, 100):
                pass
        at.close()
        while site.commands:
            await asyncio.sleep(0.01)
    door.close()
    return {o: c["look"] for o, c in site.counts.outcomes.items() if c["look"]}


@pytest.mark.parametrize("reset", [False, True])
@pytest.mark.parametrize("word", [b"UP r", b"ERR"])
def test_a_client_that_leaves_as_its_answer_comes_leaves_nothing(word: bytes, reset: bool) -> None:
    counts = uvloop.run(together(word, reset))
    assert sum(counts.values()) == 1
