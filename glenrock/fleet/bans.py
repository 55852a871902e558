"""Bans for all: an operator's word at one balancer reaches every one, in one order, and is never lost."""

from __future__ import annotations

import asyncio
import contextlib
from typing import TYPE_CHECKING, Any

from glenrock.routing import interface

from ..admin.routes import Later
from ..log import say
from . import wire
from .jobs.board import NONE, Telling, life_key, parted, wish_of, word_of
from .jobs.board import Word as OneWord
from .ownership.claim import Began
from .ownership.sqlite_store import boottime_us
from .ownership.store import StoreDown

if TYPE_CHECKING:
    from .agent import Fleet

JOB = "bans"
MARK_S = 1.0
WATCH_S = 10.0
REPOST_S = 2.0
MOST_KNOWN = 64  # words told to an owner that lacks some, each second
TURN_S, IDLE_S = 0.08, 0.5  # an owner's round, and others'
CONFIRM_MS = 700.0  # an operator waits so long for the word to be numbered: answers are due within 1 s


class Bans:
    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.board = fleet, fleet.board
        self.telling = Telling()
        self.count = self.sent = self.order = 0
        self.posted: dict[str, float] = {}  # wishes, and when last, on the loop's clock
        self.ready = False  # owner, and all records read
        self.number = 0  # of records, in this term
        self.asked_all: tuple[int, int] | None = None  # digests when all was asked for last
        self.dirty = False
        self.replies: list[tuple[int, wire.Message]] = []
        self.changes: dict[str, bool] = {}
        self.applied: dict[str, bool] = {}
        self.repairs = False  # somebody knows words that the store has forgotten
        fleet.hands.update({wire.Mark: self.on_mark, wire.Say: self.on_say, wire.Want: self.on_want,
                            wire.Taken: self.on_taken, wire.Known: self.on_known})
        fleet.on_event.append(self.on_event)
        self.news = asyncio.Event()
        self.due = asyncio.Event()
        self.unsettled = asyncio.Event()

    def start(self) -> None:
        # Danger: a process that died between writing a word down and carrying it out left another state in the
        # operators' file; a server that was called back then would stay out here for ever.
        if operators := self.fleet.program.operators:
            self.applied = dict.fromkeys(operators.agreement.shared.out, True)
        self.apply(dict.fromkeys(self.board.words, False) | {s: True for s in self.board.words if self.board.out(s)})
        for work in (self.follow, self.own, self.post, self.settle):
            self.fleet.run(work())

    # -- the operator ----------------------------------------------------------------------------------

    async def by_hand(self, server: str, out: bool) -> str:
        """Out, or back, for all. Returns why not; `Later` where it holds here and the others hear it later."""
        self.count += 1
        id_ = f"{self.fleet.holder}#{self.count}"
        self.board.wish(id_, server, out)
        if not await self.fleet.write():
            self.board.wishes.pop(id_, None)
            return "not done: what must not be forgotten cannot be written"
        await self.carry_out(server, out)
        self.news.set()
        until = self.fleet.clock.now() + CONFIRM_MS
        while id_ in self.board.wishes and self.fleet.clock.now() < until:
            await self.fleet.clock.sleep(10.0)
        if id_ in self.board.wishes:
            return Later("done here and kept; the other balancers hear of it once the store answers: "
                         f"{self.fleet.store_says or 'no owner has numbered it yet'}")
        return ""

    async def carry_out(self, server: str, out: bool) -> None:
        operators, p = self.fleet.program.operators, self.fleet.program
        self.applied[server] = out
        if operators:
            if wrong := await operators.agreement.call(server, out):
                say("fleet", f"{server}: {wrong}")
        else:
            p.instances.hold(server, out)
            p.decider.order(interface.OperatorOverride(server, out, 0))

    def apply(self, changes: dict[str, bool]) -> None:
        async def all_of_them() -> None:
            for server, out in changes.items():
                if self.applied.get(server, False) != out or out:
                    await self.carry_out(server, out)

        self.fleet.run(all_of_them())

    # -- the store -------------------------------------------------------------------------------------

    async def follow(self) -> None:
        """Records as the store has them, and what the owner is asked for, as they change."""
        while True:
            try:
                await self.read_records()
                if self.fleet.holds(JOB) is not None:
                    self.due.set()
                await self.fleet.store.changed(WATCH_S)
            except StoreDown as bad:
                self.fleet.down(bad)
                await asyncio.sleep(0.5)

    async def read_records(self) -> None:
        for key, r in (await self.fleet.store.records(JOB)).items():
            if key[:1] == "\n":
                self.numbered(key[1:], int(r.value) if r.value.isdecimal() else 0)
            elif word := word_of(r.value, (r.term, r.number)):
                self.take(key, word)
        self.unsettled.set()

    def numbered(self, life: str, count: int) -> None:
        before = self.board.lives.get(life, 0)
        self.changes.update(self.board.numbered(life, count))
        self.dirty |= self.board.lives[life] != before

    def take(self, server: str, word: OneWord) -> None:
        changed = self.board.take(server, word)
        if changed is not None:
            self.changes[server] = changed
        self.dirty |= self.board.words.get(server) == word

    async def settle(self) -> None:
        """Written down, then carried out, then answered. What comes meanwhile waits for the next time."""
        while True:
            await self.unsettled.wait()
            self.unsettled.clear()
            replies, self.replies = self.replies, []
            dirty, self.dirty = self.dirty, False
            if dirty and not await self.fleet.write():
                self.dirty = True
                await asyncio.sleep(0.5)
                self.unsettled.set()
                continue
            changes, self.changes = self.changes, {}
            if changes:
                say("fleet", ", ".join(f"{s} {'out' if out else 'back'}" for s, out in changes.items()))
                self.apply(changes)
            for peer, m in replies:
                self.fleet.send(peer, m)

    async def post(self) -> None:
        """This balancer's wishes go to the store, however long that takes."""
        while True:
            self.news.clear()
            for id_, w in list(self.board.wishes.items()):
                # Danger: a store that goes back in time forgets a wish too. One that is not numbered is posted again;
                # one that was is dropped by the owner, by its life's count.
                if asyncio.get_running_loop().time() - self.posted.get(id_, -REPOST_S) < REPOST_S:
                    continue
                try:
                    await self.fleet.store.post(JOB, id_, w.value())
                except StoreDown as bad:
                    self.fleet.down(bad)
                    break
                self.posted[id_] = asyncio.get_running_loop().time()
                self.due.set()  # a store does not tell us of our own change
            self.posted = {id_: at for id_, at in self.posted.items() if id_ in self.board.wishes}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), 0.5)

    # -- the owner -------------------------------------------------------------------------------------

    def on_event(self, job: str, e: Any) -> None:
        if job == JOB:
            self.ready, self.number = False, 0
            self.telling.clear()
            if isinstance(e, Began):
                self.due.set()

    async def own(self) -> None:
        marked = 0.0
        loop = asyncio.get_running_loop()
        while True:
            term = self.fleet.holds(JOB)
            if term is not None:
                self.fleet.holdings.went_round(JOB, boottime_us())
                if self.due.is_set():
                    self.due.clear()
                    try:
                        await self.number_wishes(term)
                    except StoreDown as bad:
                        self.fleet.down(bad)
                if self.ready:
                    if loop.time() - marked >= MARK_S:
                        marked = loop.time()
                        self.mark()
                    self.say_again()
            else:
                self.due.clear()  # what a new owner finds to do it asks the store for
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.due.wait(), TURN_S if term is not None else IDLE_S)

    async def number_wishes(self, term: int) -> None:
        """Record first, in the name of the term; only then is anybody told."""
        if not self.ready or self.repairs:
            await self.read_records()
            self.fence_own(term)
            self.repairs = False
            if not await self.repair(term):
                return
            self.ready = True
            self.mark()
        for id_, value in (await self.fleet.store.wishes(JOB)).items():
            wish = wish_of(value)
            if self.fleet.holds(JOB) != term:
                return
            if wish is None:
                say("fleet", f"a wish that cannot be read is left aside: {value!r:.100}")
                continue
            self.number += 1
            word = OneWord(wish.out, (term, self.number))
            life, count = parted(id_)
            again = count <= self.board.lives.get(life, 0)  # posted again, though it had counted
            records = {} if again else {wish.server: word.value(), life_key(life): str(count)}
            if not await self.fleet.store.put(JOB, term, self.number, records, id_):
                say("fleet", f"the store refused a record of term {term}")
                self.fleet.look_now.set()
                return
            if again:
                continue
            self.take(wish.server, word)
            self.numbered(life, count)
            self.unsettled.set()
            for peer in self.fleet.roster.heard:
                self.telling.add(peer, wish.server, word.revision, boottime_us())
        self.say_again()

    async def repair(self, term: int) -> bool:
        """A store that went back in time is told again what was said, under this term. Danger: without it, who has
        heard the words and who has not would each be right for ever."""
        stored = await self.fleet.store.records(JOB)
        for server, word in self.board.after(NONE):
            r = stored.get(server)
            if r is not None and (r.term, r.number) >= word.revision:
                continue
            self.number += 1
            again = OneWord(word.out, (term, self.number))
            if self.fleet.holds(JOB) != term or not await self.fleet.store.put(
                    JOB, term, self.number, {server: again.value()}):
                return False
            say("fleet", f"{server}: the store had forgotten that it is {'out' if word.out else 'back'}")
            self.take(server, again)
            for peer in self.fleet.roster.heard:
                self.telling.add(peer, server, again.revision, boottime_us())
        self.unsettled.set()
        return True

    def on_known(self, peer: int, m: wire.Known) -> None:
        """A word of a higher revision than the store's own is one that the store has forgotten."""
        if self.fleet.holds(JOB) is not None and self.ready and m.revision > self.board.words.get(
                m.server, OneWord(False, NONE)).revision:
            self.take(m.server, OneWord(m.out, m.revision))
            self.repairs = True
            self.due.set()

    def fence_own(self, term: int) -> None:
        """An owner is a receiver too: it takes nothing of a lower term any more."""
        self.fleet.fence.hear(JOB, term)
        self.dirty = True
        self.unsettled.set()

    def mark(self) -> None:
        for peer in self.fleet.roster.heard:
            term = self.fleet.holds(JOB)
            if term is not None:
                self.fleet.send(peer, wire.Mark(JOB, term, self.board.digest))

    def say_again(self) -> None:
        for peer, server in self.telling.due(boottime_us()):
            word, term = self.board.words.get(server), self.fleet.holds(JOB)
            if word is None or term is None:
                return
            self.sent += 1
            self.fleet.send(peer, wire.Say(JOB, term, self.sent, word.revision, word.out, server))

    def on_want(self, peer: int, m: wire.Want) -> None:
        if self.fleet.holds(JOB) is not None and self.ready:
            for server, word in self.board.after(NONE if m.all else m.upto):
                self.telling.add(peer, server, word.revision, boottime_us())
            self.due.set()

    def on_taken(self, peer: int, m: wire.Taken) -> None:
        if m.ok:
            self.telling.got(peer, m.server, m.revision)
        elif m.seen > (self.fleet.holds(JOB) or m.seen):
            self.fleet.told(self.fleet.holdings.refused(JOB, boottime_us(), m.seen))

    # -- a receiver ------------------------------------------------------------------------------------

    def on_mark(self, peer: int, m: wire.Mark) -> None:
        before = self.fleet.fence.seen.get(m.job)
        taken = self.fleet.fence.hear(m.job, m.term)
        if not taken.ok:
            self.fleet.refuse(peer, m.job, m.term, taken)
            self.replies.append((peer, wire.Taken(m.job, False, taken.seen, m.term, 0, NONE, self.judged(), "-")))
            return
        self.dirty |= self.fleet.fence.seen.get(m.job) != before
        if m.digest != self.board.digest:
            # Up to the last that is known first; where that did not help, a word in between was missed.
            pair = (m.digest, self.board.digest)
            again = self.asked_all == pair
            self.replies.append((peer, wire.Want(m.job, m.term, self.board.last, again)))
            if again:
                self.replies += [(peer, wire.Known(m.job, w.revision, w.out, server))
                                 for server, w in self.board.after(NONE)[-MOST_KNOWN:]]
            self.asked_all = pair

    def on_say(self, peer: int, m: wire.Say) -> None:
        taken = self.fleet.fence.take(m.job, m.term, m.number)
        if taken.ok:
            self.take(m.server, OneWord(m.out, m.revision))
            self.dirty = True
        else:
            self.fleet.refuse(peer, m.job, m.term, taken)
        self.replies.append((peer, wire.Taken(m.job, taken.ok, taken.seen, m.term, m.number, m.revision,
                                               self.judged(), m.server)))

    def judged(self) -> int:
        self.order += 1
        return self.order
