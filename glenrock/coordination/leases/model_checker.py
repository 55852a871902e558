"""Explicit-state model checking of candidates, store and receivers, up to a number of terms.

Pure. The program's `LeaseCandidate` and `Fence` run in a model of the rest: a store; messages that are lost or delayed
without bound; candidates that suspend at any point except between a check and the send that follows; clocks that drift;
receivers and a store that restart. Each reachable state is checked against the invariants of `Invariant`.

A `PlantedFault` breaks one rule, to show that the checker finds a violation. `STORE_FORGETS` is a store rolled back to
before its terms: two candidates may hold the lease then, and only the order at the receivers is guaranteed.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum
from typing import Any, Literal, NamedTuple

from .candidate import CandidateAction, CandidateState, LeaseCandidate, LeaseRequest, LeaseTiming, RequestKind
from .fence import Fence

JOB = "job"
LEASE_TICKS = 2  # of the store's lease
HOLDER_LEASE_TICKS = 1  # usable by a holder whose clock may skip one tick in a lease
TIMING = LeaseTiming(
    lease_us=LEASE_TICKS,  # one microsecond of a candidate is one tick
    max_drift_fraction=LEASE_TICKS / HOLDER_LEASE_TICKS - 1,
    renew_after_fraction=0.34,
    request_timeout_us=1,
    retry_interval_us=1,
    unreachable_backoff_us=1,
)
NO_HOLDER = -1

StateKey = tuple[Any, ...]
"""Equal for states from which the same can happen."""


class Invariant(StrEnum):
    """What every reachable state must keep.

    LATE: no effect is sent unless the store's lease for its term lasts.
    ORDER: no receiver accepts an effect of a lower term than it has accepted, over its restarts too.
    RECORD: no record is written in the name of a term that the store has not granted to the writer.
    """

    LATE = "late"
    ORDER = "order"
    RECORD = "record"


class PlantedFault(StrEnum):
    """A rule that is broken on purpose.

    NO_CHECK: a holder sends effects without checking that its lease lasts.
    COUNTED_FROM_ANSWER: a lease is counted from its answer instead of from its request.
    FENCE_FORGETS: a receiver loses its fence positions in a restart.
    STORE_VOIDS: a restarted store regards the leases that it granted as expired.
    STORE_FORGETS: a restarted store has also lost its terms.
    ANY_ORDER: the store accepts a holder's requests in any order.
    """

    NO_CHECK = "no_check"
    COUNTED_FROM_ANSWER = "counted_from_answer"
    FENCE_FORGETS = "fence_forgets"
    STORE_VOIDS = "store_voids"
    STORE_FORGETS = "store_forgets"
    ANY_ORDER = "any_order"


class MessageKind(StrEnum):
    """The first field of each message; it keeps messages of different kinds distinct and comparable."""

    REQUEST = "request"
    ANSWER = "answer"
    EFFECT = "effect"
    REJECTION = "rejection"

    __hash__ = str.__hash__


class RequestMessage(NamedTuple):
    """A candidate's request, in transit to the store."""

    kind: Literal[MessageKind.REQUEST]
    candidate: int
    sequence: int
    request: RequestKind
    term: int
    term_floor: int


class AnswerMessage(NamedTuple):
    """The store's answer, in transit to a candidate."""

    kind: Literal[MessageKind.ANSWER]
    candidate: int
    sequence: int
    granted_term: int


class EffectMessage(NamedTuple):
    """An effect, in transit to a receiver."""

    kind: Literal[MessageKind.EFFECT]
    candidate: int
    receiver: int
    term: int


class RejectionMessage(NamedTuple):
    """A receiver's rejection, in transit to a candidate."""

    kind: Literal[MessageKind.REJECTION]
    candidate: int
    highest_term: int


Message = RequestMessage | AnswerMessage | EffectMessage | RejectionMessage
SEQUENCED_MESSAGES = (RequestMessage, AnswerMessage)

# Keys hold numbers in place of enum members: the garbage collector skips tuples of numbers, and there are many keys.
STATE_CODES = {state: code for code, state in enumerate(CandidateState)}
MESSAGE_CODES = {kind: code for code, kind in enumerate(MessageKind)}
REQUEST_CODES = {kind: code for code, kind in enumerate((None, *RequestKind))}


class Violation(NamedTuple):
    """A broken invariant, and what broke it."""

    invariant: Invariant
    detail: str


class Step(NamedTuple):
    """One thing that may happen next: its description, and the state after it."""

    name: str
    state: ModelState


