"""What every lease store guarantees, checked on both kinds."""

from __future__ import annotations

import asyncio

import pytest

from glenrock.coordination.leases.candidate import LeaseRequest, RequestKind
from glenrock.coordination.leases.store import JobRequest, Record

from .store_fixture import SHORT_LEASE_US, StoreFixture, run_with_store

each_kind = pytest.mark.parametrize("kind", ["sqlite", "consul"])


@each_kind
def test_one_holder_at_a_time_growing_terms_and_records_of_a_term(kind, tmp_path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        a, b = fixture.client("a"), fixture.client("b")
        assert await fixture.acquire(a, "x/y z", 1) == 1 and await fixture.acquire(b, "x/y z", 1) == 0
        assert await a.put("x/y z", 1, 1, {"k/é": "v", "\n2": "w"}) and not await b.put("x/y z", 1, 1, {"k": "no"})
        assert await b.records("x/y z") == {"k/é": Record("v", 1, 1), "\n2": Record("w", 1, 1)}
        await b.propose("x/y z", "w#1", "proposal")
        assert await a.proposals("x/y z") == {"w#1": "proposal"} and await a.put("x/y z", 1, 2, {}, "w#1")
        assert await b.proposals("x/y z") == {}
        assert (await b.leases(["x/y z"]))["x/y z"].holder == "a" == (await b.leases())["x/y z"].holder
        assert await fixture.renew(a, "x/y z", 2, 1) == 1 and await fixture.renew(b, "x/y z", 2, 1) == 0
        released = await fixture.submit(a, [JobRequest("x/y z", LeaseRequest(3, RequestKind.RELEASE, 1, 0))])
        assert released["x/y z"] == 0
        assert await fixture.acquire(b, "x/y z", 3, term_floor=7) == 8, "above the term floor"
        assert not await a.put("x/y z", 1, 3, {"k": "late"}) and await fixture.renew(a, "x/y z", 4, 1) == 0
        assert [(p.term, p.holder) for p in await a.past_terms("x/y z")] == [(1, "a"), (8, "b")]
        await a.release_for("x/y z", "b", 7)
        assert (await a.leases(["x/y z"]))["x/y z"].holder == "b", "a lease with another term is not released"
        await a.release_for("x/y z", "b", 8)
        assert (await a.leases(["x/y z"]))["x/y z"].holder == "" and await fixture.acquire(a, "x/y z", 5) == 9

    run_with_store(kind, tmp_path, scenario)


@each_kind
def test_lease_without_renewal_expires_and_late_writes_are_rejected(kind, tmp_path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        a, b = fixture.client("a"), fixture.client("b")
        assert await fixture.acquire(a, "j", 1) == 1
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + 5
        sequence = 1
        while not (term := await fixture.acquire(b, "j", sequence)) and loop.time() < deadline_s:
            sequence += 1
            await asyncio.sleep(0.02)
        assert term == 2 and await fixture.renew(a, "j", 2, 1) == 0 and not await a.put("j", 1, 1, {"k": "late"})

    run_with_store(kind, tmp_path, scenario, SHORT_LEASE_US)


@each_kind
def test_many_jobs_are_acquired_and_renewed_in_one_call(kind, tmp_path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        a, b = fixture.client("a"), fixture.client("b")
        jobs = [f"j{n}" for n in range(150)]
        assert await fixture.acquire(b, "j7", 1) == 1
        got = await fixture.submit(a, [JobRequest(j, LeaseRequest(1, RequestKind.ACQUIRE, 0, 0)) for j in jobs])
        assert got == {j: int(j != "j7") for j in jobs}
        before = fixture.consul.calls if fixture.consul else 0
        again = await fixture.submit(
            a, [JobRequest(j, LeaseRequest(2, RequestKind.RENEW, 1, 0)) for j in jobs if j != "j7"]
        )
        assert set(again.values()) == {1} and (not fixture.consul or fixture.consul.calls - before <= 4)

    run_with_store(kind, tmp_path, scenario)


@each_kind
def test_change_ends_the_wait_for_it(kind, tmp_path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        a, b = fixture.client("a"), fixture.client("b")
        for _ in range(2):
            await b.wait_for_change(0.2)
        waits = asyncio.create_task(b.wait_for_change(20.0))
        await asyncio.sleep(0.1)
        assert not waits.done()
        await a.propose("j", "w#1", "v")
        await asyncio.wait_for(waits, 5)

    run_with_store(kind, tmp_path, scenario)
