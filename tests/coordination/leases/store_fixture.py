"""Lease stores of both kinds for tests, with any number of clients."""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Protocol, TypeVar

from glenrock.coordination.leases.candidate import LeaseRequest, RequestKind
from glenrock.coordination.leases.consul_store import ConsulStore
from glenrock.coordination.leases.sqlite_store import AsyncSqliteStore
from glenrock.coordination.leases.store import JobRequest, LeaseAnswers, LeaseStore
from glenrock.testbed.consul_server import ConsulServer
from glenrock.testbed.loopback import LoopbackNetwork

SHORT_LEASE_US = 300_000  # for tests that wait until a lease expires
LONG_LEASE_US = 30_000_000  # does not expire even if the disk stalls
MAX_ADDRESSES = 16  # a run derives its loopback network from its process id, so two runs may have the same addresses


def lease_request(job: str, sequence: int, kind: RequestKind, term: int = 0, term_floor: int = 0) -> JobRequest:
    """Returns a request for a job's lease."""
    return JobRequest(job, LeaseRequest(sequence, kind, term, term_floor))


class StoreFixture(Protocol):
    """A store's service, and any number of clients of it.

    Attributes:
        lease_us: duration of a lease.
    """

    lease_us: int

    def client(self, holder: str) -> LeaseStore:
        """Returns a new client of the store, for the incarnation `holder` of a process."""
        ...

    def call_count(self) -> int:
        """Returns the number of HTTP calls that the service has answered; 0 for a store without HTTP."""
        ...

    async def open(self) -> None:
        """Starts the service."""
        ...

    async def close(self) -> None:
        """Closes the clients and the service."""
        ...


async def submit(fixture: StoreFixture, store: LeaseStore, *requests: JobRequest) -> LeaseAnswers:
    """Submits lease requests in one call."""
    return await store.submit(requests, fixture.lease_us)


async def acquire(fixture: StoreFixture, store: LeaseStore, job: str, sequence: int, term_floor: int = 0) -> int:
    """Acquires a job's lease. Returns the term, or 0 if the request is rejected."""
    request = lease_request(job, sequence, RequestKind.ACQUIRE, term_floor=term_floor)
    return (await submit(fixture, store, request)).granted_term(job)


async def renew(fixture: StoreFixture, store: LeaseStore, job: str, sequence: int, term: int) -> int:
    """Renews a job's lease. Returns the term, or 0 if the request is rejected."""
    return (await submit(fixture, store, lease_request(job, sequence, RequestKind.RENEW, term))).granted_term(job)


class SqliteFixture:
    """An SQLite file, and its clients."""

    def __init__(self, folder: Path, lease_us: int) -> None:
        self.lease_us = lease_us
        self._path = folder / "s"
        self._clients: list[AsyncSqliteStore] = []

    def client(self, holder: str) -> AsyncSqliteStore:
        """See `StoreFixture`."""
        self._clients.append(AsyncSqliteStore(self._path, holder))
        return self._clients[-1]

    def call_count(self) -> int:
        """See `StoreFixture`."""
        return 0

    async def open(self) -> None:
        """Does nothing: the file needs no service."""

    async def close(self) -> None:
        """See `StoreFixture`."""
        for client in self._clients:
            await client.close()


class ConsulFixture:
    """A fake Consul server, and its clients.

    Attributes:
        server: the fake server.
    """

    def __init__(self, lease_us: int) -> None:
        self.lease_us = lease_us
        self._network = LoopbackNetwork()
        self.server = ConsulServer(self._network.next(), 0.0)
        self._clients: list[ConsulStore] = []

    def client(self, holder: str, lock_delay_us: int = 0) -> ConsulStore:
        """Returns a new client, whose sessions have this lock delay."""
        host, port = self.server.address
        store = ConsulStore([f"{host}:{port}"], holder, self.lease_us, lock_delay_us=lock_delay_us)
        self._clients.append(store)
        return store

    def call_count(self) -> int:
        """See `StoreFixture`."""
        return self.server.calls

    async def open(self) -> None:
        """Starts the service, on the next address if the fake server of another test run has the first one."""
        for _ in range(MAX_ADDRESSES):
            try:
                await self.server.open()
            except OSError as error:
                if error.errno != errno.EADDRINUSE:
                    raise
                await self.server.close()
                self.server = ConsulServer(self._network.next(), 0.0)
            else:
                return
        raise RuntimeError(f"none of {MAX_ADDRESSES} loopback addresses is free")

    async def close(self) -> None:
        """See `StoreFixture`."""
        for client in self._clients:
            await client.close()
        self.server.is_paused = self.server.loses_answers = False
        await self.server.close()


FixtureT = TypeVar("FixtureT", bound=StoreFixture)


def run_scenario(build: Callable[[], FixtureT], scenario: Callable[[FixtureT], Awaitable[None]]) -> None:
    """Builds a store in an event loop, runs a scenario on it, and closes it."""

    async def run() -> None:
        fixture = build()
        await fixture.open()
        try:
            await scenario(fixture)
        finally:
            await fixture.close()

    asyncio.run(run())


def run_with_store(
    kind: str, folder: Path, scenario: Callable[[StoreFixture], Awaitable[None]], lease_us: int = LONG_LEASE_US
) -> None:
    """Runs a scenario on a store of this kind, `sqlite` or `consul`."""

    def build() -> StoreFixture:
        return ConsulFixture(lease_us) if kind == "consul" else SqliteFixture(folder, lease_us)

    run_scenario(build, scenario)


def run_with_consul(scenario: Callable[[ConsulFixture], Awaitable[None]], lease_us: int = LONG_LEASE_US) -> None:
    """Runs a scenario on a fake Consul server."""
    run_scenario(lambda: ConsulFixture(lease_us), scenario)