@dataclass(slots=True)
class ModelState:
    """One state of the model.

    A suspended candidate needs no state of its own, since no step of a candidate has to happen.

    Attributes:
        candidates: the candidates under test.
        clocks: the time of each candidate's clock, in ticks.
        ticks_since_skip: by candidate, ticks since its clock last skipped a tick.
        fences: the receivers under test.
        accepted_terms: by receiver, the highest term of which an effect was accepted, over restarts.
        holder: the candidate that the store granted the lease to last.
        term: the last term granted.
        lease_ticks: what remains of the store's lease, in ticks of its own clock.
        last_sequence: the last request of the holder that the store accepted.
        messages: in transit.
        restarts: of receivers and store so far.
        violation: the invariant that the last step broke.
    """

    candidates: list[LeaseCandidate]
    clocks: list[int]
    ticks_since_skip: list[int]
    fences: list[Fence]
    accepted_terms: list[int]
    holder: int = NO_HOLDER
    term: int = 0
    lease_ticks: int = 0
    last_sequence: int = 0
    messages: tuple[Message, ...] = ()
    restarts: int = 0
    violation: Violation | None = None

    def copy(self) -> ModelState:
        """Returns a copy that may be changed."""
        return replace(
            self,
            candidates=[replace(candidate) for candidate in self.candidates],
            clocks=list(self.clocks),
            ticks_since_skip=list(self.ticks_since_skip),
            accepted_terms=list(self.accepted_terms),
            fences=[replace(fence, positions=dict(fence.positions)) for fence in self.fences],
        )

    def send(self, candidate: int, actions: list[CandidateAction]) -> None:
        """Puts the requests among a candidate's actions in transit."""
        for action in actions:
            if isinstance(action, LeaseRequest):
                message = RequestMessage(
                    MessageKind.REQUEST, candidate, action.sequence, action.kind, action.term, action.term_floor
                )
                self.messages += (message,)

    def key(self) -> StateKey:
        """Returns the state's key: times relative to each candidate's clock, sequence numbers by their order."""
        sequences = [self._live_sequences(index) for index in range(len(self.candidates))]
        messages = tuple(sorted(self._message_key(message, sequences) for message in self.messages))
        return (
            tuple(self._candidate_key(index) for index in range(len(self.candidates))),
            tuple((fence.is_restored, fence.position(JOB).term) for fence in self.fences),
            tuple(self.accepted_terms),
            self.holder,
            self.term,
            self.lease_ticks,
            sequences[self.holder].index(self.last_sequence) if self.holder >= 0 else 0,
            messages,
            self.restarts,
        )

    def _candidate_key(self, index: int) -> StateKey:
        candidate = self.candidates[index]
        now = self.clocks[index]
        state = candidate.state
        is_holder = state is CandidateState.HOLDER
        pending = candidate.pending_kind
        return (
            STATE_CODES[state],
            candidate.term if is_holder or state is CandidateState.RELEASING else 0,
            max(-1, candidate.expires_us - now) if is_holder else 0,
            REQUEST_CODES[pending],
            min(LEASE_TICKS, now - candidate.request_sent_us) if pending or is_holder else 0,
            max(0, candidate.next_request_us - now),
            candidate.term_floor,
            self.ticks_since_skip[index],
        )

    def _live_sequences(self, index: int) -> list[int]:
        """Returns the sequence numbers of a candidate's requests that may still have an effect, the last first."""
        sequences = {self.candidates[index].last_sequence}
        for message in self.messages:
            if isinstance(message, SEQUENCED_MESSAGES) and message.candidate == index:
                sequences.add(message.sequence)
        if index == self.holder:
            sequences.add(self.last_sequence)
        return sorted(sequences, reverse=True)

    @staticmethod
    def _message_key(message: Message, sequences: list[list[int]]) -> StateKey:
        code = MESSAGE_CODES[message.kind]
        if not isinstance(message, SEQUENCED_MESSAGES):
            return (code, *message[1:])
        index = message.candidate
        order = sequences[index].index(message.sequence)
        if isinstance(message, RequestMessage):
            return (code, index, order, REQUEST_CODES[message.request], message.term, message.term_floor)
        return (code, index, order, message.granted_term)


@dataclass(frozen=True, slots=True)
class CheckResult:
    """The result of a run.

    Attributes:
        states: number of distinct states reached.
        violation: the first violation found; None if there is none.
        steps: names of the steps that lead to the violation.
        is_complete: False if the run ended at `ModelChecker.max_states`.
    """

    states: int
    violation: Violation | None = None
    steps: tuple[str, ...] = ()
    is_complete: bool = True


