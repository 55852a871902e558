"""A client's side of the platform's protocol, which all clients of the testbed share.

The lines are those of `request_line`. What a client does with a connection is its own module's: `clients`,
`scenario_clients`, `frontend`.
"""

from __future__ import annotations

import asyncio

from .loopback import Address
from .request_line import PING_LINE, Answer, AnswerKind

CONNECT_TIMEOUT_S = 1.0
PING_TIMEOUT_S = 1.0


async def connect(address: Address) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Connects to a balancer.

    Raises:
        OSError: it does not accept the connection.
        TimeoutError: the connection does not come up in time.
    """
    return await asyncio.wait_for(asyncio.open_connection(*address), CONNECT_TIMEOUT_S)


async def read_answer(reader: asyncio.StreamReader, timeout_s: float) -> Answer:
    """Reads the answer to a request line.

    Raises:
        ConnectionError: the connection was reset.
    """
    try:
        line = await asyncio.wait_for(reader.readline(), timeout_s)
    except TimeoutError:
        return Answer(AnswerKind.NONE)
    return Answer.decode(line)


async def ping(address: Address) -> bytes:
    """Returns a balancer's answer to PING on a connection of its own; empty where none comes in time."""
    try:
        async with asyncio.timeout(PING_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(PING_LINE)
                return await reader.readline()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return b""
