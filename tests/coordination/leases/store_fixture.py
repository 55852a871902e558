"""A lease store of each kind for tests, with as many clients as wanted."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from pathlib import Path

from glenrock.coordination.leases.candidate import LeaseRequest, RequestKind
from glenrock.coordination.leases.consul_store import ConsulStore
from glenrock.coordination.leases.sqlite_store import AsyncSqliteStore
from glenrock.coordination.leases.store import JobRequest, LeaseStore
from glenrock.testbed.consul_server import ConsulServer
from glenrock.testbed.loopback import LoopbackNetwork

SHORT_LEASE_US = 300_000  # for tests that wait for its expiry
LONG_LEASE_US = 30_000_000  # far above a stall of the disk


class StoreFixture:
    """A store's service, and as many clients of it as wanted."""

    def __init__(self, kind: str, folder: Path, lease_us: int) -> None:
        self.kind, self.folder, self.lease_us = kind, folder, lease_us
        self.consul = ConsulServer(LoopbackNetwork().next(), 0.0) if kind == "consul" else None
        self.clients: list[LeaseStore] = []

    def client(self, holder: str, lock_delay_us: int = 0, token: str = "") -> LeaseStore:
        if self.consul:
            address = "{}:{}".format(*self.consul.address)
            made: LeaseStore = ConsulStore([address], holder, self.lease_us, lock_delay_us=lock_delay_us, token=token)
        else:
            made = AsyncSqliteStore(self.folder / "s", holder, lock_delay_us)
        self.clients.append(made)
        return made

    async def submit(self, store: LeaseStore, requests: list[JobRequest]) -> dict[str, int]:
        return await store.submit(requests, self.lease_us)

    async def acquire(self, store: LeaseStore, job: str, sequence: int, term_floor: int = 0) -> int:
        return (
            await self.submit(store, [JobRequest(job, LeaseRequest(sequence, RequestKind.ACQUIRE, 0, term_floor))])
        )[job]

    async def renew(self, store: LeaseStore, job: str, sequence: int, term: int) -> int:
        return (await self.submit(store, [JobRequest(job, LeaseRequest(sequence, RequestKind.RENEW, term, 0))]))[job]


Scenario = Callable[[StoreFixture], Awaitable[None]]


def run_with_store(kind: str, folder: Path, scenario: Scenario, lease_us: int = LONG_LEASE_US) -> None:
    async def run() -> None:
        fixture = StoreFixture(kind, folder, lease_us)
        if fixture.consul:
            await fixture.consul.open()
        try:
            await scenario(fixture)
        finally:
            for client in fixture.clients:
                await client.close()
            if fixture.consul:
                fixture.consul.is_paused = fixture.consul.loses_answers = False
                await fixture.consul.close()

    asyncio.run(run())
