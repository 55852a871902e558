"""Explicit-state model checking of candidates, store and receivers, up to a bounded number of terms.

This module does no I/O. It runs the production classes `LeaseCandidate` and `Fence` in a model of their environment:
one store; messages that are lost or delayed without bound; candidates that may pause at any point except between a
check of the term and the send that follows; clocks that drift; restarts of the receivers and of the store. Each
reachable state is checked against the invariants listed in `Invariant`.

An `InjectedFault` breaks one rule on purpose, to show that the checker finds the violation that follows from it.
`STORE_LOSES_TERMS` models a store that is rolled back to a state before its last terms: two candidates may then hold
the lease at once, and only the order of terms at the receivers is guaranteed.
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
LEASE_TICKS = 2  # duration of a lease at the store
HOLDER_LEASE_TICKS = 1  # the part that a holder may use, since its clock may skip one tick in each lease
TIMING = LeaseTiming(
    lease_us=LEASE_TICKS,  # in the model, one microsecond of a candidate's clock is one tick
    max_drift_fraction=LEASE_TICKS / HOLDER_LEASE_TICKS - 1,
    renew_after_fraction=0.34,
    request_timeout_us=1,
    retry_interval_us=1,
    unreachable_backoff_us=1,
)
NO_HOLDER = -1

StateKey = tuple[Any, ...]
"""Identifies a state: two states from which the same transitions can follow have equal keys."""


class Invariant(StrEnum):
    """A safety property that must hold in every reachable state.

    EFFECT_WITHIN_LEASE: an effect is sent only while the store's lease for its term has not expired.
    TERM_ORDER: no receiver accepts an effect of a lower term than one it has accepted, also across its restarts.
    RECORD_BY_HOLDER: a record is written under a term only by the candidate to which the store granted that term.
    """

    EFFECT_WITHIN_LEASE = "effect_within_lease"
    TERM_ORDER = "term_order"
    RECORD_BY_HOLDER = "record_by_holder"


class InjectedFault(StrEnum):
    """A rule of the protocol that a run breaks on purpose.

    UNCHECKED_EFFECTS: a holder sends effects without checking that its lease has not expired.
    LEASE_COUNTED_FROM_ANSWER: a candidate counts a lease from the answer instead of from the request.
    FENCE_LOSES_POSITIONS: a receiver loses its fence positions when it restarts.
    STORE_VOIDS_LEASES: a restarted store treats the leases that it granted as expired.
    STORE_LOSES_TERMS: a restarted store has also lost the terms that it granted.
    REQUESTS_IN_ANY_ORDER: the store accepts a holder's requests in any order.
    """

    UNCHECKED_EFFECTS = "unchecked_effects"
    LEASE_COUNTED_FROM_ANSWER = "lease_counted_from_answer"
    FENCE_LOSES_POSITIONS = "fence_loses_positions"
    STORE_VOIDS_LEASES = "store_voids_leases"
    STORE_LOSES_TERMS = "store_loses_terms"
    REQUESTS_IN_ANY_ORDER = "requests_in_any_order"


class MessageKind(StrEnum):
    """The first field of each message, so that messages of different kinds are unequal and can be sorted."""

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

# State keys hold numbers in place of enum members. A run stores many keys, and the garbage collector does not track
# tuples that hold only numbers.
STATE_CODES = {state: code for code, state in enumerate(CandidateState)}
MESSAGE_CODES = {kind: code for code, kind in enumerate(MessageKind)}
REQUEST_CODES = {kind: code for code, kind in enumerate((None, *RequestKind))}


class Violation(NamedTuple):
    """A broken invariant, and a description of what broke it."""

    invariant: Invariant
    detail: str


class Transition(NamedTuple):
    """One possible transition from a state: its description, and the state that it leads to."""

    description: str
    state: ModelState


@dataclass(slots=True)
class ModelState:
    """One state of the model.

    A paused candidate needs no state of its own, since no transition of a candidate is forced to happen.

    Attributes:
        candidates: the candidates under test.
        clocks: the time of each candidate's clock, in ticks.
        ticks_since_skip: by candidate, ticks since its clock last skipped a tick.
        fences: the receivers under test.
        accepted_terms: by receiver, the highest term of which it accepted an effect, kept across its restarts.
        holder: the candidate to which the store last granted the lease; NO_HOLDER before the first grant.
        term: the last term granted.
        lease_ticks: remaining time of the lease, in ticks of the store's clock.
        last_sequence: sequence number of the holder's last request that the store accepted.
        messages: the messages in transit.
        restarts: number of restarts of receivers and store so far.
        violation: the invariant that the last transition broke; None if it broke none.
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
        """Returns the state's key.

        Times are relative to each candidate's clock, and sequence numbers are replaced by their order, so that states
        that differ only in absolute values have the same key.
        """
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
        """Returns the sequence numbers of a candidate's requests that can still matter, highest first."""
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
        trace: descriptions of the transitions from the initial state to the violation.
        is_complete: False if the run ended because it reached `ModelChecker.max_states`.
    """

    states: int
    violation: Violation | None = None
    trace: tuple[str, ...] = ()
    is_complete: bool = True


@dataclass(slots=True)
class ModelChecker:
    """Searches the states breadth first, so that the trace of a violation has the fewest transitions possible.

    Attributes:
        candidates: number of candidates.
        receivers: number of receivers.
        max_messages: bound on the messages in transit at a time.
        max_restarts: bound on the restarts of receivers and store together.
        max_terms: bound on the terms granted.
        has_clock_skips: whether a candidate's clock may skip one tick in each lease.
        has_message_loss: whether messages may be lost. They may be delayed without bound in either case.
        faults: the rules that the run breaks.
        max_states: bound on the distinct states of a run.
        seen: keys of the states reached so far.
    """

    candidates: int = 2
    receivers: int = 2
    max_messages: int = 3
    max_restarts: int = 1
    max_terms: int = 3
    has_clock_skips: bool = True
    has_message_loss: bool = True
    faults: frozenset[InjectedFault] = frozenset()
    max_states: int = 400_000
    seen: set[StateKey] = field(default_factory=set)

    def initial(self) -> ModelState:
        """Returns the initial state, which has no holder and no messages."""
        count = self.candidates
        return ModelState(
            candidates=[LeaseCandidate(TIMING) for _ in range(count)],
            clocks=[0] * count,
            ticks_since_skip=[LEASE_TICKS] * count,
            fences=[Fence(is_restored=True) for _ in range(self.receivers)],
            accepted_terms=[0] * self.receivers,
        )

    def run(self) -> CheckResult:
        """Visits all reachable states; stops early at the first violation, or at `max_states`."""
        initial = self.initial()
        queue: deque[tuple[ModelState, tuple[str, ...]]] = deque([(initial, ())])
        self.seen = {initial.key()}
        while queue:
            state, path = queue.popleft()
            for description, next_state in self.transitions(state):
                if next_state.violation:
                    return CheckResult(len(self.seen), next_state.violation, (*path, description))
                key = next_state.key()
                if key in self.seen:
                    continue
                if len(self.seen) >= self.max_states:
                    return CheckResult(len(self.seen), is_complete=False)
                self.seen.add(key)
                queue.append((next_state, (*path, description)))
        return CheckResult(len(self.seen))

    def transitions(self, state: ModelState) -> Iterator[Transition]:
        """Yields each transition that is possible in a state."""
        yield from self._ticks(state)
        for index in range(self.candidates):
            if len(state.messages) < self.max_messages:
                next_state = state.copy()
                next_state.send(index, next_state.candidates[index].tick(next_state.clocks[index]))
                yield Transition(f"candidate {index} reads its clock", next_state)
                yield from self._effects(state, index)
        for position, message in enumerate(state.messages):
            if message not in state.messages[:position]:
                yield from self._deliveries(state, position)
        if state.restarts < self.max_restarts:
            yield from self._receiver_restarts(state)
            yield self._store_restart(state)

    # -- time and restarts -----------------------------------------------------------------------------

    def _ticks(self, state: ModelState) -> Iterator[Transition]:
        yield Transition("tick", self._tick(state, None))
        for index in range(self.candidates):
            if self.has_clock_skips and state.ticks_since_skip[index] >= LEASE_TICKS:
                yield Transition(f"tick, the clock of candidate {index} skips it", self._tick(state, index))

    def _tick(self, state: ModelState, skipping: int | None) -> ModelState:
        next_state = state.copy()
        next_state.lease_ticks = max(0, next_state.lease_ticks - 1)
        for index in range(self.candidates):
            is_skipping = index == skipping
            next_state.ticks_since_skip[index] = (
                0 if is_skipping else min(LEASE_TICKS, next_state.ticks_since_skip[index] + 1)
            )
            next_state.clocks[index] += not is_skipping
        return next_state

    def _receiver_restarts(self, state: ModelState) -> Iterator[Transition]:
        for index in range(self.receivers):
            next_state = state.copy()
            next_state.restarts += 1
            stored = dict(next_state.fences[index].positions)
            # A receiver stores its position before it carries an effect out, so the position survives the restart.
            next_state.fences[index] = Fence()
            next_state.fences[index].restore({} if InjectedFault.FENCE_LOSES_POSITIONS in self.faults else stored)
            yield Transition(f"receiver {index} restarts", next_state)

    def _store_restart(self, state: ModelState) -> Transition:
        next_state = state.copy()
        next_state.restarts += 1
        # The store cannot know how long it was down, so it gives a granted lease its whole duration again.
        next_state.lease_ticks = LEASE_TICKS if next_state.holder >= 0 else 0
        if {InjectedFault.STORE_VOIDS_LEASES, InjectedFault.STORE_LOSES_TERMS} & self.faults:
            next_state.holder, next_state.lease_ticks = NO_HOLDER, 0
        if InjectedFault.STORE_LOSES_TERMS in self.faults:
            next_state.term = 0
        return Transition("the store restarts", next_state)

    # -- candidates ------------------------------------------------------------------------------------

    def _effects(self, state: ModelState, index: int) -> Iterator[Transition]:
        """Yields a sent effect for each receiver. Check and send are one transition: no pause falls between them."""
        candidate = state.candidates[index]
        term = candidate.current_term(state.clocks[index])
        is_unchecked = InjectedFault.UNCHECKED_EFFECTS in self.faults
        if is_unchecked and candidate.state is CandidateState.HOLDER:
            term = candidate.term
        if term is None:
            return
        is_granted = (state.holder, state.term) == (index, term)
        is_late = not is_granted or not state.lease_ticks
        for receiver in range(self.receivers):
            next_state = state.copy()
            next_state.messages += (EffectMessage(MessageKind.EFFECT, index, receiver, term),)
            if InjectedFault.STORE_LOSES_TERMS not in self.faults and is_late:
                detail = (
                    f"candidate {index} sends in term {term}; the store's term is {state.term}, "
                    f"{state.lease_ticks} ticks left"
                )
                next_state.violation = Violation(Invariant.EFFECT_WITHIN_LEASE, detail)
            yield Transition(f"candidate {index} sends an effect of term {term} to receiver {receiver}", next_state)
        if is_unchecked and not is_granted:
            next_state = state.copy()
            next_state.violation = Violation(Invariant.RECORD_BY_HOLDER, f"candidate {index} writes in term {term}")
            yield Transition(f"candidate {index} writes a record of term {term}", next_state)

    # -- messages --------------------------------------------------------------------------------------

    def _deliveries(self, state: ModelState, position: int) -> Iterator[Transition]:
        message = state.messages[position]
        others = state.messages[:position] + state.messages[position + 1 :]
        if self.has_message_loss:
            lost = state.copy()
            lost.messages = others
            yield Transition(f"{message} is lost", lost)
        next_state = state.copy()
        next_state.messages = others
        match message:
            case EffectMessage():
                yield self._deliver_effect(next_state, message)
            case RequestMessage():
                granted_term = self._answer_request(next_state, message)
                if next_state.term <= self.max_terms:
                    answer = AnswerMessage(MessageKind.ANSWER, message.candidate, message.sequence, granted_term)
                    next_state.messages += (answer,)
                    yield Transition(
                        f"the store answers {message.request} of candidate {message.candidate}: {granted_term}",
                        next_state,
                    )
            case AnswerMessage():
                yield self._deliver_answer(next_state, message)
            case RejectionMessage(_, index, highest_term):
                candidate = next_state.candidates[index]
                next_state.send(index, candidate.handle_rejection(next_state.clocks[index], highest_term))
                yield Transition(f"candidate {index} reads a rejection by term {highest_term}", next_state)

    def _deliver_answer(self, next_state: ModelState, message: AnswerMessage) -> Transition:
        _, index, sequence, granted_term = message
        candidate = next_state.candidates[index]
        now = next_state.clocks[index]
        if InjectedFault.LEASE_COUNTED_FROM_ANSWER in self.faults:
            candidate.request_sent_us = now
        next_state.send(index, candidate.handle_answer(now, sequence, granted_term))
        return Transition(f"candidate {index} reads answer {sequence}: {granted_term}", next_state)

    def _deliver_effect(self, next_state: ModelState, message: EffectMessage) -> Transition:
        _, index, receiver, term = message
        fence = next_state.fences[receiver]
        verdict = fence.check_effect(JOB, term, fence.position(JOB).sequence + 1)
        if verdict.is_accepted:
            highest_term = next_state.accepted_terms[receiver]
            if term < highest_term:
                detail = f"receiver {receiver} accepts term {term} after term {highest_term}"
                next_state.violation = Violation(Invariant.TERM_ORDER, detail)
            next_state.accepted_terms[receiver] = max(highest_term, term)
        elif len(next_state.messages) < self.max_messages:
            next_state.messages += (RejectionMessage(MessageKind.REJECTION, index, verdict.highest_term),)
        verb = "accepts" if verdict.is_accepted else "rejects"
        return Transition(f"receiver {receiver} {verb} term {term} of candidate {index}", next_state)

    def _answer_request(self, state: ModelState, message: RequestMessage) -> int:
        """Applies a request at the store. Returns the term that is granted or renewed, or 0."""
        index = message.candidate
        # A request whose sender timed out may arrive after the request sent in its place.
        is_in_order = message.sequence > state.last_sequence or InjectedFault.REQUESTS_IN_ANY_ORDER in self.faults
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
        state.lease_ticks = 0  # `holder` is kept, since `last_sequence` belongs to it
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
