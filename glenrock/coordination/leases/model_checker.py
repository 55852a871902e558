"""Explicit-state model checking of candidates, store and receivers, up to a number of terms.

Pure. The real `LeaseCandidate` and `Fence` run in it; around them stand a store, messages that may be lost or wait for
ever, candidates that sleep at any point but between a check and its send, clocks that slip, receivers and a store that
restart. What is asked of every state:

- `late`: no effect leaves a candidate when the store's lease for its term has run out, or is another's;
- `order`: no receiver takes an effect of a lower term than it has taken before, over its restarts too;
- `record`: no record is written in the name of a term that is not the job's.

Faults can be planted, to see that each is found: the check left out (`no_check`), a lease counted from the answer
(`from_answer`), a fence kept in memory only (`forgets`), leases void when the store restarts (`voids`), a store that
takes a holder's requests in any order (`any_order`). `store_forgets` is a store rolled back to before its terms: there
may be two holders, and the fences keep the order.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from typing import Any, Literal, NamedTuple

from .candidate import CandidateEffect, LeaseCandidate, LeaseRequest, LeaseTiming, RequestKind
from .fence import Fence

JOB = "job"
LEASE, HOLDER_LEASE = 2, 1  # ticks: the store's, and what a holder counts on with clocks that may slip one in a lease
TIMING = LeaseTiming(
    lease_us=LEASE,
    drift=LEASE / HOLDER_LEASE - 1,
    renew_after_share=0.34,
    request_timeout_us=1,
    retry_us=1,
    unreachable_backoff_us=1,
)
NOBODY = -1

Key = tuple[Any, ...]
"""The same for states from which the same can happen."""


class RequestMessage(NamedTuple):
    """A candidate's request, on its way to the store."""

    kind: Literal["ask"]
    candidate: int
    number: int
    request: RequestKind
    term: int
    min_term: int


class AnswerMessage(NamedTuple):
    """The store's answer, on its way to a candidate."""

    kind: Literal["answer"]
    candidate: int
    number: int
    granted: int


class EffectMessage(NamedTuple):
    """An effect, on its way to a receiver."""

    kind: Literal["effect"]
    candidate: int
    receiver: int
    term: int


class RefusalMessage(NamedTuple):
    """A receiver's refusal, on its way to a candidate."""

    kind: Literal["refused"]
    candidate: int
    seen_term: int


Message = RequestMessage | AnswerMessage | EffectMessage | RefusalMessage


class Step(NamedTuple):
    """One thing that may happen next, in words, and the state after it."""

    name: str
    world: World


@dataclass(slots=True)
class World:
    """One state. Candidates' clocks are their own.

    Whoever sleeps is one that does nothing for a while: every step of a candidate is a step that may not come.

    Attributes:
        slipped: ticks since each clock last slipped.
        marks: the highest term that each receiver has taken, as an outsider saw it.
        left: of the store's lease, in true ticks.
        last_request: of its holder, that the store took last.
        wire: messages under way.
        wrong: what is wrong with it; empty where nothing is.
    """

    candidates: list[LeaseCandidate]
    clocks: list[int]
    slipped: list[int]
    fences: list[Fence]
    marks: list[int]
    holder: int = NOBODY
    term: int = 0
    left: int = 0
    last_request: int = 0
    wire: tuple[Message, ...] = ()
    restarts: int = 0
    wrong: str = ""

    def copy(self) -> World:
        """A state to change."""
        return replace(
            self,
            candidates=[replace(candidate) for candidate in self.candidates],
            clocks=list(self.clocks),
            slipped=list(self.slipped),
            marks=list(self.marks),
            fences=[replace(fence, positions=dict(fence.positions)) for fence in self.fences],
        )

    def key(self) -> Key:
        """Times count from each candidate's now, and of request numbers only their order among those that matter."""
        numbers = [self._request_numbers(n) for n in range(len(self.candidates))]
        wire = tuple(sorted(self._message_key(message, numbers) for message in self.wire))
        return (
            tuple(self._candidate_key(n) for n in range(len(self.candidates))),
            tuple((fence.is_restored, fence.position(JOB).term) for fence in self.fences),
            tuple(self.marks),
            self.holder,
            self.term,
            self.left,
            numbers[self.holder].index(self.last_request) if self.holder >= 0 else 0,
            wire,
            self.restarts,
        )

    def _candidate_key(self, n: int) -> Key:
        candidate = self.candidates[n]
        now = self.clocks[n]
        holds = candidate.state == "owner"
        return (
            candidate.state,
            candidate.term if holds or candidate.state == "leaving" else 0,
            max(-1, candidate.expires_us - now) if holds else 0,
            candidate.pending,
            min(LEASE, now - candidate.sent_us) if candidate.pending or holds else 0,
            max(0, candidate.next_us - now),
            candidate.min_term,
            self.slipped[n],
        )

    def _request_numbers(self, n: int) -> list[int]:
        """Numbers of a candidate's requests that still play a part, the last first."""
        numbers = {self.candidates[n].last_request}
        for message in self.wire:
            if isinstance(message, RequestMessage | AnswerMessage) and message.candidate == n:
                numbers.add(message.number)
        if n == self.holder:
            numbers.add(self.last_request)
        return sorted(numbers, reverse=True)

    @staticmethod
    def _message_key(message: Message, numbers: list[list[int]]) -> Key:
        if isinstance(message, RequestMessage | AnswerMessage):
            return tuple(message._replace(number=numbers[message.candidate].index(message.number)))
        return tuple(message)


