"""Judges a run from what clients, servers and discovery saw. Pure.

What a fault itself took away is excused: a client's connection to a process that was killed, a connection whose server
died or hung. Trouble elsewhere excuses nothing.
"""

from __future__ import annotations

import itertools
from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from .bed import BedShape
from .endpoint_directory import SERVING
from .records import NEVER, AttemptRecord, ConnectionEnd, RequestRecord, RunRecord

SLACK_S = 0.05  # of each time limit on sockets
LATE_S = 0.5  # an answer past its time only earns nothing for so long
IN_FLIGHT_S = 0.15  # a stand-in may see an end so much after it was done: its loop is shared by all
LEFT_S = 0.1  # nothing is forwarded later than this after its client left
HALF_REQUEST_S = 3.0
PASSED_ON_S = 1.0  # an end is passed on within this
DIED_S = 0.3  # around a kill
ANSWERS = ("UP", "BUSY", "ERR")


@dataclass(frozen=True)
class Violation:
    """A broken rule, with both sides' records."""

    rule: str
    at_s: float
    text: str
    request_id: str = ""
    balancer: int = -1


class InvariantChecker:
    """The rules, over the records of one run."""

    def __init__(self, record: RunRecord, shape: BedShape) -> None:
        self._record = record
        self._shape = shape
        self._attempts: dict[str, list[AttemptRecord]] = defaultdict(list)
        for attempt in record.attempts:
            self._attempts[attempt.request_id].append(attempt)
        self._attempts.default_factory = None
        self._requests = {request.request_id: request for request in record.requests}

    def breaches(self) -> list[Violation]:
        """All of them, in order of time."""
        found: list[Violation] = []
        for request in self._record.requests:
            found += self._answered(request)
            found += self._kept(request)
        for attempts in self._attempts.values():
            found += self._once(attempts)
            found += self._wanted(attempts)
        found += self._drained()
        found += self._half_requests()
        return sorted(found, key=lambda breach: breach.at_s)

    def _killed_between(self, balancer: int, from_s: float, to_s: float) -> bool:
        return any(from_s - DIED_S <= at_s <= to_s + DIED_S for at_s in self._record.killed_s.get(balancer, ()))

    def _told(self, request: RequestRecord) -> str:
        tries = "; ".join(
            f"{one.server} {one.first_byte_s - request.sent_s:+.3f} to {one.ended_s - request.sent_s:+.3f} "
            f"{one.answer or 'no answer'}"
            for one in self._attempts.get(request.request_id, [])
        )
        return (
            f"{request.effect} d={request.deadline_ms:.0f} at={request.standing_at or '-'} answer={request.answer!r} "
            f"{request.answered_s - request.sent_s:+.3f} end={request.end.value} "
            f"{request.ended_s - request.sent_s:+.3f} | {tries or 'no attempt'}"
        )

    def _breach(self, rule: str, at_s: float, what: str, request: RequestRecord) -> Violation:
        return Violation(rule, at_s, f"{what}: {self._told(request)}", request.request_id, request.balancer)

    def _answered(self, request: RequestRecord) -> Iterator[Violation]:
        """Each request that a balancer has taken gets one final answer, in time, and none but the protocol's."""
        wait_s = 40.0 if request.standing_at else request.deadline_ms / 1000
        limit_s = request.sent_s + wait_s + SLACK_S + LATE_S
        if request.unexpected:
            yield self._breach("wrong", request.sent_s, f"unexpected {request.unexpected}", request)
        if request.left_s < limit_s and not request.answer:
            return
        if self._killed_between(request.balancer, request.sent_s, min(limit_s, request.answered_s)):
            return
        if not request.answer:
            yield self._breach("lost", request.sent_s, "no answer", request)
        elif request.answered_s > limit_s:
            yield self._breach("lost", request.sent_s, "a late answer", request)
        elif request.answer.split(" ")[0] not in ANSWERS:
            yield self._breach("wrong", request.sent_s, "no answer of the protocol", request)
        elif request.standing_at and not request.is_up:
            yield self._breach("lost", request.sent_s, "a standing connection did not come up", request)
        elif request.answer.startswith("BUSY") and request.effect == "unsafe" and self._may_have_run(request):
            yield self._breach("refused", request.sent_s, "refused though it may have run", request)

    def _may_have_run(self, request: RequestRecord) -> bool:
        return any(one.answer != "BUSY" for one in self._attempts.get(request.request_id, []))

    def _kept(self, request: RequestRecord) -> Iterator[Violation]:
        """A connection whose server still serves it ends with MOVE, or when its client ends it."""
        if not request.is_up or request.moved or request.left_s < NEVER or request.end is ConnectionEnd.OPEN:
            return
        if self._killed_between(request.balancer, request.ended_s - PASSED_ON_S, request.ended_s):
            return
        served = [one for one in self._attempts.get(request.request_id, []) if one.up_s < NEVER]
        if any(one.ended_by_server or one.hung_s < request.ended_s for one in served):
            return
        yield self._breach("cut off", request.ended_s, "ended without MOVE", request)

    def _once(self, attempts: list[AttemptRecord]) -> Iterator[Violation]:
        """Never two attempts out at once; no repeat of what may not be repeated, nor past the window."""
        request = self._requests.get(attempts[0].request_id)
        if request is None or request.standing_at:
            return
        for before, after in itertools.pairwise(attempts):
            if after.first_byte_s < before.ended_s - IN_FLIGHT_S:
                yield self._breach("duplicate", after.first_byte_s, "two attempts out at once", request)
        executed = [one for one in attempts if one.answer != "BUSY"]
        if len(executed) < 2 or request.effect == "safe":
            return
        span_s = executed[-1].whole_s - executed[0].whole_s
        if request.effect == "unsafe" or span_s > self._shape.window_ms / 1000 + SLACK_S:
            yield self._breach("duplicate", executed[-1].whole_s, f"run again after {span_s:.3f} s", request)

    def _wanted(self, attempts: list[AttemptRecord]) -> Iterator[Violation]:
        """Nothing is forwarded for a client that has left."""
        request = self._requests.get(attempts[0].request_id)
        if request is None:
            return
        for one in attempts:
            if one.first_byte_s > request.left_s + LEFT_S + IN_FLIGHT_S:
                yield self._breach("forwarded", one.first_byte_s, "its client had left", request)

    def _drained(self) -> Iterator[Violation]:
        """Nothing new goes to a server that drains, once its grace is over."""
        told: dict[tuple[int, str], list[tuple[float, str]]] = defaultdict(list)
        for one in self._record.listed:
            told[one.balancer, one.server].append((one.at_s, one.status))
        grace_s = self._shape.drain_grace_ms / 1000 + SLACK_S
        for attempt in self._record.attempts:
            request = self._requests.get(attempt.request_id)
            if request is None or attempt.standing:
                continue
            since_s = NEVER
            for at_s, status in told[request.balancer, attempt.server]:
                if at_s <= attempt.first_byte_s:
                    since_s = NEVER if status == SERVING else min(since_s, at_s)
            if attempt.first_byte_s > since_s + grace_s:
                late_s = attempt.first_byte_s - since_s
                text = f"sent to {attempt.server} {late_s:.3f} s after it was told to drain"
                yield self._breach("drain", attempt.first_byte_s, text, request)

    def _half_requests(self) -> Iterator[Violation]:
        for half in self._record.half_requests:
            if half.ended_s > half.sent_s + HALF_REQUEST_S + LATE_S:
                took_s = half.ended_s - half.sent_s
                yield Violation(
                    "bad client", half.sent_s, f"half a request was left open for {took_s:.3f} s", "", half.balancer
                )
