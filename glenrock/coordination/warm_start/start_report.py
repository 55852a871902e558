"""The report of a start of several balancers, side by side, from their operators' views. Pure."""

from __future__ import annotations

from typing import Any, NamedTuple

COUNT_COLUMNS = ("attempts", "up", "refused", "failed")
HEADER = ("balancer", "began", "waited", "list", "ready", "heard", "served", "calls", *COUNT_COLUMNS)
CALL_OUTCOMES = ("answered", "refused", "failed")
MAX_NAMED = 5  # balancers that have not reached a milestone
SECOND_MS = 1000


class Milestone(NamedTuple):
    """A milestone's key in the views, and the text for when all balancers have reached it."""

    key: str
    meaning: str


MILESTONES = (
    Milestone("ready", "all doors are open"),
    Milestone("heard", "all have heard the list"),
    Milestone("served", "all have served"),
)


class _Start(NamedTuple):
    """The start of one balancer: when its process started, its name, and its view."""

    started_ms: float
    name: str
    view: dict[str, Any]


def _seconds_after(at_ms: float, since_ms: float) -> str:
    """Returns the time between, in seconds; `-` if the milestone is not reached."""
    return f"{(at_ms - since_ms) / SECOND_MS:.2f} s" if at_ms else "-"


def _calls_cell(view: dict[str, Any]) -> str:
    """Returns the number of calls that were answered, and of those that were not."""
    calls = view["calls"]
    lost = calls.get("refused", 0) + calls.get("failed", 0)
    return f"{calls.get('answered', 0)}" + (f" and {lost} not" if lost else "")


def format_report(views: list[dict[str, Any]]) -> list[str]:
    """Returns the lines of the report: a row for each balancer, then a summary of all.

    Times count from the start of the balancer's own process; those in column `began` from the first process's.

    Raises:
        KeyError: a view lacks a key.
        TypeError: a view's value has the wrong type.
    """
    starts = [_Start(view["start"]["begun_ms"], view["name"], view["start"]) for view in views]
    starts.sort(key=lambda start: start[:2])
    first_ms = starts[0].started_ms
    lines = _table([HEADER, *(_row(start, first_ms) for start in starts)])
    lines += [_milestone_line(starts, milestone, first_ms) for milestone in MILESTONES]
    lines.append(_calls_line(starts))
    return lines


def _row(start: _Start, first_ms: float) -> tuple[str, ...]:
    view = start.view
    counts = view["first"]
    return (
        start.name,
        f"{(start.started_ms - first_ms) / SECOND_MS:.2f} s",
        _seconds_after(view["waited_ms"], 0),
        view["list"],
        *(_seconds_after(view[f"{milestone.key}_ms"], start.started_ms) for milestone in MILESTONES),
        _calls_cell(view),
        *(str(counts.get(column, 0)) for column in COUNT_COLUMNS),
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
    return f"{milestone.meaning}: {(last_ms - first_ms) / SECOND_MS:.2f} s after the first process began"


def _calls_line(starts: list[_Start]) -> str:
    totals = [sum(start.view["calls"].get(outcome, 0) for start in starts) for outcome in CALL_OUTCOMES]
    _, refused, failed = totals
    mean = sum(totals) / len(starts)
    return f"calls for the list: {mean:.1f} a balancer, {refused} refused, {failed} failed"
