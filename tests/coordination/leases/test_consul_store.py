"""The Consul store against the stand-in's faults."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest

from glenrock.coordination.leases.candidate import LeaseRequest, RequestKind
from glenrock.coordination.leases.consul_store import ConsulStore, escape_key, unescape_key
from glenrock.coordination.leases.store import JobRequest, StoreUnavailableError

from .store_fixture import LONG_LEASE_US, SHORT_LEASE_US, Scenario, StoreFixture, run_with_store


def run_with_consul(folder: Path, scenario: Scenario, lease_us: int = LONG_LEASE_US) -> None:
    run_with_store("consul", folder, scenario, lease_us)


@pytest.mark.parametrize("fault", ["loses_answers", "rejects", "is_paused"])
def test_call_without_an_answer_raises_and_its_late_effect_is_harmless(fault, tmp_path, monkeypatch) -> None:
    monkeypatch.setattr("glenrock.coordination.leases.consul_store.CALL_TIMEOUT_S", 0.2)

    async def scenario(fixture: StoreFixture) -> None:
        a, b = fixture.client("a"), fixture.client("b")
        assert await fixture.acquire(a, "j", 1) == 1
        setattr(fixture.consul, fault, True)
        with pytest.raises(StoreUnavailableError):
            await fixture.renew(a, "j", 2, 1)
        with pytest.raises(StoreUnavailableError):
            await fixture.acquire(b, "k", 1)
        setattr(fixture.consul, fault, False)
        assert await fixture.renew(a, "j", 3, 1) in (0, 1)
        assert await fixture.acquire(b, "k", 2) > 0, "the late lock of its own session does not block it"

    run_with_consul(tmp_path, scenario)


def test_removed_lock_is_not_renewed_though_the_session_lives(tmp_path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        a = fixture.client("a")
        assert await fixture.acquire(a, "j", 1) == 1 and await fixture.acquire(a, "k", 1) == 1
        state = fixture.consul.state
        state.run_transaction([{"KV": {"Verb": "set", "Key": "glenrock/jobs/j", "Value": None}}])
        assert (
            await fixture.submit(
                a,
                [
                    JobRequest("j", LeaseRequest(2, RequestKind.RENEW, 1, 0)),
                    JobRequest("k", LeaseRequest(2, RequestKind.RENEW, 1, 0)),
                ],
            )
        ) == {"j": 0, "k": 1}

    run_with_consul(tmp_path, scenario)


def test_destroyed_session_ends_the_term_and_the_lock_delay_applies(tmp_path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        a, b = fixture.client("a", 400_000), fixture.client("b")
        assert await fixture.acquire(a, "j", 1) == 1
        fixture.consul.state.destroy_session(a.session)
        assert await fixture.acquire(b, "j", 1) == 0, "free, but not granted within the lock delay"
        assert await fixture.renew(a, "j", 2, 1) == 0
        await asyncio.sleep(0.5)
        assert await fixture.acquire(b, "j", 2) == 2

    run_with_consul(tmp_path, scenario)


def test_restored_store_grants_terms_above_the_floor_of_receivers(tmp_path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        a, b = fixture.client("a"), fixture.client("b")
        assert await fixture.acquire(a, "j", 1) == 1
        fixture.consul.take_snapshot()
        released = await fixture.submit(a, [JobRequest("j", LeaseRequest(2, RequestKind.RELEASE, 1, 0))])
        assert released == {"j": 0} and await fixture.acquire(b, "j", 1) == 2
        fixture.consul.restart(to_snapshot=True)
        assert await fixture.renew(b, "j", 2, 2) == 0 and not await b.put("j", 2, 1, {"k": "v"})
        await asyncio.sleep(fixture.lease_us / 1e6 + 0.1)
        assert await fixture.acquire(b, "j", 3, term_floor=2) == 3

    run_with_consul(tmp_path, scenario, SHORT_LEASE_US)


def test_reads_are_consistent_and_a_stale_read_fails_in_the_transaction(tmp_path, monkeypatch) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        a, b = fixture.client("a"), fixture.client("b")
        fixture.consul.take_snapshot()
        fixture.consul.has_stale_reads = True
        assert await fixture.acquire(a, "j", 1) == 1
        assert (await b.leases())["j"].holder == "a"
        read = ConsulStore._call

        async def stale_call(self, method, path, body=None, wait_s=0.0):
            return await read(self, method, path.replace("consistent&", "").replace("?consistent", "?"), body, wait_s)

        monkeypatch.setattr(ConsulStore, "_call", stale_call)
        assert await b.leases() == {}, "planted: a read of a past state"
        assert await fixture.acquire(b, "j", 1) == 0, "and the transaction fails"

    run_with_consul(tmp_path, scenario)


def test_concurrent_acquisitions_grant_one_term(tmp_path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        clients = [fixture.client(f"c{n}") for n in range(6)]
        terms = await asyncio.gather(*(fixture.acquire(c, "j", 1) for c in clients))
        assert sorted(terms) == [0, 0, 0, 0, 0, 1]

    run_with_consul(tmp_path, scenario)


def test_next_server_is_called_after_one_does_not_answer(tmp_path) -> None:
    async def scenario(fixture: StoreFixture) -> None:
        a = fixture.client("a")
        a.addresses.insert(0, "127.0.0.1:1")
        with contextlib.suppress(StoreUnavailableError):
            await fixture.acquire(a, "j", 1)
        assert await fixture.acquire(a, "j", 2) == 1

    run_with_consul(tmp_path, scenario)


@pytest.mark.parametrize("name", ["a", "turnstile/0", "é \n=%", "n1/3-4#5", "=41"])
def test_any_name_survives_escaping_as_one_part_of_a_key(name) -> None:
    assert unescape_key(escape_key(name)) == name and not set(escape_key(name)) & set("/%? \n")
