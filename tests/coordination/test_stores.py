"""Both stores by one table of what every store promises; Consul's client among the service's faults (the stand-in)."""

from __future__ import annotations

import asyncio
import contextlib
from pathlib import Path

import pytest

from glenrock.coordination.leases.candidate import LeaseRequest
from glenrock.coordination.leases.consul_store import ConsulStore, escape_key, unescape_key
from glenrock.coordination.leases.sqlite_store import AsyncSqliteStore
from glenrock.coordination.leases.store import LeaseStore, Record, StoreUnavailableError
from glenrock.testbed.consul_server import ConsulServer
from glenrock.testbed.loopback import LoopbackNetwork

LEASE = 300_000


class Rig:
    """A store's service, and as many clients of it as wanted."""

    def __init__(self, kind: str, folder: Path) -> None:
        self.kind, self.folder = kind, folder
        self.consul = ConsulServer(LoopbackNetwork().next(), 0.0) if kind == "consul" else None
        self.clients: list[LeaseStore] = []

    def client(self, holder: str, lock_delay_us: int = 0, token: str = "") -> LeaseStore:
        if self.consul:
            address = "{}:{}".format(*self.consul.address)
            made: LeaseStore = ConsulStore([address], holder, LEASE, lock_delay_us=lock_delay_us, token=token)
        else:
            made = AsyncSqliteStore(self.folder / "s", holder, lock_delay_us)
        self.clients.append(made)
        return made


def played(kind: str, folder: Path, work) -> None:
    async def all_of_it() -> None:
        rig = Rig(kind, folder)
        if rig.consul:
            await rig.consul.open()
        try:
            await work(rig)
        finally:
            for c in rig.clients:
                await c.close()
            if rig.consul:
                rig.consul.is_paused = rig.consul.loses_answers = False
                await rig.consul.close()

    asyncio.run(all_of_it())


async def take(s: LeaseStore, job: str, n: int, floor: int = 0) -> int:
    return (await s.submit([(job, LeaseRequest(n, "acquire", 0, floor))], LEASE))[job]


async def renew(s: LeaseStore, job: str, n: int, term: int) -> int:
    return (await s.submit([(job, LeaseRequest(n, "renew", term, 0))], LEASE))[job]


both = pytest.mark.parametrize("kind", ["sqlite", "consul"])


@both
def test_one_holder_terms_that_grow_records_in_the_name_of_a_term(kind, tmp_path) -> None:
    async def work(rig: Rig) -> None:
        a, b = rig.client("a"), rig.client("b")
        assert await take(a, "x/y z", 1) == 1 and await take(b, "x/y z", 1) == 0
        assert await a.put("x/y z", 1, 1, {"k/é": "v", "\n2": "w"}) and not await b.put("x/y z", 1, 1, {"k": "no"})
        assert await b.records("x/y z") == {"k/é": Record("v", 1, 1), "\n2": Record("w", 1, 1)}
        await b.propose("x/y z", "w#1", "wish")
        assert await a.proposals("x/y z") == {"w#1": "wish"} and await a.put("x/y z", 1, 2, {}, "w#1")
        assert await b.proposals("x/y z") == {}
        assert (await b.leases(["x/y z"]))["x/y z"].holder == "a" == (await b.leases())["x/y z"].holder
        assert await renew(a, "x/y z", 2, 1) == 1 and await renew(b, "x/y z", 2, 1) == 0
        assert (await a.submit([("x/y z", LeaseRequest(3, "release", 1, 0))], LEASE))["x/y z"] == 0
        assert await take(b, "x/y z", 3, floor=7) == 8, "above what a receiver has seen"
        assert not await a.put("x/y z", 1, 3, {"k": "late"}) and await renew(a, "x/y z", 4, 1) == 0
        assert [(p.term, p.holder) for p in await a.past_terms("x/y z")] == [(1, "a"), (8, "b")]
        await a.free("x/y z", "b", 7)
        assert (await a.leases(["x/y z"]))["x/y z"].holder == "b", "another term than was named is not given back"
        await a.free("x/y z", "b", 8)
        assert (await a.leases(["x/y z"]))["x/y z"].holder == "" and await take(a, "x/y z", 5) == 9

    played(kind, tmp_path, work)


@both
def test_a_lease_that_is_not_renewed_runs_out_and_its_late_writes_are_refused(kind, tmp_path) -> None:
    async def work(rig: Rig) -> None:
        a, b = rig.client("a"), rig.client("b")
        assert await take(a, "j", 1) == 1
        until = asyncio.get_running_loop().time() + 5
        n = 1
        while not (term := await take(b, "j", n)) and asyncio.get_running_loop().time() < until:
            n += 1
            await asyncio.sleep(0.02)
        assert term == 2 and await renew(a, "j", 2, 1) == 0 and not await a.put("j", 1, 1, {"k": "late"})

    played(kind, tmp_path, work)


@both
def test_many_jobs_are_taken_and_renewed_in_one_call(kind, tmp_path) -> None:
    async def work(rig: Rig) -> None:
        a, b = rig.client("a"), rig.client("b")
        jobs = [f"j{n}" for n in range(150)]
        assert await take(b, "j7", 1) == 1
        got = await a.submit([(j, LeaseRequest(1, "acquire", 0, 0)) for j in jobs], LEASE)
        assert got == {j: int(j != "j7") for j in jobs}
        before = rig.consul.calls if rig.consul else 0
        again = await a.submit([(j, LeaseRequest(2, "renew", 1, 0)) for j in jobs if j != "j7"], LEASE)
        assert set(again.values()) == {1} and (not rig.consul or rig.consul.calls - before <= 4)

    played(kind, tmp_path, work)


