"""Goes through all that can happen to candidates, store and receivers, up to a number of terms. Pure.

The real `Claim` and `Fence` run in it; around them stand a store, messages that may be lost or wait for ever,
candidates that sleep at any point but between a check and its send, clocks that slip, receivers and a store that
restart. What is asked of every state:

- `late`: no effect leaves a candidate when the store's lease for its term has run out, or is another's;
- `order`: no receiver takes an effect of a lower term than it has taken before, over its restarts too;
- `record`: no record is written in the name of a term that is not the job's.

Faults can be planted, to see that each is found: the check left out (`no_check`), a lease counted from the answer
(`from_answer`), a fence kept in memory only (`forgets`), leases void when the store restarts
(`voids`), a store that takes a holder's requests in any order (`any_order`).
`store_forgets` is a store rolled back to before its terms: there may be two owners, and the fences keep the order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any

from .claim import Ask, Claim, Rules
from .fence import Fence

JOB = "job"
LEASE, OWN = 2, 1  # ticks: the store's, and what a holder counts on with clocks that may slip one tick in a lease
RULES = Rules(lease=LEASE, drift=LEASE / OWN - 1, renew_part=0.34, ask_within=1, again=1, wary=1)


@dataclass(slots=True)
class World:
    """One state. Candidates' clocks are their own; `left` is the store's lease in true ticks.

    Whoever sleeps is one that does nothing for a while: every step of a candidate is a step that may not come.
    """

    claims: list[Claim]
    clocks: list[int]
    slipped: list[int]  # ticks since the clock last slipped
    fences: list[Fence]
    marks: list[int]  # the highest term that each receiver has taken, as an outsider saw it
    holder: int = -1
    term: int = 0
    left: int = 0
    last: int = 0  # request of its holder that the store took last
    wire: tuple[Any, ...] = ()  # messages under way
    restarts: int = 0
    wrong: str = ""

    def after(self) -> World:
        return replace(self, claims=[replace(c) for c in self.claims], clocks=list(self.clocks),
                       slipped=list(self.slipped), marks=list(self.marks),
                       fences=[replace(f, seen=dict(f.seen)) for f in self.fences])

    def key(self) -> tuple[Any, ...]:
        """The same for states from which the same can happen: times count from each candidate's now, and of request
        numbers only their order among those that still play a part."""
        mine = []
        for n, c in enumerate(self.claims):
            now, owner = self.clocks[n], c.state == "owner"
            mine.append((c.state, c.term if owner or c.state == "leaving" else 0,
                         max(-1, c.until - now) if owner else 0, c.kind,
                         min(LEASE, now - c.sent_at) if c.kind or owner else 0, max(0, c.next_at - now), c.floor,
                         self.slipped[n]))
        order = []
        for n, c in enumerate(self.claims):
            numbers = {c.request, *(m[2] for m in self.wire if m[0] in ("ask", "answer") and m[1] == n)}
            if n == self.holder:
                numbers.add(self.last)
            order.append(sorted(numbers, reverse=True))
        wire = tuple(sorted((m[0], m[1], order[m[1]].index(m[2]), *m[3:]) if m[0] in ("ask", "answer") else m
                            for m in self.wire))
        return (tuple(mine), tuple((f.known, f.seen.get(JOB, (0, 0))[0]) for f in self.fences), tuple(self.marks),
                self.holder, self.term, self.left,
                order[self.holder].index(self.last) if self.holder >= 0 else 0, wire, self.restarts)


@dataclass(frozen=True, slots=True)
class Found:
    states: int
    wrong: str = ""
    way: tuple[str, ...] = ()  # what led to it


@dataclass(slots=True)
class Explorer:
    candidates: int = 2
    receivers: int = 2
    wire: int = 3  # messages under way at once, at most
    restarts: int = 1
    terms: int = 3
    slips: bool = True  # of clocks
    losses: bool = True  # of messages; without, they may still wait for ever
    faults: frozenset[str] = frozenset()
    most: int = 400_000  # states

    seen: set[tuple[Any, ...]] = field(default_factory=set)

    def begin(self) -> World:
        n = self.candidates
        return World([Claim(RULES) for _ in range(n)], [0] * n, [LEASE] * n,
                     [Fence(known=True) for _ in range(self.receivers)], [0] * self.receivers)

    def run(self) -> Found:
        first = self.begin()
        todo: deque[tuple[World, tuple[str, ...]]] = deque([(first, ())])
        self.seen = {first.key()}
        while todo:
            world, way = todo.popleft()
            for name, after in self.moves(world):
                if after.wrong:
                    return Found(len(self.seen), after.wrong, (*way, name))
                key = after.key()
                if key not in self.seen:
                    if len(self.seen) >= self.most:
                        return Found(len(self.seen), "", ("stopped: more states than asked for",))
                    self.seen.add(key)
                    todo.append((after, (*way, name)))
        return Found(len(self.seen))

    def moves(self, w: World) -> Iterator[tuple[str, World]]:
        """Each thing that may happen next."""
        for slip in [(), *((n,) for n in range(self.candidates) if self.slips and w.slipped[n] >= LEASE)]:
            yield f"a tick{f', the clock of {slip[0]} slips' if slip else ''}", self.tick(w, slip)
        for n in range(self.candidates):
            if len(w.wire) < self.wire:
                after = w.after()
                self.post(after, n, after.claims[n].tick(after.clocks[n]))
                yield f"{n} looks at its clock", after
                yield from self.acts(w, n)
        for n in range(len(w.wire)):
            if w.wire[n] not in w.wire[:n]:
                yield from self.arrives(w, n)
        if w.restarts < self.restarts:
            for n in range(self.receivers):
                after = w.after()
                after.restarts += 1
                kept = dict(after.fences[n].seen)
                after.fences[n] = Fence()
                # Its record was written before the effect was carried out; in memory only, nothing is left.
                after.fences[n].learned({} if "forgets" in self.faults else kept)
                yield f"receiver {n} restarts", after
            after = w.after()
            after.restarts += 1
            # What it had granted goes on for a whole lease from its start: it cannot know how long it was away.
            after.left = LEASE if after.holder >= 0 else 0
            if {"voids", "store_forgets"} & self.faults:
                after.holder, after.left = -1, 0
            after.term = 0 if "store_forgets" in self.faults else after.term
            yield "the store restarts", after

    def tick(self, w: World, slip: tuple[int, ...]) -> World:
        after = w.after()
        after.left = max(0, after.left - 1)
        for n in range(self.candidates):
            after.slipped[n] = 0 if n in slip else min(LEASE, after.slipped[n] + 1)
            after.clocks[n] += n not in slip
        return after

    def acts(self, w: World, n: int) -> Iterator[tuple[str, World]]:
        """An effect leaves, for each receiver. The check and the send are one step: no sleep lies between."""
        c = w.claims[n]
        term = c.term if "no_check" in self.faults and c.state == "owner" else c.holds(w.clocks[n])
        if term is None:
            return
        for receiver in range(self.receivers):
            after = w.after()
            after.wire += (("effect", n, receiver, term),)
            # A store gone back in time may have two owners: there the receivers' order is all that is asked.
            if "store_forgets" not in self.faults and ((w.holder, w.term) != (n, term) or not w.left):
                after.wrong = f"late: {n} sends in term {term}; the store's is {w.term}, {w.left} ticks left"
            yield f"{n} sends an effect of term {term} to {receiver}", after
        after = w.after()
        if "no_check" in self.faults and (w.holder, w.term) != (n, term):
            after.wrong = f"record: {n} writes in term {term}"
            yield f"{n} writes a record of term {term}", after

    def post(self, w: World, n: int, effects: list[Any]) -> None:
        for e in effects:
            if isinstance(e, Ask):
                w.wire += (("ask", n, e.request, e.kind, e.term, e.floor),)

    def arrives(self, w: World, at: int) -> Iterator[tuple[str, World]]:
        message = w.wire[at]
        rest = w.wire[:at] + w.wire[at + 1:]
        if self.losses:
            lost = w.after()
            lost.wire = rest
            yield f"lost: {message}", lost
        after = w.after()
        after.wire = rest
        if message[0] == "effect":
            _, n, receiver, term = message
            taken = after.fences[receiver].take(JOB, term, after.fences[receiver].seen.get(JOB, (0, 0))[1] + 1)
            if taken.ok:
                if term < after.marks[receiver]:
                    after.wrong = f"order: receiver {receiver} takes term {term} after {after.marks[receiver]}"
                after.marks[receiver] = max(after.marks[receiver], term)
            elif len(rest) < self.wire:
                after.wire += (("refused", n, taken.seen),)
            yield f"receiver {receiver}: {'takes' if taken.ok else 'refuses'} term {term} of {n}", after
        elif message[0] == "ask":
            _, n, request, kind, term, floor = message
            granted = self.store(after, n, request, kind, term, floor)
            if after.term > self.terms:
                return
            after.wire += (("answer", n, request, granted),)
            yield f"the store: {kind} of {n} gives {granted}", after
        else:
            n = message[1]
            c, now = after.claims[n], after.clocks[n]
            if message[0] == "answer":
                if "from_answer" in self.faults:
                    c.sent_at = now
                self.post(after, n, c.answer(now, message[2], message[3]))
            else:
                self.post(after, n, c.refused(now, message[2]))
            yield f"{n} reads {message[0]} {message[2:]}", after

    def store(self, w: World, n: int, request: int, kind: str, term: int, floor: int) -> int:
        if w.holder == n and request <= w.last and "any_order" not in self.faults:
            return 0  # a holder's requests are taken in order: one that was given up may come late
        if kind == "acquire":
            if w.left and w.holder != n:
                return 0
            w.holder, w.term, w.left, w.last = n, max(w.term, floor) + 1, LEASE, request
            return w.term
        if (w.holder, w.term) != (n, term) or not w.left:
            return 0
        w.last = request
        if kind == "renew":
            w.left = LEASE
            return w.term
        w.left = 0  # given back; its holder's last request is kept
        return 0
