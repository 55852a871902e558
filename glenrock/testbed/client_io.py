"""A client's side of the platform's protocol: connecting, and reading the answer to a request line."""

from __future__ import annotations

import asyncio

from .loopback import Address
from .request_line import Answer, AnswerKind

CONNECT_TIMEOUT_S = 1.0


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
