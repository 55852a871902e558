"""A stand-in for the list service: one line of calls, each at a price, and watches that wait for news."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .history import EventKind, History
from .loopback import Address, Listener, LoopbackNetwork, reset_connection
from .modelled_servers import ModelledServer

LONGEST_WAIT_S = 60.0
GOES_ON_S = 0.2  # a watch goes on where the next call comes within this of the last answer
REASONS = {200: "OK", 404: "Not Found", 503: "Service Unavailable"}


class DiscoveryService:
    """The same names for all balancers, an address for each."""

    def __init__(
        self,
        instances: list[ModelledServer],
        addresses: dict[tuple[int, int], Address],
        history: History,
        net: LoopbackNetwork,
        balancers: int,
        call_ms: float,
        line_s: float,
    ) -> None:
        self.instances, self.addresses, self.history = instances, addresses, history
        self.call_s, self.line_s = call_ms / 1000, line_s
        self.index = 1
        self.changed_at = {s.number: 1 for s in instances}
        self.status = {s.number: "SERVING" for s in instances}
        self.news = asyncio.Event()
        self.turn = asyncio.Lock()
        self.silent = self.refuses = False
        self.slow_s = 0.0
        self.calls = self.refused = self.waiting = self.longest = 0
        self.paying: set[asyncio.Task[None]] = set()
        self.answered: dict[int, float] = {}  # balancer: when last, on the loop's clock
        self.heard: dict[int, float] = {}  # balancer: when it was first answered, on the loop's clock
        self.listeners = [Listener(net.next(), lambda r, w, n=n: self.serve(n, r, w)) for n in range(balancers)]

    def address(self, balancer: int) -> Address:
        return self.listeners[balancer].address

    def open(self) -> None:
        for listener in self.listeners:
            listener.open()

    def close(self) -> None:
        for listener in self.listeners:
            listener.close()
        for task in self.paying:
            task.cancel()

    def change(self, number: int, status: str) -> None:
        """DELETED, DRAINING or SERVING; a new start under one name is a change too."""
        self.index += 1
        self.status[number], self.changed_at[number] = status, self.index
        self.history.note("list", EventKind.LIST_CHANGED, instance=number, status=status, index=self.index)
        self.news.set()
        self.news = asyncio.Event()

    def row(self, balancer: int, s: ModelledServer) -> dict[str, Any]:
        host, port = self.addresses[balancer, s.number]
        return {
            "name": s.name,
            "address": f"{host}:{port}",
            "zone": s.zone,
            "type": s.model.shape.kind,
            "group": 0,
            "status": self.status[s.number],
            "weight": 1.0,
            "since_ms": s.started_ms,
        }

    def answer(self, balancer: int, since: int | None) -> dict[str, Any]:
        there = [
            s
            for s in self.instances
            if (since is not None and self.changed_at[s.number] > since)
            or (since is None and self.status[s.number] != "DELETED")
        ]
        return {"index": self.index, "snapshot": since is None, "endpoints": [self.row(balancer, s) for s in there]}

    async def serve(self, balancer: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while head := await reader.readuntil(b"\r\n\r\n"):
            target = urlsplit(head.split(b" ", 2)[1].decode())
            asked = parse_qs(target.query)
            if target.path != "/discovery/hosts":
                await self.say(writer, 404, {})
                continue
            self.history.note("list", EventKind.DISCOVERY_CALL, balancer=balancer)
            since = int(asked["index"][0]) if "index" in asked else None
            # A watch that goes on is no new call: it costs nothing.
            now = asyncio.get_running_loop().time()
            goes_on = since is not None and now - self.answered.get(balancer, -1.0) < GOES_ON_S
            if (not goes_on and not await self.line()) or self.refuses:
                self.refused += 1
                await self.say(writer, 503, {})
                continue
            self.heard.setdefault(balancer, asyncio.get_running_loop().time())
            if since is not None and since >= self.index:
                wait = min(LONGEST_WAIT_S, int(asked.get("wait", ["0"])[0]) / 1000)
                try:
                    await asyncio.wait_for(self.news.wait(), wait)
                except TimeoutError:
                    pass
            while self.silent:
                await asyncio.sleep(0.02)
            if self.refuses:
                reset_connection(writer)
                return
            body = self.answer(balancer, since)
            await self.say(writer, 200, body)
            self.answered[balancer] = asyncio.get_running_loop().time()
            for s in self.instances:
                if any(row["name"] == s.name for row in body["endpoints"]):
                    s.told_start[balancer] = s.started_ms
                    self.history.note(
                        "list", EventKind.LISTED, balancer=balancer, instance=s.party, status=self.status[s.number]
                    )

    async def line(self) -> bool:
        """A turn in the line of calls; False for one that has waited too long. The service works on for it."""
        begun = asyncio.Event()
        self.calls += 1
        self.waiting += 1
        self.longest = max(self.longest, self.waiting)
        paid = asyncio.get_running_loop().create_task(self.pay(begun))
        self.paying.add(paid)
        paid.add_done_callback(self.paying.discard)
        try:
            await asyncio.wait_for(begun.wait(), self.line_s)
        except TimeoutError:
            return False
        await asyncio.shield(paid)
        return True

    async def pay(self, begun: asyncio.Event) -> None:
        async with self.turn:
            begun.set()
            await asyncio.sleep(self.slow_s or self.call_s)
            self.waiting -= 1

    async def say(self, writer: asyncio.StreamWriter, status: int, body: dict[str, Any]) -> None:
        data = json.dumps(body).encode()
        writer.write(
            f"HTTP/1.1 {status} {REASONS[status]}\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(data)}\r\n\r\n".encode()
            + data
        )
        await writer.drain()