@dataclass(slots=True)
class ModelChecker:
    """Searches the states breadth first, so that a violation is found by the fewest steps.

    Attributes:
        candidates: how many.
        receivers: how many.
        max_messages: bound on messages in transit.
        max_restarts: bound on restarts of receivers and store.
        max_terms: bound on terms granted.
        has_clock_skips: whether a candidate's clock may skip a tick in each lease.
        has_message_loss: whether messages may be lost; delayed without bound they are always.
        faults: the planted faults.
        max_states: bound on the states of a run.
        seen: keys of the states reached.
    """

    candidates: int = 2
    receivers: int = 2
    max_messages: int = 3
    max_restarts: int = 1
    max_terms: int = 3
    has_clock_skips: bool = True
    has_message_loss: bool = True
    faults: frozenset[PlantedFault] = frozenset()
    max_states: int = 400_000
    seen: set[StateKey] = field(default_factory=set)

    def initial(self) -> ModelState:
        """Returns the state without a holder and without messages."""
        count = self.candidates
        return ModelState(
            candidates=[LeaseCandidate(TIMING) for _ in range(count)],
            clocks=[0] * count,
            ticks_since_skip=[LEASE_TICKS] * count,
            fences=[Fence(is_restored=True) for _ in range(self.receivers)],
            accepted_terms=[0] * self.receivers,
        )

    def run(self) -> CheckResult:
        """Visits all reachable states, until one has a violation or there are too many."""
        initial = self.initial()
        queue: deque[tuple[ModelState, tuple[str, ...]]] = deque([(initial, ())])
        self.seen = {initial.key()}
        while queue:
            state, path = queue.popleft()
            for name, after in self.steps(state):
                if after.violation:
                    return CheckResult(len(self.seen), after.violation, (*path, name))
                key = after.key()
                if key in self.seen:
                    continue
                if len(self.seen) >= self.max_states:
                    return CheckResult(len(self.seen), is_complete=False)
                self.seen.add(key)
                queue.append((after, (*path, name)))
        return CheckResult(len(self.seen))

    def steps(self, state: ModelState) -> Iterator[Step]:
        """Yields each thing that may happen next."""
        yield from self._ticks(state)
        for index in range(self.candidates):
            if len(state.messages) < self.max_messages:
                after = state.copy()
                after.send(index, after.candidates[index].tick(after.clocks[index]))
                yield Step(f"candidate {index} reads its clock", after)
                yield from self._effects(state, index)
        for position, message in enumerate(state.messages):
            if message not in state.messages[:position]:
                yield from self._deliveries(state, position)
        if state.restarts < self.max_restarts:
            yield from self._receiver_restarts(state)
            yield self._store_restart(state)

    # -- time and restarts -----------------------------------------------------------------------------

    def _ticks(self, state: ModelState) -> Iterator[Step]:
        yield Step("tick", self._tick(state, None))
        for index in range(self.candidates):
            if self.has_clock_skips and state.ticks_since_skip[index] >= LEASE_TICKS:
                yield Step(f"tick, the clock of candidate {index} skips it", self._tick(state, index))

    def _tick(self, state: ModelState, skipping: int | None) -> ModelState:
        after = state.copy()
        after.lease_ticks = max(0, after.lease_ticks - 1)
        for index in range(self.candidates):
            is_skipping = index == skipping
            after.ticks_since_skip[index] = 0 if is_skipping else min(LEASE_TICKS, after.ticks_since_skip[index] + 1)
            after.clocks[index] += not is_skipping
        return after

    def _receiver_restarts(self, state: ModelState) -> Iterator[Step]:
        for index in range(self.receivers):
            after = state.copy()
            after.restarts += 1
            stored = dict(after.fences[index].positions)
            after.fences[index] = Fence()
            after.fences[index].restore({} if PlantedFault.FENCE_FORGETS in self.faults else stored)
            yield Step(f"receiver {index} restarts", after)

    def _store_restart(self, state: ModelState) -> Step:
        after = state.copy()
        after.restarts += 1
        # A granted lease lasts a whole lease from the restart: the store cannot know how long it was down.
        after.lease_ticks = LEASE_TICKS if after.holder >= 0 else 0
        if {PlantedFault.STORE_VOIDS, PlantedFault.STORE_FORGETS} & self.faults:
            after.holder, after.lease_ticks = NO_HOLDER, 0
        if PlantedFault.STORE_FORGETS in self.faults:
            after.term = 0
        return Step("the store restarts", after)

    # -- candidates ------------------------------------------------------------------------------------

    def _effects(self, state: ModelState, index: int) -> Iterator[Step]:
        """Yields an effect for each receiver. The check and the send are one step, without a suspend between them."""
        candidate = state.candidates[index]
        term = candidate.current_term(state.clocks[index])
        is_unchecked = PlantedFault.NO_CHECK in self.faults
        if is_unchecked and candidate.state is CandidateState.HOLDER:
            term = candidate.term
        if term is None:
            return
        is_granted = (state.holder, state.term) == (index, term)
        is_late = not is_granted or not state.lease_ticks
        for receiver in range(self.receivers):
            after = state.copy()
            after.messages += (EffectMessage(MessageKind.EFFECT, index, receiver, term),)
            if PlantedFault.STORE_FORGETS not in self.faults and is_late:
                detail = f"{index} sends in term {term}; the store's is {state.term}, {state.lease_ticks} ticks left"
                after.violation = Violation(Invariant.LATE, detail)
            yield Step(f"candidate {index} sends an effect of term {term} to receiver {receiver}", after)
        if is_unchecked and not is_granted:
            after = state.copy()
            after.violation = Violation(Invariant.RECORD, f"{index} writes in term {term}")
            yield Step(f"candidate {index} writes a record of term {term}", after)

    # -- messages --------------------------------------------------------------------------------------

    def _deliveries(self, state: ModelState, position: int) -> Iterator[Step]:
        message = state.messages[position]
        others = state.messages[:position] + state.messages[position + 1 :]
        if self.has_message_loss:
            lost = state.copy()
            lost.messages = others
            yield Step(f"{message} is lost", lost)
        after = state.copy()
        after.messages = others
        match message:
            case EffectMessage():
                yield self._deliver_effect(after, message)
            case RequestMessage():
                granted_term = self._answer_request(after, message)
                if after.term <= self.max_terms:
                    answer = AnswerMessage(MessageKind.ANSWER, message.candidate, message.sequence, granted_term)
                    after.messages += (answer,)
                    yield Step(f"the store answers {message.request} of {message.candidate}: {granted_term}", after)
            case AnswerMessage():
                yield self._deliver_answer(after, message)
            case RejectionMessage(_, index, highest_term):
                candidate = after.candidates[index]
                after.send(index, candidate.handle_rejection(after.clocks[index], highest_term))
                yield Step(f"candidate {index} reads a rejection by term {highest_term}", after)

    def _deliver_answer(self, after: ModelState, message: AnswerMessage) -> Step:
        _, index, sequence, granted_term = message
        candidate = after.candidates[index]
        now = after.clocks[index]
        if PlantedFault.COUNTED_FROM_ANSWER in self.faults:
            candidate.request_sent_us = now
        after.send(index, candidate.handle_answer(now, sequence, granted_term))
        return Step(f"candidate {index} reads answer {sequence}: {granted_term}", after)

    def _deliver_effect(self, after: ModelState, message: EffectMessage) -> Step:
        _, index, receiver, term = message
        fence = after.fences[receiver]
        verdict = fence.check_effect(JOB, term, fence.position(JOB).sequence + 1)
        if verdict.is_accepted:
            highest_term = after.accepted_terms[receiver]
            if term < highest_term:
                detail = f"receiver {receiver} accepts term {term} after {highest_term}"
                after.violation = Violation(Invariant.ORDER, detail)
            after.accepted_terms[receiver] = max(highest_term, term)
        elif len(after.messages) < self.max_messages:
            after.messages += (RejectionMessage(MessageKind.REJECTION, index, verdict.highest_term),)
        verb = "accepts" if verdict.is_accepted else "rejects"
        return Step(f"receiver {receiver} {verb} term {term} of candidate {index}", after)

    def _answer_request(self, state: ModelState, message: RequestMessage) -> int:
        """Applies a request at the store. Returns the term granted, or 0."""
        index = message.candidate
        is_in_order = message.sequence > state.last_sequence or PlantedFault.ANY_ORDER in self.faults
        if state.holder == index and not is_in_order:
            return 0
        if message.request is RequestKind.ACQUIRE:
            return self._grant(state, message)
        if (state.holder, state.term) != (index, message.term) or not state.lease_ticks:
            return 0
        state.last_sequence = message.sequence
        if message.request is RequestKind.RENEW:
            state.lease_ticks = LEASE_TICKS
            return state.term
        state.lease_ticks = 0  # the holder stays, since its last sequence number must
        return 0

    @staticmethod
    def _grant(state: ModelState, message: RequestMessage) -> int:
        if state.lease_ticks and state.holder != message.candidate:
            return 0
        state.holder = message.candidate
        state.term = max(state.term, message.term_floor) + 1
        state.lease_ticks = LEASE_TICKS
        state.last_sequence = message.sequence
        return state.term
