"""What a start of several balancers came to, side by side. Pure: from the views that they give of themselves."""

from __future__ import annotations

from typing import Any, NamedTuple

DONE_COLUMNS = ("attempts", "up", "refused", "failed")
HEADER = ("balancer", "began", "waited", "list", "ready", "heard", "served", "calls", *DONE_COLUMNS)
CALL_OUTCOMES = ("answered", "refused", "failed")
MAX_NAMED = 5  # balancers of which something is missing


class Milestone(NamedTuple):
    """A key of the views, and what it means once all have reached it."""

    key: str
    meaning: str


MILESTONES = (
    Milestone("ready", "all doors are open"),
    Milestone("heard", "all have heard the list"),
    Milestone("served", "all have served"),
)


class _Start(NamedTuple):
    begun_ms: float
    name: str
    view: dict[str, Any]


def _seconds_after(at_ms: float, since_ms: float) -> str:
    """In seconds; `-` where it has not come."""
    return f"{(at_ms - since_ms) / 1000:.2f} s" if at_ms else "-"


def _calls_cell(view: dict[str, Any]) -> str:
    """Answered, and how many were not."""
    calls = view["calls"]
    lost = calls.get("refused", 0) + calls.get("failed", 0)
    return f"{calls.get('answered', 0)}" + (f" and {lost} not" if lost else "")


def format_report(views: list[dict[str, Any]]) -> list[str]:
    """Lines: a row a balancer, then what it came to for all.

    Times are since a balancer's own process began, but for `began`, which is since the first one did. KeyError or
    TypeError where a view is not one.
    """
    starts = [_Start(view["start"]["begun_ms"], view["name"], view["start"]) for view in views]
    starts.sort(key=lambda start: start[:2])
    first_ms = starts[0].begun_ms
    lines = _table([HEADER, *(_row(start, first_ms) for start in starts)])
    lines += [_milestone_line(starts, milestone, first_ms) for milestone in MILESTONES]
    lines.append(_calls_line(starts))
    return lines


def _row(start: _Start, first_ms: float) -> tuple[str, ...]:
    view = start.view
    done = view["first"]
    return (
        start.name,
        f"{(start.begun_ms - first_ms) / 1000:.2f} s",
        _seconds_after(view["waited_ms"], 0),
        view["list"],
        *(_seconds_after(view[f"{milestone.key}_ms"], start.begun_ms) for milestone in MILESTONES),
        _calls_cell(view),
        *(str(done.get(column, 0)) for column in DONE_COLUMNS),
    )


def _table(rows: list[tuple[str, ...]]) -> list[str]:
    widths = [max(len(row[n]) for row in rows) for n in range(len(HEADER))]
    return ["  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows]


def _milestone_line(starts: list[_Start], milestone: Milestone, first_ms: float) -> str:
    key = f"{milestone.key}_ms"
    missing = [start.name for start in starts if not start.view[key]]
    if missing:
        more = " and more" if len(missing) > MAX_NAMED else ""
        return f"{milestone.meaning}: not yet: {', '.join(missing[:MAX_NAMED])}{more}"
    last_ms = max(start.view[key] for start in starts)
    return f"{milestone.meaning}: {(last_ms - first_ms) / 1000:.2f} s after the first process began"


def _calls_line(starts: list[_Start]) -> str:
    totals = [sum(start.view["calls"].get(outcome, 0) for start in starts) for outcome in CALL_OUTCOMES]
    _, refused, failed = totals
    mean = sum(totals) / len(starts)
    return f"calls for the list: {mean:.1f} a balancer, {refused} refused, {failed} failed"
