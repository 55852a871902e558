"""The guarantees of `LeaseStore`, checked on both kinds of store."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from glenrock.coordination.leases.candidate import RequestKind
from glenrock.coordination.leases.store import LeaseAnswers, Record

from .store_fixture import SHORT_LEASE_US, StoreFixture, acquire, lease_request, renew, run_with_store, submit

each_kind = pytest.mark.parametrize("kind", ["sqlite", "consul"])


@each_kind
def test_one_holder_at_a_time_growing_terms_and_records_of_a_term(kind: str, tmp_path: Path) -> None:
    job = "x/y z"

    async def scenario(fixture: StoreFixture) -> None:
        store_a, store_b = fixture.client("a"), fixture.client("b")
        assert await acquire(fixture, store_a, job, 1) == 1
        assert await acquire(fixture, store_b, job, 1) == 0
        assert await store_a.put(job, 1, 1, {"k/é": "v", "\n2": "w"})
        assert not await store_b.put(job, 1, 1, {"k": "no"})
        assert await store_b.records(job) == {"k/é": Record("v", 1, 1), "\n2": Record("w", 1, 1)}
        await store_b.propose(job, "w#1", "proposal")
        assert await store_a.proposals(job) == {"w#1": "proposal"}
        assert await store_a.put(job, 1, 2, {}, "w#1")
        assert await store_b.proposals(job) == {}
        assert (await store_b.leases([job]))[job].holder == "a" == (await store_b.leases())[job].holder
        assert await renew(fixture, store_a, job, 2, 1) == 1
        assert await renew(fixture, store_b, job, 2, 1) == 0
        released = await submit(fixture, store_a, lease_request(job, 3, RequestKind.RELEASE, 1))
        assert released.granted_term(job) == 0
        assert await acquire(fixture, store_b, job, 3, term_floor=7) == 8, "above the term floor"
        assert not await store_a.put(job, 1, 3, {"k": "late"})
        assert await renew(fixture, store_a, job, 4, 1) == 0
        assert [(past.term, past.holder) for past in await store_a.past_terms(job)] == [(1, "a"), (8, "b")]
        await store_a.release_for(job, "b", 7)
        assert (await store_a.leases([job]))[job].holder == "b", "a lease with another term is not released"
        await store_a.release_for(job, "b", 8)
        assert (await store_a.leases([job]))[job].holder == ""
        assert await acquire(fixture, store_a, job, 5) == 9

    run_with_store(kind, tmp_path, scenario)


@each_kind
def test_lease_without_renewal_expires_and_late_writes_are_rejected(kind: str, tmp_path: Path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        store_a, store_b = fixture.client("a"), fixture.client("b")
        assert await acquire(fixture, store_a, "j", 1) == 1
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + 5
        sequence = 1
        while not (term := await acquire(fixture, store_b, "j", sequence)) and loop.time() < deadline_s:
            sequence += 1
            await asyncio.sleep(0.02)
        assert term == 2
        assert await renew(fixture, store_a, "j", 2, 1) == 0
        assert not await store_a.put("j", 1, 1, {"k": "late"})

    run_with_store(kind, tmp_path, scenario, SHORT_LEASE_US)


@each_kind
def test_many_jobs_are_acquired_and_renewed_in_one_call(kind: str, tmp_path: Path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        store_a, store_b = fixture.client("a"), fixture.client("b")
        jobs = [f"j{number}" for number in range(150)]
        assert await acquire(fixture, store_b, "j7", 1) == 1
        acquisitions = [lease_request(job, 1, RequestKind.ACQUIRE) for job in jobs]
        assert await submit(fixture, store_a, *acquisitions) == LeaseAnswers({job: int(job != "j7") for job in jobs})
        calls_before = fixture.call_count()
        renewals = [lease_request(job, 2, RequestKind.RENEW, 1) for job in jobs if job != "j7"]
        renewed = await submit(fixture, store_a, *renewals)
        assert set(renewed.granted_terms.values()) == {1}
        assert fixture.call_count() - calls_before <= 4

    run_with_store(kind, tmp_path, scenario)


@each_kind
def test_change_ends_the_wait_for_it(kind: str, tmp_path: Path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        store_a, store_b = fixture.client("a"), fixture.client("b")
        for _ in range(2):
            await store_b.wait_for_change(0.2)
        waiting = asyncio.create_task(store_b.wait_for_change(20.0))
        await asyncio.sleep(0.1)
        assert not waiting.done()
        await store_a.propose("j", "w#1", "v")
        await asyncio.wait_for(waiting, 5)

    run_with_store(kind, tmp_path, scenario)
