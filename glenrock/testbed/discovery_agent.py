"""A stand-in for the discovery agent on a balancer's machine: whole lists, watches, and what can go wrong with both."""

from __future__ import annotations

import asyncio
import time
from urllib.parse import parse_qs, urlsplit

from .endpoint_directory import EndpointDirectory
from .loopback import Address, Listener, reset_connection
from .records import ListedRecord, RunRecord

MAX_WATCH_S = 60.0
REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}
SLOW_PIECES = 20  # a slow answer comes in so many pieces


class DiscoveryAgent:
    """The agent of one balancer.

    Attributes:
        refuses: answers 503.
        slow_s: an answer takes this long from its first byte to its last.
        cuts: this many answers are still to be cut in their middle.
        calls: taken so far. `bytes_sent`: of all answers.
    """

    def __init__(self, balancer: int, address: Address, directory: EndpointDirectory, record: RunRecord) -> None:
        self.refuses = False
        self.slow_s = 0.0
        self.cuts = 0
        self.calls = 0
        self.bytes_sent = 0
        self._speaks = asyncio.Event()
        self._speaks.set()
        self._balancer = balancer
        self._directory = directory
        self._record = record
        self._listener = Listener(address, self._serve)

    @property
    def address(self) -> Address:
        """Where the balancer calls."""
        return self._listener.address

    @property
    def silent(self) -> bool:
        """Whether it takes calls and says nothing."""
        return not self._speaks.is_set()

    def set_silent(self, silent: bool) -> None:
        """Falls silent, or answers again whoever waits."""
        if silent:
            self._speaks.clear()
        else:
            self._speaks.set()

    def open(self) -> None:
        """Listens from now on."""
        self._listener.open()

    def close(self) -> None:
        """Ends all connections."""
        self._listener.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            self.calls += 1
            target = urlsplit(head.split(b" ", 2)[1].decode())
            query = parse_qs(target.query)
            if self.refuses:
                await self._send(writer, 503, b"{}")
                continue
            since = int(query["index"][0]) if "index" in query else None
            if since is not None and since >= self._directory.version:
                wait_ms = float(query.get("wait", ["0"])[0])
                await self._directory.wait_for_change(min(MAX_WATCH_S, wait_ms / 1000))
            await self._speaks.wait()
            if self.refuses:
                reset_connection(writer)
                return
            if not await self._send(writer, 200, self._directory.answer_bytes(since)):
                return
            self._note_told(since)

    def _note_told(self, since: int | None) -> None:
        now_s = time.monotonic()
        for server in self._directory.servers.values():
            if since is None or server.version > since:
                self._record.listed.append(ListedRecord(self._balancer, server.name, server.status, now_s))

    async def _send(self, writer: asyncio.StreamWriter, status: int, body: bytes) -> bool:
        """False where the answer was cut off."""
        head = f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Length: {len(body)}\r\n\r\n"
        data = head.encode() + body
        self.bytes_sent += len(data)
        if self.cuts and status == 200:
            self.cuts -= 1
            writer.write(data[: len(data) // 2])
            await writer.drain()
            reset_connection(writer)
            return False
        pieces = SLOW_PIECES if self.slow_s else 1
        size = max(1, -(-len(data) // pieces))
        for start in range(0, len(data), size):
            writer.write(data[start : start + size])
            await writer.drain()
            if self.slow_s:
                await asyncio.sleep(self.slow_s / pieces)
        return True