@both
def test_a_change_wakes_who_waits_for_it(kind, tmp_path) -> None:
    async def work(rig: Rig) -> None:
        a, b = rig.client("a"), rig.client("b")
        for _ in range(2):
            await b.changed(0.2)
        waits = asyncio.create_task(b.changed(20.0))
        await asyncio.sleep(0.1)
        assert not waits.done()
        await a.propose("j", "w#1", "v")
        await asyncio.wait_for(waits, 5)

    played(kind, tmp_path, work)


def consul(folder: Path, work) -> None:
    played("consul", folder, work)


@pytest.mark.parametrize("what", ["loses_answers", "rejects", "is_paused"])
def test_no_answer_is_no_answer_and_what_counted_all_the_same_does_no_harm(what, tmp_path, monkeypatch) -> None:
    monkeypatch.setattr("glenrock.coordination.leases.consul_store.CALL_TIMEOUT_S", 0.2)

    async def work(rig: Rig) -> None:
        a, b = rig.client("a"), rig.client("b")
        assert await take(a, "j", 1) == 1
        setattr(rig.consul, what, True)
        with pytest.raises(StoreUnavailableError):
            await renew(a, "j", 2, 1)
        with pytest.raises(StoreUnavailableError):
            await take(b, "k", 1)
        setattr(rig.consul, what, False)
        assert await renew(a, "j", 3, 1) in (0, 1)
        assert await take(b, "k", 2) > 0, "its own lock of a call that was given up is no hindrance"

    consul(tmp_path, work)


def test_a_lock_that_was_taken_away_is_not_renewed_though_the_session_lives(tmp_path) -> None:
    async def work(rig: Rig) -> None:
        a = rig.client("a")
        assert await take(a, "j", 1) == 1 and await take(a, "k", 1) == 1
        state = rig.consul.state
        state.run_transaction([{"KV": {"Verb": "set", "Key": "glenrock/jobs/j", "Value": None}}])
        assert (
            await a.submit([("j", LeaseRequest(2, "renew", 1, 0)), ("k", LeaseRequest(2, "renew", 1, 0))], LEASE)
        ) == {"j": 0, "k": 1}

    consul(tmp_path, work)


def test_a_session_that_an_operator_ends_is_no_term_and_the_lock_delay_holds(tmp_path) -> None:
    async def work(rig: Rig) -> None:
        a, b = rig.client("a", 400_000), rig.client("b")
        assert await take(a, "j", 1) == 1
        rig.consul.state.destroy_session(a.session)
        assert await take(b, "j", 1) == 0, "free, but not given within the delay"
        assert await renew(a, "j", 2, 1) == 0
        await asyncio.sleep(0.5)
        assert await take(b, "j", 2) == 2

    consul(tmp_path, work)


def test_a_store_that_goes_back_in_time_gives_terms_above_what_receivers_have_seen(tmp_path) -> None:
    async def work(rig: Rig) -> None:
        a, b = rig.client("a"), rig.client("b")
        assert await take(a, "j", 1) == 1
        rig.consul.take_snapshot()
        assert (await a.submit([("j", LeaseRequest(2, "release", 1, 0))], LEASE)) == {"j": 0} and await take(
            b, "j", 1
        ) == 2
        rig.consul.restart(to_snapshot=True)
        assert await renew(b, "j", 2, 2) == 0 and not await b.put("j", 2, 1, {"k": "v"})
        await asyncio.sleep(LEASE / 1e6 + 0.1)
        assert await take(b, "j", 3, floor=2) == 3

    consul(tmp_path, work)


def test_an_old_answer_is_never_read_and_a_client_that_did_would_be_refused(tmp_path, monkeypatch) -> None:
    async def work(rig: Rig) -> None:
        a, b = rig.client("a"), rig.client("b")
        rig.consul.take_snapshot()
        rig.consul.has_stale_reads = True
        assert await take(a, "j", 1) == 1
        assert (await b.leases())["j"].holder == "a"
        read = ConsulStore._call

        async def careless(self, method, path, body=None, more_s=0.0):
            return await read(self, method, path.replace("consistent&", "").replace("?consistent", "?"), body, more_s)

        monkeypatch.setattr(ConsulStore, "_call", careless)
        assert await b.leases() == {}, "planted: it reads what was true before"
        assert await take(b, "j", 1) == 0, "and is refused by the transaction"

    consul(tmp_path, work)


def test_of_two_that_read_the_same_state_one_is_refused(tmp_path) -> None:
    async def work(rig: Rig) -> None:
        clients = [rig.client(f"c{n}") for n in range(6)]
        terms = await asyncio.gather(*(take(c, "j", 1) for c in clients))
        assert sorted(terms) == [0, 0, 0, 0, 0, 1]

    consul(tmp_path, work)


def test_the_next_server_is_asked_where_one_does_not_answer(tmp_path) -> None:
    async def work(rig: Rig) -> None:
        a = rig.client("a")
        a.addresses.insert(0, "127.0.0.1:1")
        with contextlib.suppress(StoreUnavailableError):
            await take(a, "j", 1)
        assert await take(a, "j", 2) == 1

    consul(tmp_path, work)


@pytest.mark.parametrize("name", ["a", "turnstile/0", "é \n=%", "n1/3-4#5", "=41"])
def test_any_name_is_one_part_of_a_key_and_back(name) -> None:
    assert unescape_key(escape_key(name)) == name and not set(escape_key(name)) & set("/%? \n")
