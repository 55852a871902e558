"""The pure parts of work done together: the board of bans, datagrams, holdings, shards, what is kept, the file."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.coordination import config, datagrams
from glenrock.coordination.durable_state import DurableState, StoredPermit
from glenrock.coordination.leases.candidate import LeaseTiming
from glenrock.coordination.leases.fence import Fence
from glenrock.coordination.leases.lease_manager import LeaseManager
from glenrock.coordination.leases.store import Lease
from glenrock.coordination.membership import (
    LIVENESS_TIMEOUT_US,
    PeerLiveness,
    preferred_member,
    rank,
    rendezvous_score,
    stable_hash,
)
from glenrock.coordination.override_replication import OverrideReplication
from glenrock.coordination.shared_work.health_check_shards import CHECK_INTERVAL_US, HealthCheckShards, load_of, step_of
from glenrock.coordination.shared_work.override_log import (
    OverrideEntry,
    OverrideLog,
    decode_entry,
    decode_pending,
    decode_pending_id,
    incarnation_key,
)
from glenrock.coordination.shared_work.retransmissions import Retransmissions
from glenrock.routing.load_estimation import FRESH_REPORT_US
from glenrock.toml_file import InputFileError

S = 1_000_000

# -- the board ---------------------------------------------------------------------------------------------

words = st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 3), st.integers(1, 4)), max_size=12, unique=True)


@given(words, st.randoms())
def test_words_in_any_order_and_twice_are_the_same_board(said, draw) -> None:
    one, other = OverrideLog(), OverrideLog()
    for server, term, number in said:
        one.merge_entry(server, OverrideEntry(bool(number % 2), (term, number)))
    again = said + draw.sample(said, len(said) // 2)
    draw.shuffle(again)
    for server, term, number in again:
        other.merge_entry(server, OverrideEntry(bool(number % 2), (term, number)))
    assert one.entries == other.entries and one.digest == other.digest and one.last == other.last
    highest = {s: max((t, n) for x, t, n in said if x == s) for s, _, _ in said}
    assert all(one.is_suspended(s) == bool(revision[1] % 2) for s, revision in highest.items())
    lacks = OverrideLog()
    for server, word in one.entries_after((0, 0)):
        lacks.merge_entry(server, word)
    assert lacks.digest == one.digest


def test_what_was_said_here_holds_until_its_life_is_numbered_whatever_older_words_say() -> None:
    b = OverrideLog()
    b.add_pending("n1/5#1", "s", True)
    assert b.merge_entry("s", OverrideEntry(False, (1, 1))) is None and b.is_suspended("s"), (
        "an older word changes nothing here"
    )
    b.add_pending("n1/5#2", "s", False)
    assert list(b.pending) == ["n1/5#2"] and not b.is_suspended("s"), "the last that was said counts"
    b.add_pending("n1/5#3", "t", True)
    b.merge_entry("t", OverrideEntry(False, (1, 3)))  # its own word was followed by another before it was seen here
    assert b.record_committed("n2/9", 9) == {} and b.record_committed("n1/5", 3) == {"t": False} and not b.pending


@pytest.mark.parametrize(
    "value", ["", "{}", "[]", '{"out": 1}', '{"server": "", "out": true}', '{"server": 5, "out": true}']
)
def test_what_is_no_word_and_no_wish_is_none(value) -> None:
    wish = decode_pending(value)
    assert wish is None and (decode_entry(value, (1, 1)) is None or '"server"' in value)
    assert (
        decode_pending_id("x") == ("", 0)
        and decode_pending_id("a/b#7") == ("a/b", 7)
        and decode_pending_id("a#x")[1] == 0
    )
    assert incarnation_key("a")[0] == "\n"


def test_a_word_is_sent_again_until_it_was_taken_and_ever_more_seldom() -> None:
    t, now, sent = Retransmissions(), 0, []
    t.add(3, "s", (1, 2), now)
    while now < 10 * S:
        sent += [now for _ in t.start_due_sends(now)]
        now += 10_000
    assert 6 <= len(sent) <= 12 and sent[1] - sent[0] <= 100_000
    t.acknowledge(3, "s", (1, 1))
    assert t.unacknowledged, "an older word's answer does not count"
    t.acknowledge(3, "s", (1, 2))
    assert not t.unacknowledged and not t.start_due_sends(now)


# -- datagrams ---------------------------------------------------------------------------------------------

number = st.integers(0, datagrams.MAX_NUMBER)
server = st.text(min_size=1, max_size=60).filter(lambda s: s.isprintable())
job = st.sampled_from(["bans", "j", "x" * datagrams.MAX_JOB_BYTES])
messages = st.one_of(
    st.builds(datagrams.LeaderHeartbeat, job, number, number),
    st.builds(datagrams.JobReleased, job),
    st.builds(datagrams.KnownOverride, job, st.tuples(number, number), st.booleans(), server),
    st.builds(datagrams.SyncRequest, job, number, st.tuples(number, number), st.booleans()),
    st.builds(datagrams.OverrideUpdate, job, number, number, st.tuples(number, number), st.booleans(), server),
    st.builds(
        datagrams.Acknowledgement, job, st.booleans(), number, number, number, st.tuples(number, number), number, server
    ),
)


@given(messages, st.data())
def test_a_datagram_is_read_back_and_no_part_of_it_is_taken_for_another(m, data) -> None:
    told = datagrams.encode(m)
    if told is None:
        assert (
            isinstance(m, datagrams.OverrideUpdate | datagrams.Acknowledgement | datagrams.KnownOverride)
            and len(m.server.encode()) > 150
        )
        return
    assert len(told) <= datagrams.MAX_BYTES and told[0] >= 0xF1 and datagrams.decode(told) == m
    cut = told[: data.draw(st.integers(0, len(told) - 1))]
    found = datagrams.decode(cut)
    assert (
        found is None
        or isinstance(m, datagrams.OverrideUpdate | datagrams.Acknowledgement | datagrams.KnownOverride)
        and isinstance(found, type(m))
        and (m.server.startswith(found.server))
    )


@given(st.binary(max_size=300))
def test_any_bytes_are_a_message_or_none(data) -> None:
    datagrams.decode(data)
    datagrams.decode(b"\xf3" + data)
    HealthCheckShards(PeerLiveness(0, range(3), 0)).receive(data, 0)


# -- holdings ----------------------------------------------------------------------------------------------

RULES = LeaseTiming(
    lease_us=1_000_000,
    max_drift_fraction=0.02,
    request_timeout_us=300_000,
    retry_interval_us=100_000,
    unreachable_backoff_us=200_000,
)


def ranked(key: str, members: range) -> list[int]:
    order = sorted(members, key=lambda m: rendezvous_score(m, stable_hash(key)))
    assert preferred_member(key, members) == order[0] and [rank(key, m, members, 99) for m in order] == list(members)
    return order


class Members:
    """Members on one store in simulated time. `dead` do nothing; `asleep` neither, and wake."""

    def __init__(self, count: int, jobs: int) -> None:
        self.now, self.calls = 0, 0
        self.jobs = [f"j{n}" for n in range(jobs)]
        self.rosters = [PeerLiveness(n, range(count), 0) for n in range(count)]
        self.all = [LeaseManager(r, RULES, self.jobs, 200_000) for r in self.rosters]
        self.leases: dict[str, tuple[int, int, int]] = {}  # job: holder, term, until
        self.still: set[int] = set()

    def run(self, seconds: float, idle: int = -1) -> None:
        until = self.now + round(seconds * S)
        while self.now < until:
            self.now += 50_000
            for n, h in enumerate(self.all):
                if n in self.still:
                    continue
                for m, r in enumerate(self.rosters):
                    if m != n and m not in self.still:
                        r.record_heard(n, self.now)
                if self.now % 200_000 == 0:
                    asked = h.jobs_to_watch(self.now, self.now % S == 0)
                    self.calls += bool(asked)
                    h.record_leases(asked, {j: self.lease(j) for j in asked if j in self.leases}, self.now)
                asks = h.tick(self.now).requests
                self.calls += bool(asks)
                more = h.handle_answers(asks, {j: self.ask(n, j, a.kind, a.term) for j, a in asks}, self.now).requests
                h.handle_answers(more, {j: self.ask(n, j, a.kind, a.term) for j, a in more}, self.now)
                for j in h.held_jobs(self.now):
                    assert self.leases[j][0] == n, "who holds by its own clock holds at the store"
                    if n != idle:
                        h.record_work(j, self.now)

    def lease(self, j: str) -> Lease:
        holder, term, until = self.leases[j]
        return Lease(str(holder) if until > self.now else "", term, max(0, until - self.now))

    def ask(self, n: int, j: str, kind: str, term: int) -> int:
        holder, at, until = self.leases.get(j, (-1, 0, 0))
        free = until <= self.now
        if kind == "acquire" and (free or holder == n):
            self.leases[j] = n, at + 1, self.now + RULES.lease_us
            return at + 1
        if kind == "renew" and not free and (holder, at) == (n, term):
            self.leases[j] = n, at, self.now + RULES.lease_us
            return at
        if kind == "release" and (holder, at) == (n, term):
            self.leases[j] = n, at, 0
        return 0

    def owners(self) -> dict[str, int]:
        return {j: holder for j, (holder, _, until) in self.leases.items() if until > self.now}


def test_jobs_are_spread_found_again_after_a_death_and_given_back_to_who_comes_first() -> None:
    m = Members(5, 60)
    m.run(8)
    owners = m.owners()
    assert len(owners) == 60 and all(owners[j] == ranked(j, range(5))[0] for j in m.jobs)
    m.still = {owners["j0"]}
    m.run(4.5)
    after = m.owners()
    assert len(after) == 60 and not set(after.values()) & m.still
    assert all(after[j] == owners[j] for j in m.jobs if owners[j] not in m.still), "nothing else moves"
    m.still = set()
    m.run(14)
    assert sum(m.owners()[j] == owners[j] for j in m.jobs) >= 58, "work goes back, some at a time"


def test_calls_at_the_store_do_not_grow_with_the_jobs() -> None:
    calls = []
    for jobs in (10, 300):
        m = Members(6, jobs)
        m.run(6)
        m.calls = 0
        m.run(10)
        calls.append(m.calls)
    assert calls[1] <= 2.5 * calls[0] and calls[1] <= 6 * 10 * (5 + 3)


def test_an_owner_that_renews_and_works_no_more_steps_down_and_another_takes_over() -> None:
    m = Members(3, 1)
    m.run(3)
    idle = m.owners()["j0"]
    m.run(2.0, idle=idle)
    assert m.owners()["j0"] != idle
    rests = 0
    for _ in range(100):  # the one that took over offers it to the first in the order, which does not want it
        m.run(0.1, idle=idle)
        rests += not m.owners()
    assert rests <= 12, "and ever more seldom"
    assert ranked("j0", range(3))[0] == idle, "it was the first, and asks no more for a while"


def test_all_who_wake_in_one_instant_leave_one_owner() -> None:
    m = Members(8, 4)
    m.run(3)
    m.still = set(range(8))
    m.now += 5 * S
    m.still = set()
    m.run(2)
    assert len(m.owners()) == 4


# -- shards of probes --------------------------------------------------------------------------------------


def test_each_server_has_one_prober_words_are_fresh_for_a_second_and_silence_brings_probes_back() -> None:
    names = [f"s-{n}" for n in range(40)]
    shards = [HealthCheckShards(PeerLiveness(n, range(4), 0)) for n in range(4)]
    for s in shards:
        s.update_servers(names)
    asked = [s.start_due_checks(0) for s in shards]
    assert sorted(sum(asked, [])) == sorted(names) and not any(
        s.start_due_checks(CHECK_INTERVAL_US - 1) for s in shards
    )
    for name in asked[0]:
        shards[0].record_result(name, 0.7, 10)
    (data,) = shards[0].pop_datagrams()
    assert len(data) < 256 and shards[0].pop_datagrams() == []
    loads = shards[1].receive(data, 100)
    assert {n for n, _ in loads} == set(asked[0]) and all(abs(x - 0.7) < 0.02 for _, x in loads)
    name = asked[0][0]
    assert shards[1].fresh_load(name, 100 + FRESH_REPORT_US - 1) is not None
    assert shards[1].fresh_load(name, 100 + FRESH_REPORT_US) is None
    for s in shards[1:]:
        for other in (1, 2, 3):
            s.membership.record_heard(other, LIVENESS_TIMEOUT_US)
    now = LIVENESS_TIMEOUT_US + 1
    assert set(sum((s.start_due_checks(now) for s in shards[1:]), [])) == set(names), (
        "the silent one's share goes to the rest"
    )
    assert shards[1].receive(data[:3], now) is None


@pytest.mark.parametrize("load", [0.0, 0.01, 0.3, 0.86, 1.0, 1.9])
def test_loads_are_told_within_a_step(load) -> None:
    assert abs(load_of(step_of(load)) - load) <= 0.0126 * load


# -- what is kept, and the file ----------------------------------------------------------------------------


def test_terms_and_words_outlive_a_restart_marks_only_grow_and_a_bad_file_is_no_memory(tmp_path) -> None:
    kept, fence, board = DurableState(tmp_path, "n"), Fence(is_restored=True), OverrideLog()
    fence.check_effect("bans", 4, 9)
    board.merge_entry("s", OverrideEntry(True, (4, 2)))
    board.add_pending("n/1#3", "t", True)
    kept.permits["turnstile/0"] = StoredPermit("n/1", 2)
    kept.write(kept.snapshot(fence, board))
    twin, fence2, board2 = DurableState(tmp_path, "n"), Fence(), OverrideLog()
    assert twin.read(fence2, board2) and fence2.is_restored and board2.digest == board.digest
    assert (
        list(board2.pending) == ["n/1#3"]
        and twin.permits == kept.permits
        and not fence2.check_effect("bans", 3, 1).is_accepted
    )
    fence.check_effect("bans", 6, 1)
    kept.write(kept.snapshot(fence, board))
    raw = twin.snapshot(fence2, board2)
    assert twin.write(raw), "the other process of an upgrade wrote meanwhile: it is not forgotten"
    assert twin.merge(raw, fence2, board2) == {} and fence2.positions["bans"] == (6, 1)
    third, fence3 = DurableState(tmp_path, "n"), Fence()
    assert third.read(fence3, OverrideLog()) and fence3.positions["bans"] == (6, 1)
    for bad in ("{", "[]", '{"version": 9}', '{"version": 1, "boot": "x", "seen": {"a": 1}}'):
        kept.path.write_text(bad)
        fence4 = Fence()
        with pytest.raises(ValueError):
            third.read(fence4, OverrideLog())
        assert not fence4.is_restored and not fence4.check_effect("bans", 99, 1).is_accepted
    raw = {"version": 1, "boot": "another", "seen": {"bans": [6, 1]}, "words": {}, "wishes": {}, "lives": {}}
    raw["tickets"] = {}
    kept.path.write_text(json.dumps(raw))
    assert not third.read(fence4, OverrideLog()) and not fence4.is_restored, (
        "after a crash of the machine the store must say too"
    )


SOUND = 'folder = "/f"\n[store]\nkind = "sqlite"\npath = "/p"\n'


@pytest.mark.parametrize(
    "text, said",
    [
        (SOUND.replace('path = "/p"', ""), "store.path: a file is needed"),
        (SOUND.replace("sqlite", "consul"), "store.addresses: at least one"),
        (SOUND.replace("sqlite", "etcd"), "fleet.toml:3: store.kind: Invalid enum value 'etcd'"),
        (SOUND + "[lease]\nlease_ms = 500\nask_ms = 400\n", "fleet.toml:7: lease.ask_ms: at most half"),
        (
            SOUND.replace('"sqlite"', '"consul"\naddresses = ["h:1"]') + "[lease]\nlease_ms = 900\nask_ms = 100\n",
            "lease.lease_ms: the service takes no TTL under 10000 ms",
        ),
        (SOUND + "[jobs]\nturnstyle = 1\n", "fleet.toml:6: jobs.turnstyle: not a key"),
        ("[store]\nkind = 'sqlite'\n", "folder"),
        ("folder = ", "fleet.toml"),
    ],
)
def test_a_faulty_file_is_told_in_a_line_with_its_key(text, said, tmp_path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    with pytest.raises(InputFileError, match=".") as bad:
        config.load(path)
    assert said in str(bad.value) and "\n" not in str(bad.value)


def test_the_file_that_ships_is_sound_and_the_platform_does_not_name_it() -> None:
    deploy = Path(__file__).resolve().parents[2] / "deploy"
    assert config.load(deploy / "fleet.toml").jobs.turnstile == 1
    platform = (deploy / "balancer.toml").read_text()
    assert "fleet" not in platform, "what balancers do together is off in run"


def context_with(overrides: OverrideLog) -> SimpleNamespace:
    """As much of a context as the replication needs."""
    transport = SimpleNamespace(after_batch=[], register=lambda kind, handler: None)
    return SimpleNamespace(
        overrides=overrides, transport=transport, leases=SimpleNamespace(event_listeners=[]), merged_changes={}
    )


def test_a_word_that_was_written_down_and_not_carried_out_is_carried_out_at_the_next_start() -> None:
    done = []

    async def call(server: str, out: bool) -> None:
        done.append((server, out))

    tasks: list = []
    held = SimpleNamespace(suspended={"back", "alone"})
    override_sync = SimpleNamespace(overrides=held, set_override=call)
    board = OverrideLog()
    board.merge_entry("back", OverrideEntry(False, (1, 1)))
    board.merge_entry("out", OverrideEntry(True, (1, 2)))
    board.merge_entry("never", OverrideEntry(False, (1, 3)))
    context = context_with(board)
    context.tasks = SimpleNamespace(run=tasks.append)
    context.host = SimpleNamespace(operators=SimpleNamespace(override_sync=override_sync))
    OverrideReplication(context).start()
    asyncio.run(tasks.pop(0))
    for t in tasks:
        t.close()
    assert sorted(done) == [("back", False), ("out", True)], "what was taken out here alone is left as it is"


def test_a_wish_is_posted_again_until_it_is_numbered_and_in_the_order_of_its_life(monkeypatch) -> None:
    monkeypatch.setattr("glenrock.coordination.override_replication.REPOST_INTERVAL_S", 0.3)
    posts: list[str] = []

    async def post(job: str, id_: str, value: str) -> None:
        posts.append(id_)

    async def work() -> None:
        context = context_with(OverrideLog())
        context.leases.store = SimpleNamespace(propose=post)
        replication = OverrideReplication(context)
        context.overrides.add_pending("n/1#1", "s", True)
        context.overrides.add_pending("n/1#2", "t", True)
        task = asyncio.create_task(replication._post_proposals())
        while len(posts) < 4:  # a store that forgets them: posted once, nobody would ever number them
            await asyncio.sleep(0.05)
        context.overrides.record_committed("n/1", 2)
        before = len(posts)
        await asyncio.sleep(0.7)
        assert posts[:4] == ["n/1#1", "n/1#2"] * 2 and len(posts) == before
        task.cancel()

    asyncio.run(asyncio.wait_for(work(), 20))
