"""What the judge asks of work that balancers do together. Pure; figures of it for the summary.

`terms`: no receiver takes an effect of a lower term than it has taken, nor one twice, over its restarts.
`tickets`: no more balancers are away by hand at once than there are tickets.
`banned`: no balancer sends anything new to an instance from 1 s after an operator was told that it is out.
`agreed`: at the end all say the same.
"""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from .history import History
from .history_invariants import MS, SLACK_MS, Figures, Verdict, party, register, tell

REACHED_MS = 1000  # a ban told once reaches every balancer that can be reached
LOOK_GAP_MS = 600  # looks of the front at one balancer come closer than this while it is away


def terms(h: History, figures: Figures, v: Verdict) -> None:
    last: dict[tuple[str, str], tuple[int, int]] = {}
    lives: dict[str, int] = defaultdict(int)
    judged = []
    for e in h.events:
        lives[e.who] += e.what == "started"
        if e.what == "effect":
            # Answers to different owners go different ways; the receiver says in which order it judged.
            judged.append((lives[e.who], e.data["order"], e))
    for _, _, e in sorted(judged, key=lambda x: x[:2]):
        if not e.data["ok"]:
            v.seen["late"] += e.data["term"] < e.data["seen"]
            continue
        v.case("terms")
        key, mark = (e.who, e.data["job"]), (e.data["term"], e.data["number"])
        if mark <= last.get(key, (0, 0)):
            tell(h, v, "terms", e, f"{e.who} took {mark} of {e.data['job']} after {last[key]}", "")
        last[key] = max(mark, last.get(key, (0, 0)))


def tickets(h: History, figures: Figures, v: Verdict) -> None:
    """Away by hand is what the front sees: from the first ERR to the last of one row of looks."""
    if not figures.tickets:
        return
    away: dict[int, list[tuple[int, int]]] = defaultdict(list)
    for e in h.each("away"):
        spells = away[e.data["balancer"]]
        if spells and e.at - spells[-1][1] < LOOK_GAP_MS * MS:
            spells[-1] = spells[-1][0], e.at
        else:
            spells.append((e.at, e.at))
    # Within one instant who comes is counted before who goes: a spell of one look has both.
    edges = sorted(
        ((at, step, n) for n, spells in away.items() for begin, end in spells for at, step in ((begin, 1), (end, -1))),
        key=lambda edge: (edge[0], -edge[1]),
    )
    v.seen["tickets"] += len(edges) // 2
    out: set[int] = set()
    for at, step, n in edges:
        (out.add if step > 0 else out.discard)(n)
        if len(out) > figures.tickets:
            e = next(x for x in h.events if x.at >= at)
            tell(h, v, "tickets", e, f"balancers {sorted(out)} are away at once, {figures.tickets} may be", "")


def banned(h: History, figures: Figures, v: Verdict) -> None:
    out: dict[str, int] = {}
    last: dict[str, bool] = {}  # what an operator said last of each
    for e in h.events:
        if e.what == "says":
            last[e.data["instance"]] = e.data["out"]
        if e.what == "heard" and e.data["out"] and e.data["status"] == 200:
            if last.get(e.data["instance"], True):
                out.setdefault(e.data["instance"], e.at)
        elif e.what == "heard" and e.data["out"]:
            v.excused["banned"] += 1  # not answered, or not numbered yet: told later, and `agreed` looks at the end
        elif e.what == "says" and not e.data["out"]:
            out.pop(e.data["instance"], None)
        elif e.what == "line" and e.who in out:
            v.case("banned")
            past = (e.at - out[e.who]) / MS
            if past > REACHED_MS + SLACK_MS:
                # Who could not be reached in that time is excused: paused, down, or cut from store and owner.
                near = h.disturbed(out[e.who], e.at, party(e.data["balancer"]), "store")
                tell(h, v, "banned", e, f"sent {past:.0f} ms after it was taken out", near, e.who)


def agreed(h: History, figures: Figures, v: Verdict) -> None:
    v.case("agreed")
    for text in figures.apart:
        tell(h, v, "agreed", h.events[-1], f"at the end {text}", "")


register({"terms": terms, "tickets": tickets, "banned": banned, "agreed": agreed})


def figures(h: History, lease_us: int) -> dict[str, Any]:
    """Terms, effects, and seconds without an owner of `bans` after what struck the one that there was."""
    began = [(e.at, e.data["holder"]) for e in h.each("term") if e.data["job"] == "bans"]
    gaps: dict[str, list[float]] = defaultdict(list)
    for spell in h.spells:
        if spell.kind not in ("kill", "pause", "stop") or (
            spell.kind == "pause" and spell.end - spell.begin < lease_us
        ):
            continue  # an owner that slept for less is the owner still
        before = [holder for at, holder in began if at <= spell.begin]
        owner = f"balancer:{before[-1].partition('/')[0][1:]}" if before else ""
        after = [at for at, _ in began if at > spell.begin]
        if after and (owner in spell.parties):
            gaps[spell.kind].append(round((after[0] - spell.begin) / 1e6, 3))
    effects = list(h.each("effect"))
    return {
        "terms": len(began),
        "taken": sum(e.data["ok"] for e in effects),
        "late": sum(not e.data["ok"] and e.data["term"] < e.data["seen"] for e in effects)
        + sum(1 for _ in h.each("mark refused")),
        "struck": sum(s.kind in ("kill", "pause", "way", "stop", "store_fault") for s in h.spells),
        "until_next_term_s": dict(gaps),
        "told": sum(1 for e in h.each("heard") if e.data["status"] == 200),
        "told_later": sum(1 for e in h.each("heard") if e.data["status"] == 202),
        "not_heard": sum(1 for e in h.each("heard") if e.data["status"] not in (200, 202)),
        "drained": sum(1 for e in h.each("drain") if e.data["status"] == 200),
        "drains_refused": sum(1 for e in h.each("drain") if e.data["status"] == 503),
    }
