"""The Consul store on a fake server: lost and late answers, removed locks, dead sessions, stale and restored state."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import pytest

from glenrock.coordination.leases.candidate import RequestKind
from glenrock.coordination.leases.consul_store import ConsulStore, Reply, escape_key, unescape_key
from glenrock.coordination.leases.store import LeaseAnswers, StoreUnavailableError

from .store_fixture import SHORT_LEASE_US, ConsulFixture, acquire, lease_request, renew, run_with_consul, submit

SECOND_US = 1_000_000


@pytest.mark.parametrize("fault", ["loses_answers", "rejects", "is_paused"])
def test_call_without_an_answer_raises_and_its_late_effect_is_harmless(
    fault: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("glenrock.coordination.leases.consul_store.CALL_TIMEOUT_S", 0.2)

    async def scenario(fixture: ConsulFixture) -> None:
        store_a, store_b = fixture.client("a"), fixture.client("b")
        assert await acquire(fixture, store_a, "j", 1) == 1
        setattr(fixture.server, fault, True)
        with pytest.raises(StoreUnavailableError):
            await renew(fixture, store_a, "j", 2, 1)
        with pytest.raises(StoreUnavailableError):
            await acquire(fixture, store_b, "k", 1)
        setattr(fixture.server, fault, False)
        assert await renew(fixture, store_a, "j", 3, 1) in (0, 1)
        assert await acquire(fixture, store_b, "k", 2) > 0, (
            "a lock that the lost call acquired in this client's session does not block it"
        )

    run_with_consul(scenario)


def test_removed_lock_is_not_renewed_though_the_session_lives() -> None:
    async def scenario(fixture: ConsulFixture) -> None:
        store = fixture.client("a")
        assert await acquire(fixture, store, "j", 1) == 1
        assert await acquire(fixture, store, "k", 1) == 1
        remove_lock = {"KV": {"Verb": "set", "Key": "glenrock/jobs/j", "Value": None}}
        fixture.server.state.run_transaction([remove_lock])
        renewals = [lease_request(job, 2, RequestKind.RENEW, 1) for job in ("j", "k")]
        assert await submit(fixture, store, *renewals) == LeaseAnswers({"j": 0, "k": 1})

    run_with_consul(scenario)


def test_destroyed_session_ends_the_term_and_the_lock_delay_applies() -> None:
    async def scenario(fixture: ConsulFixture) -> None:
        store_a, store_b = fixture.client("a", lock_delay_us=400_000), fixture.client("b")
        assert await acquire(fixture, store_a, "j", 1) == 1
        fixture.server.state.destroy_session(store_a.session)
        assert await acquire(fixture, store_b, "j", 1) == 0, "the lock is free, but not granted within the lock delay"
        assert await renew(fixture, store_a, "j", 2, 1) == 0
        await asyncio.sleep(0.5)
        assert await acquire(fixture, store_b, "j", 2) == 2

    run_with_consul(scenario)


def test_restored_store_grants_terms_above_the_floor_of_receivers() -> None:
    async def scenario(fixture: ConsulFixture) -> None:
        store_a, store_b = fixture.client("a"), fixture.client("b")
        assert await acquire(fixture, store_a, "j", 1) == 1
        fixture.server.take_snapshot()
        released = await submit(fixture, store_a, lease_request("j", 2, RequestKind.RELEASE, 1))
        assert released == LeaseAnswers({"j": 0})
        assert await acquire(fixture, store_b, "j", 1) == 2
        fixture.server.restart(to_snapshot=True)
        assert await renew(fixture, store_b, "j", 2, 2) == 0
        assert not await store_b.put("j", 2, 1, {"k": "v"})
        await asyncio.sleep(fixture.lease_us / SECOND_US + 0.1)
        assert await acquire(fixture, store_b, "j", 3, term_floor=2) == 3

    run_with_consul(scenario, SHORT_LEASE_US)


def test_reads_are_consistent_and_a_stale_read_fails_in_the_transaction(monkeypatch: pytest.MonkeyPatch) -> None:
    consistent_call = ConsulStore._call

    async def stale_call(store: ConsulStore, method: str, path: str, body: Any = None, wait_s: float = 0.0) -> Reply:
        stale_path = path.replace("consistent&", "").replace("?consistent", "?")
        return await consistent_call(store, method, stale_path, body, wait_s)

    async def scenario(fixture: ConsulFixture) -> None:
        store_a, store_b = fixture.client("a"), fixture.client("b")
        fixture.server.take_snapshot()
        fixture.server.has_stale_reads = True
        assert await acquire(fixture, store_a, "j", 1) == 1
        assert (await store_b.leases())["j"].holder == "a"
        monkeypatch.setattr(ConsulStore, "_call", stale_call)
        assert await store_b.leases() == {}, "without `consistent`, a read returns a past state"
        assert await acquire(fixture, store_b, "j", 1) == 0, "the transaction fails, since the index has changed"

    run_with_consul(scenario)


def test_concurrent_acquisitions_grant_one_term() -> None:
    async def scenario(fixture: ConsulFixture) -> None:
        clients = [fixture.client(f"c{number}") for number in range(6)]
        terms = await asyncio.gather(*(acquire(fixture, client, "j", 1) for client in clients))
        assert sorted(terms) == [0, 0, 0, 0, 0, 1]

    run_with_consul(scenario)


def test_next_server_is_called_after_one_does_not_answer() -> None:
    async def scenario(fixture: ConsulFixture) -> None:
        store = fixture.client("a")
        store.addresses.insert(0, "127.0.0.1:1")
        with contextlib.suppress(StoreUnavailableError):
            await acquire(fixture, store, "j", 1)
        assert await acquire(fixture, store, "j", 2) == 1

    run_with_consul(scenario)


@pytest.mark.parametrize("name", ["a", "turnstile/0", "é \n=%", "n1/3-4#5", "=41"])
def test_any_name_survives_escaping_as_one_part_of_a_key(name: str) -> None:
    key = escape_key(name)
    assert unescape_key(key) == name
    assert not set(key) & set("/%? \n")
