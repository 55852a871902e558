"""The pure parts of work done together: the board of bans, datagrams, holdings, shards, what is kept, the file."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.fleet import config, wire
from glenrock.fleet.bans import Bans
from glenrock.fleet.jobs.board import Board, Telling, Word, life_key, parted, wish_of, word_of
from glenrock.fleet.jobs.words import EVERY_US, Shards, load_of, stepped
from glenrock.fleet.kept import Kept
from glenrock.fleet.ownership.claim import Rules
from glenrock.fleet.ownership.fence import Fence
from glenrock.fleet.ownership.holdings import Holdings
from glenrock.fleet.ownership.store import Lease
from glenrock.fleet.roster import SILENT_US, Heard, first, hashed, place, rank
from glenrock.routing.load_estimation import FRESH_REPORT_US
from glenrock.toml_file import BadFile

S = 1_000_000

# -- the board ---------------------------------------------------------------------------------------------

words = st.lists(st.tuples(st.sampled_from("abc"), st.integers(1, 3), st.integers(1, 4)), max_size=12, unique=True)


@given(words, st.randoms())
def test_words_in_any_order_and_twice_are_the_same_board(said, draw) -> None:
    one, other = Board(), Board()
    for server, term, number in said:
        one.take(server, Word(bool(number % 2), (term, number)))
    again = said + draw.sample(said, len(said) // 2)
    draw.shuffle(again)
    for server, term, number in again:
        other.take(server, Word(bool(number % 2), (term, number)))
    assert one.words == other.words and one.digest == other.digest and one.last == other.last
    highest = {s: max((t, n) for x, t, n in said if x == s) for s, _, _ in said}
    assert all(one.out(s) == bool(revision[1] % 2) for s, revision in highest.items())
    lacks = Board()
    for server, word in one.after((0, 0)):
        lacks.take(server, word)
    assert lacks.digest == one.digest


def test_what_was_said_here_holds_until_its_life_is_numbered_whatever_older_words_say() -> None:
    b = Board()
    b.wish("n1/5#1", "s", True)
    assert b.take("s", Word(False, (1, 1))) is None and b.out("s"), "an older word changes nothing here"
    b.wish("n1/5#2", "s", False)
    assert list(b.wishes) == ["n1/5#2"] and not b.out("s"), "the last that was said counts"
    b.wish("n1/5#3", "t", True)
    b.take("t", Word(False, (1, 3)))  # its own word was followed by another before it was seen here
    assert b.numbered("n2/9", 9) == {} and b.numbered("n1/5", 3) == {"t": False} and not b.wishes


@pytest.mark.parametrize("value", ["", "{}", "[]", '{"out": 1}', '{"server": "", "out": true}',
                                   '{"server": 5, "out": true}'])
def test_what_is_no_word_and_no_wish_is_none(value) -> None:
    wish = wish_of(value)
    assert wish is None and (word_of(value, (1, 1)) is None or '"server"' in value)
    assert parted("x") == ("", 0) and parted("a/b#7") == ("a/b", 7) and parted("a#x")[1] == 0
    assert life_key("a")[0] == "\n"


def test_a_word_is_sent_again_until_it_was_taken_and_ever_more_seldom() -> None:
    t, now, sent = Telling(), 0, []
    t.add(3, "s", (1, 2), now)
    while now < 10 * S:
        sent += [now for _ in t.due(now)]
        now += 10_000
    assert 6 <= len(sent) <= 12 and sent[1] - sent[0] <= 100_000
    t.got(3, "s", (1, 1))
    assert t.out, "an older word's answer does not count"
    t.got(3, "s", (1, 2))
    assert not t.out and not t.due(now)


# -- datagrams ---------------------------------------------------------------------------------------------

number = st.integers(0, wire.LARGEST)
server = st.text(min_size=1, max_size=60).filter(lambda s: s.isprintable())
job = st.sampled_from(["bans", "j", "x" * wire.LONGEST_JOB])
messages = st.one_of(
    st.builds(wire.Mark, job, number, number), st.builds(wire.Free, job),
    st.builds(wire.Known, job, st.tuples(number, number), st.booleans(), server),
    st.builds(wire.Want, job, number, st.tuples(number, number), st.booleans()),
    st.builds(wire.Say, job, number, number, st.tuples(number, number), st.booleans(), server),
    st.builds(wire.Taken, job, st.booleans(), number, number, number, st.tuples(number, number), number,
              server))


@given(messages, st.data())
def test_a_datagram_is_read_back_and_no_part_of_it_is_taken_for_another(m, data) -> None:
    told = wire.encode(m)
    if told is None:
        assert isinstance(m, wire.Say | wire.Taken | wire.Known) and len(m.server.encode()) > 150
        return
    assert len(told) <= wire.LONGEST and told[0] >= 0xF1 and wire.decode(told) == m
    cut = told[:data.draw(st.integers(0, len(told) - 1))]
    found = wire.decode(cut)
    assert found is None or isinstance(m, wire.Say | wire.Taken | wire.Known) and isinstance(found, type(m)) and (
        m.server.startswith(found.server))


@given(st.binary(max_size=300))
def test_any_bytes_are_a_message_or_none(data) -> None:
    wire.decode(data)
    wire.decode(b"\xf3" + data)
    Shards(Heard(0, range(3), 0)).hear(data, 0)


# -- holdings ----------------------------------------------------------------------------------------------

RULES = Rules(lease=1_000_000, drift=0.02, ask_within=300_000, again=100_000, wary=200_000)


def ranked(key: str, members: range) -> list[int]:
    order = sorted(members, key=lambda m: place(m, hashed(key)))
    assert first(key, members) == order[0] and [rank(key, m, members, 99) for m in order] == list(members)
    return order


class Members:
    """Members on one store in simulated time. `dead` do nothing; `asleep` neither, and wake."""

    def __init__(self, count: int, jobs: int) -> None:
        self.now, self.calls = 0, 0
        self.jobs = [f"j{n}" for n in range(jobs)]
        self.rosters = [Heard(n, range(count), 0) for n in range(count)]
        self.all = [Holdings(r, RULES, self.jobs, 200_000) for r in self.rosters]
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
                        r.hear(n, self.now)
                if self.now % 200_000 == 0:
                    asked = h.to_look_at(self.now, self.now % S == 0)
                    self.calls += bool(asked)
                    h.looked(asked, {j: self.lease(j) for j in asked if j in self.leases}, self.now)
                asks, _ = h.tick(self.now)
                self.calls += bool(asks)
                more, _ = h.answered(asks, {j: self.ask(n, j, a.kind, a.term) for j, a in asks}, self.now)
                h.answered(more, {j: self.ask(n, j, a.kind, a.term) for j, a in more}, self.now)
                for j in h.held(self.now):
                    assert self.leases[j][0] == n, "who holds by its own clock holds at the store"
                    if n != idle:
                        h.went_round(j, self.now)

    def lease(self, j: str) -> Lease:
        holder, term, until = self.leases[j]
        return Lease(str(holder) if until > self.now else "", term, max(0, until - self.now))

    def ask(self, n: int, j: str, kind: str, term: int) -> int:
        holder, at, until = self.leases.get(j, (-1, 0, 0))
        free = until <= self.now
        if kind == "acquire" and (free or holder == n):
            self.leases[j] = n, at + 1, self.now + RULES.lease
            return at + 1
        if kind == "renew" and not free and (holder, at) == (n, term):
            self.leases[j] = n, at, self.now + RULES.lease
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
    shards = [Shards(Heard(n, range(4), 0)) for n in range(4)]
    for s in shards:
        s.listed(names)
    asked = [s.due(0) for s in shards]
    assert sorted(sum(asked, [])) == sorted(names) and not any(s.due(EVERY_US - 1) for s in shards)
    for name in asked[0]:
        shards[0].result(name, 0.7, 10)
    (data,) = shards[0].datagrams()
    assert len(data) < 256 and shards[0].datagrams() == []
    loads = shards[1].hear(data, 100)
    assert {n for n, _ in loads} == set(asked[0]) and all(abs(x - 0.7) < 0.02 for _, x in loads)
    name = asked[0][0]
    assert shards[1].told(name, 100 + FRESH_REPORT_US - 1) is not None
    assert shards[1].told(name, 100 + FRESH_REPORT_US) is None
    for s in shards[1:]:
        for other in (1, 2, 3):
            s.roster.hear(other, SILENT_US)
    now = SILENT_US + 1
    assert set(sum((s.due(now) for s in shards[1:]), [])) == set(names), "the silent one's share goes to the rest"
    assert shards[1].hear(data[:3], now) is None


@pytest.mark.parametrize("load", [0.0, 0.01, 0.3, 0.86, 1.0, 1.9])
def test_loads_are_told_within_a_step(load) -> None:
    assert abs(load_of(stepped(load)) - load) <= 0.0126 * load


# -- what is kept, and the file ----------------------------------------------------------------------------


def test_terms_and_words_outlive_a_restart_marks_only_grow_and_a_bad_file_is_no_memory(tmp_path) -> None:
    kept, fence, board = Kept(tmp_path, "n"), Fence(known=True), Board()
    fence.take("bans", 4, 9)
    board.take("s", Word(True, (4, 2)))
    board.wish("n/1#3", "t", True)
    kept.tickets["turnstile/0"] = "n/1", 2
    kept.write(kept.snapshot(fence, board))
    twin, fence2, board2 = Kept(tmp_path, "n"), Fence(), Board()
    assert twin.read(fence2, board2) and fence2.known and board2.digest == board.digest
    assert list(board2.wishes) == ["n/1#3"] and twin.tickets == kept.tickets and not fence2.take("bans", 3, 1).ok
    fence.take("bans", 6, 1)
    kept.write(kept.snapshot(fence, board))
    raw = twin.snapshot(fence2, board2)
    assert twin.write(raw), "the other process of an upgrade wrote meanwhile: it is not forgotten"
    assert twin.take(raw, fence2, board2) == {} and fence2.seen["bans"] == (6, 1)
    third, fence3 = Kept(tmp_path, "n"), Fence()
    assert third.read(fence3, Board()) and fence3.seen["bans"] == (6, 1)
    for bad in ("{", "[]", '{"version": 9}', '{"version": 1, "boot": "x", "seen": {"a": 1}}'):
        kept.path.write_text(bad)
        fence4 = Fence()
        with pytest.raises(ValueError):
            third.read(fence4, Board())
        assert not fence4.known and not fence4.take("bans", 99, 1).ok
    raw = {"version": 1, "boot": "another", "seen": {"bans": [6, 1]}, "words": {}, "wishes": {}, "lives": {}}
    raw["tickets"] = {}
    kept.path.write_text(json.dumps(raw))
    assert not third.read(fence4, Board()) and not fence4.known, "after a crash of the machine the store must say too"


SOUND = 'folder = "/f"\n[store]\nkind = "sqlite"\npath = "/p"\n'


@pytest.mark.parametrize("text, said", [
    (SOUND.replace('path = "/p"', ""), "store.path: a file is needed"),
    (SOUND.replace("sqlite", "consul"), "store.addresses: at least one"),
    (SOUND.replace("sqlite", "etcd"), "fleet.toml:3: store.kind: Invalid enum value 'etcd'"),
    (SOUND + "[lease]\nlease_ms = 500\nask_ms = 400\n", "fleet.toml:7: lease.ask_ms: at most half"),
    (SOUND.replace('"sqlite"', '"consul"\naddresses = ["h:1"]') + "[lease]\nlease_ms = 900\nask_ms = 100\n",
     "lease.lease_ms: the service takes no TTL under 10000 ms"),
    (SOUND + "[jobs]\nturnstyle = 1\n", "fleet.toml:6: jobs.turnstyle: not a key"),
    ("[store]\nkind = 'sqlite'\n", "folder"), ("folder = ", "fleet.toml")])
def test_a_faulty_file_is_told_in_a_line_with_its_key(text, said, tmp_path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    with pytest.raises(BadFile, match=".") as bad:
        config.load(path)
    assert said in str(bad.value) and "\n" not in str(bad.value)


def test_the_file_that_ships_is_sound_and_the_platform_does_not_name_it() -> None:
    deploy = Path(__file__).resolve().parents[2] / "deploy"
    assert config.load(deploy / "fleet.toml").jobs.turnstile == 1
    platform = (deploy / "balancer.toml").read_text()
    assert "fleet" not in platform, "what balancers do together is off in run"


def test_a_word_that_was_written_down_and_not_carried_out_is_carried_out_at_the_next_start() -> None:
    done = []

    async def call(server: str, out: bool) -> str:
        done.append((server, out))
        return ""

    tasks: list = []
    agreement = SimpleNamespace(shared=SimpleNamespace(out={"back", "alone"}), call=call)
    board = Board()
    board.take("back", Word(False, (1, 1)))
    board.take("out", Word(True, (1, 2)))
    board.take("never", Word(False, (1, 3)))
    fleet = SimpleNamespace(board=board, hands={}, on_event=[], run=tasks.append,
                            program=SimpleNamespace(operators=SimpleNamespace(agreement=agreement)))
    Bans(fleet).start()
    asyncio.run(tasks.pop(0))
    for t in tasks:
        t.close()
    assert sorted(done) == [("back", False), ("out", True)], "what was taken out here alone is left as it is"


def test_a_wish_is_posted_again_until_it_is_numbered_and_in_the_order_of_its_life(monkeypatch) -> None:
    monkeypatch.setattr("glenrock.fleet.bans.REPOST_S", 0.3)
    posts: list[str] = []

    async def post(job: str, id_: str, value: str) -> None:
        posts.append(id_)

    async def work() -> None:
        fleet = SimpleNamespace(board=Board(), hands={}, on_event=[], store=SimpleNamespace(post=post))
        bans = Bans(fleet)
        fleet.board.wish("n/1#1", "s", True)
        fleet.board.wish("n/1#2", "t", True)
        task = asyncio.create_task(bans.post())
        while len(posts) < 4:  # a store that forgets them: posted once, nobody would ever number them
            await asyncio.sleep(0.05)
        fleet.board.numbered("n/1", 2)
        before = len(posts)
        await asyncio.sleep(0.7)
        assert posts[:4] == ["n/1#1", "n/1#2"] * 2 and len(posts) == before
        task.cancel()

    asyncio.run(asyncio.wait_for(work(), 20))