@dataclass(frozen=True, slots=True)
class CheckResult:
    """States seen, what is wrong with the last one, and the steps that led to it."""

    states: int
    wrong: str = ""
    way: tuple[str, ...] = ()


@dataclass(slots=True)
class ModelChecker:
    """Breadth first, so that what is found is found by the fewest steps.

    Attributes:
        wire: messages under way at once, at most.
        slips: whether clocks slip. `losses`: whether messages are lost; without, they may still wait for ever.
        faults: planted ones.
        most: states, at most.
    """

    candidates: int = 2
    receivers: int = 2
    wire: int = 3
    restarts: int = 1
    terms: int = 3
    slips: bool = True
    losses: bool = True
    faults: frozenset[str] = frozenset()
    most: int = 400_000
    seen: set[Key] = field(default_factory=set)

    def initial(self) -> World:
        """Nobody holds the lease, and nothing is under way."""
        count = self.candidates
        return World(
            candidates=[LeaseCandidate(TIMING) for _ in range(count)],
            clocks=[0] * count,
            slipped=[LEASE] * count,
            fences=[Fence(is_restored=True) for _ in range(self.receivers)],
            marks=[0] * self.receivers,
        )

    def run(self) -> CheckResult:
        """Goes through all states, until one is wrong or there are too many."""
        first = self.initial()
        todo: deque[tuple[World, tuple[str, ...]]] = deque([(first, ())])
        self.seen = {first.key()}
        while todo:
            world, way = todo.popleft()
            for name, after in self.steps(world):
                if after.wrong:
                    return CheckResult(len(self.seen), after.wrong, (*way, name))
                key = after.key()
                if key in self.seen:
                    continue
                if len(self.seen) >= self.most:
                    return CheckResult(len(self.seen), "", ("stopped: more states than asked for",))
                self.seen.add(key)
                todo.append((after, (*way, name)))
        return CheckResult(len(self.seen))

    def steps(self, world: World) -> Iterator[Step]:
        """Each thing that may happen next."""
        yield from self._ticks(world)
        for n in range(self.candidates):
            if len(world.wire) < self.wire:
                after = world.copy()
                _post(after, n, after.candidates[n].tick(after.clocks[n]))
                yield Step(f"{n} looks at its clock", after)
                yield from self._effects(world, n)
        for at, message in enumerate(world.wire):
            if message not in world.wire[:at]:
                yield from self._arrivals(world, at)
        if world.restarts < self.restarts:
            yield from self._receiver_restarts(world)
            yield self._store_restart(world)

    # -- time and restarts -----------------------------------------------------------------------------

    def _ticks(self, world: World) -> Iterator[Step]:
        yield Step("a tick", self._tick(world, None))
        for n in range(self.candidates):
            if self.slips and world.slipped[n] >= LEASE:
                yield Step(f"a tick, the clock of {n} slips", self._tick(world, n))

    def _tick(self, world: World, slips: int | None) -> World:
        after = world.copy()
        after.left = max(0, after.left - 1)
        for n in range(self.candidates):
            after.slipped[n] = 0 if n == slips else min(LEASE, after.slipped[n] + 1)
            after.clocks[n] += n != slips
        return after

    def _receiver_restarts(self, world: World) -> Iterator[Step]:
        for n in range(self.receivers):
            after = world.copy()
            after.restarts += 1
            kept = dict(after.fences[n].positions)
            after.fences[n] = Fence()
            # Its mark was written before the effect was carried out; in memory only, nothing is left.
            after.fences[n].restore({} if "forgets" in self.faults else kept)
            yield Step(f"receiver {n} restarts", after)

    def _store_restart(self, world: World) -> Step:
        after = world.copy()
        after.restarts += 1
        # What it had granted goes on for a whole lease from its start: it cannot know how long it was away.
        after.left = LEASE if after.holder >= 0 else 0
        if {"voids", "store_forgets"} & self.faults:
            after.holder, after.left = NOBODY, 0
        if "store_forgets" in self.faults:
            after.term = 0
        return Step("the store restarts", after)

    # -- candidates ------------------------------------------------------------------------------------

    def _effects(self, world: World, n: int) -> Iterator[Step]:
        """An effect leaves, for each receiver. The check and the send are one step: no sleep lies between."""
        candidate = world.candidates[n]
        term = candidate.current_term(world.clocks[n])
        unchecked = "no_check" in self.faults
        if unchecked and candidate.state == "owner":
            term = candidate.term
        if term is None:
            return
        for receiver in range(self.receivers):
            after = world.copy()
            after.wire += (EffectMessage("effect", n, receiver, term),)
            # A store gone back in time may have two holders: there the receivers' order is all that is asked.
            is_late = (world.holder, world.term) != (n, term) or not world.left
            if "store_forgets" not in self.faults and is_late:
                after.wrong = f"late: {n} sends in term {term}; the store's is {world.term}, {world.left} ticks left"
            yield Step(f"{n} sends an effect of term {term} to {receiver}", after)
        if unchecked and (world.holder, world.term) != (n, term):
            after = world.copy()
            after.wrong = f"record: {n} writes in term {term}"
            yield Step(f"{n} writes a record of term {term}", after)

    # -- messages --------------------------------------------------------------------------------------

    def _arrivals(self, world: World, at: int) -> Iterator[Step]:
        message = world.wire[at]
        rest = world.wire[:at] + world.wire[at + 1 :]
        if self.losses:
            lost = world.copy()
            lost.wire = rest
            yield Step(f"lost: {tuple(message)}", lost)
        after = world.copy()
        after.wire = rest
        match message:
            case EffectMessage():
                yield self._effect_arrives(after, message)
            case RequestMessage():
                granted = self._store_answers(after, message)
                if after.term <= self.terms:
                    after.wire += (AnswerMessage("answer", message.candidate, message.number, granted),)
                    yield Step(f"the store: {message.request} of {message.candidate} gives {granted}", after)
            case AnswerMessage(_, n, number, granted):
                candidate = after.candidates[n]
                if "from_answer" in self.faults:
                    candidate.sent_us = after.clocks[n]
                _post(after, n, candidate.answer(after.clocks[n], number, granted))
                yield Step(f"{n} reads answer {(number, granted)}", after)
            case RefusalMessage(_, n, seen_term):
                _post(after, n, after.candidates[n].refused(after.clocks[n], seen_term))
                yield Step(f"{n} reads refused {(seen_term,)}", after)

    def _effect_arrives(self, after: World, message: EffectMessage) -> Step:
        _, n, receiver, term = message
        fence = after.fences[receiver]
        verdict = fence.check_effect(JOB, term, fence.position(JOB).sequence + 1)
        if verdict.is_accepted:
            if term < after.marks[receiver]:
                after.wrong = f"order: receiver {receiver} takes term {term} after {after.marks[receiver]}"
            after.marks[receiver] = max(after.marks[receiver], term)
        elif len(after.wire) < self.wire:
            after.wire += (RefusalMessage("refused", n, verdict.highest_term),)
        return Step(f"receiver {receiver}: {'takes' if verdict.is_accepted else 'refuses'} term {term} of {n}", after)

    def _store_answers(self, world: World, message: RequestMessage) -> int:
        """The store takes a request: the term granted, or 0."""
        n = message.candidate
        if world.holder == n and message.number <= world.last_request and "any_order" not in self.faults:
            return 0  # a holder's requests are taken in order: one that was given up may come late
        if message.request == "acquire":
            if world.left and world.holder != n:
                return 0
            world.holder = n
            world.term = max(world.term, message.min_term) + 1
            world.left = LEASE
            world.last_request = message.number
            return world.term
        if (world.holder, world.term) != (n, message.term) or not world.left:
            return 0
        world.last_request = message.number
        if message.request == "renew":
            world.left = LEASE
            return world.term
        world.left = 0  # given back; its holder's last request is kept
        return 0


def _post(world: World, n: int, effects: list[CandidateEffect]) -> None:
    """Requests of a candidate leave."""
    for effect in effects:
        if isinstance(effect, LeaseRequest):
            message = RequestMessage("ask", n, effect.number, effect.kind, effect.term, effect.min_term)
            world.wire += (message,)
