"""The judge: the rules, from the history of a run alone. Pure.

It sees what crossed the sockets of clients, instances and the list service, never what a balancer says of itself. What
a fault of the stage itself took away (a killed process, a cut way) is excused and counted, not passed over. Later parts
add checks of their own: a function from a history to breaches, in `CHECKS`.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from .history import Event, History

MS = 1000  # microseconds
LATE_MS = 500  # an answer past its time is late; this much later, or never, it is lost (a busy machine's slack)
SLACK_MS = 50  # of each time limit on sockets
IN_FLIGHT_MS = 100  # a close that its sender has done may arrive so much after what it sent next


@dataclass(frozen=True, slots=True)
class Figures:
    """Of the scene, as the balancers are told."""

    drain_grace_ms: float
    answer_grace_ms: float = 0.0
    tickets: int = 0  # balancers drained by hand at a time; 0: not counted
    until: int = 1 << 62  # the run's end
    apart: tuple[str, ...] = ()  # at the end, who says another thing than the rest of what is done together


@dataclass(frozen=True, slots=True)
class Violation:
    rule: str
    at: int
    text: str
    id: str = ""
    balancer: int = -1
    instance: str = ""
    led: tuple[str, ...] = ()


@dataclass(slots=True)
class Verdict:
    breaches: list[Violation] = field(default_factory=list)
    excused: dict[str, int] = field(default_factory=lambda: defaultdict(int))  # rule: what a fault accounts for
    seen: dict[str, int] = field(default_factory=lambda: defaultdict(int))  # rule: cases that were looked at

    def case(self, rule: str) -> None:
        self.seen[rule] += 1


Check = Callable[[History, Figures, Verdict], None]


def party(number: int) -> str:
    return f"balancer:{number}"


def tell(h: History, v: Verdict, rule: str, e: Event, text: str, disturbed: str, instance: str = "") -> None:
    if disturbed:
        v.excused[rule] += 1
        return
    led = tuple(x.line(h.day) for x in h.of(e.id)[-12:]) if e.id else ()
    v.breaches.append(Violation(rule, e.at, text, e.id, int(e.data.get("balancer", -1)), instance, led))


def answered(h: History, figures: Figures, v: Verdict) -> None:
    """Each request that a balancer has taken gets exactly one final answer, in time."""
    ends: dict[str, list[Event]] = defaultdict(list)
    for e in h.events:
        if e.who == "clients" and e.what in ("answered", "closed", "silent", "left"):
            ends[e.id].append(e)
    for e in h.each("sent"):
        limit = e.at + round((e.data["d_ms"] + figures.answer_grace_ms + LATE_MS) * MS)
        if limit > figures.until:
            continue  # the run ended before its time did
        v.case("answered")
        what = ends.get(e.id, [])
        if any(x.what == "left" for x in what):
            continue
        near = h.disturbed(e.at, limit, "clients", party(e.data["balancer"]))
        answers = [x for x in what if x.what == "answered"]
        if len(answers) > 1:
            tell(h, v, "answered", e, f"{len(answers)} final answers", "")
        elif not answers:
            how = what[0].what if what else "silent"
            tell(h, v, "answered", e, f"no answer: {how}", near)
        elif answers[0].at > limit:
            tell(h, v, "answered", e, f"answered {(answers[0].at - e.at) / MS:.0f} ms after it was sent", near)


def repeated(h: History, figures: Figures, v: Verdict) -> None:
    """A request never has two attempts out at once."""
    tries: dict[str, list[list[Event | None]]] = defaultdict(list)
    for e in h.events:
        if e.what == "line":
            tries[e.id].append([e, None])
        elif e.what == "over":
            for one in tries[e.id]:
                if one[0] is not None and one[0].who == e.who and one[1] is None:
                    one[1] = e
                    break
    for several in tries.values():
        v.case("repeated")
        for one, other in zip(several, several[1:], strict=False):
            begin, over, second = one[0], one[1], other[0]
            assert begin is not None and second is not None
            if over is None or over.at > second.at + IN_FLIGHT_MS * MS:
                until = over.at if over else second.at
                near = h.disturbed(begin.at, until, party(begin.data["balancer"]), begin.who)
                tell(h, v, "repeated", second, f"an attempt at {begin.who} was still out", near, second.who)


def drained(h: History, figures: Figures, v: Verdict) -> None:
    """Nothing new goes to an instance after the grace, counted from when the list told this balancer."""
    told: dict[tuple[int, str], tuple[int, str]] = {}
    for e in h.events:
        if e.what == "told":
            told[e.data["balancer"], e.data["instance"]] = (e.at, e.data["status"])
        elif e.what == "line":
            at, status = told.get((e.data["balancer"], e.who), (0, "SERVING"))
            if status == "SERVING":
                continue
            v.case("drained")
            past = (e.at - at) / MS
            if past > figures.drain_grace_ms + SLACK_MS:
                near = h.disturbed(at, e.at, party(e.data["balancer"]), "list")
                tell(h, v, "drained", e, f"sent {past:.0f} ms after {status} was told", near, e.who)


def cold(h: History, figures: Figures, v: Verdict) -> None:
    """No instance that just started is pushed over."""
    for e in h.each("started"):
        if e.who.startswith("instance:"):
            v.case("cold")
    for e in h.each("fell"):
        tell(h, v, "cold", e, "pushed over while cold", "", e.who)


def cut_off(h: History, figures: Figures, v: Verdict) -> None:
    """No connection that its instance still serves ends without MOVE."""
    own: dict[str, Event] = {}
    up: dict[str, Event] = {}
    for e in h.events:
        if e.what == "over" and e.data.get("by") == "self":
            own[e.id] = e
        elif e.what == "answered" and e.data["answer"] == "UP":
            up[e.id] = e
        elif e.what == "ended":
            v.case("cut_off")
            if e.data["how"] in ("moved", "own") or e.id in own:
                continue
            begin = up.get(e.id, e)
            where = begin.data.get("instance", "")
            near = h.disturbed(begin.at, e.at, "clients", party(e.data["balancer"]), where)
            tell(h, v, "cut_off", e, f"ended by {e.data['how']} without MOVE", near, where)


CHECKS: dict[str, Check] = {
    "answered": answered,
    "repeated": repeated,
    "drained": drained,
    "cold": cold,
    "cut_off": cut_off,
}


def register(checks: dict[str, Check]) -> None:
    CHECKS.update(checks)


def judge(h: History, figures: Figures) -> Verdict:
    v = Verdict()
    for check in CHECKS.values():
        check(h, figures, v)
    v.breaches.sort(key=lambda b: b.at)
    return v
