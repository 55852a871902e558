"""The report that compares the starts of several balancers, made from their operators' views. Pure.

`status_view` writes the views. `_decode_start` is the only function that reads their keys.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, NamedTuple

CONNECTION_COLUMNS = ("attempts", "up", "refused", "failed")
HEADER = ("balancer", "began", "waited", "list", "ready", "heard", "served", "calls", *CONNECTION_COLUMNS)
CALL_OUTCOMES = ("answered", "refused", "failed")
MAX_NAMED_BALANCERS = 5  # listed by name if they have not reached a milestone
SECOND_MS = 1000


class Milestone(NamedTuple):
    """A milestone's key in the views, and the text that says that all balancers have reached it."""

    key: str
    description: str


MILESTONES = (
    Milestone("ready_ms", "all accept clients"),
    Milestone("heard_ms", "all have the list from discovery"),
    Milestone("served_ms", "all have served"),
)


@dataclass(frozen=True, slots=True)
class _Start:
    """The start of one balancer. Times are Unix milliseconds.

    Attributes:
        started_ms: when the process started.
        name: the name of the balancer.
        delay_ms: the delay of the start by the start backoff, in milliseconds.
        list_source: the source of the endpoint list, as the view names it.
        reached_ms: by milestone, when it was reached; 0 if it was not.
        calls: by outcome, the number of calls for the endpoint list.
        connections: by column, the number of connections shortly after the start.
    """

    started_ms: float
    name: str
    delay_ms: float
    list_source: str
    reached_ms: dict[Milestone, float]
    calls: dict[str, int]
    connections: dict[str, int]


def _decode_start(view: dict[str, Any]) -> _Start:
    """Decodes an operators' view. Raises KeyError or TypeError."""
    start = view["start"]
    return _Start(
        started_ms=start["begun_ms"],
        name=view["name"],
        delay_ms=start["waited_ms"],
        list_source=start["list"],
        reached_ms={milestone: start[milestone.key] for milestone in MILESTONES},
        calls={outcome: start["calls"].get(outcome, 0) for outcome in CALL_OUTCOMES},
        connections={column: start["first"].get(column, 0) for column in CONNECTION_COLUMNS},
    )


def _seconds_after(at_ms: float, since_ms: float) -> str:
    """Formats the time from `since_ms` to `at_ms` in seconds; `-` if `at_ms` is 0, for a milestone not reached."""
    return f"{(at_ms - since_ms) / SECOND_MS:.2f} s" if at_ms else "-"


def _calls_cell(start: _Start) -> str:
    """Formats the number of calls that were answered, and the number of those that were not, if there are any."""
    answered, *others = start.calls.values()
    unanswered = sum(others)
    return f"{answered}" + (f" and {unanswered} not" if unanswered else "")


def format_report(views: list[dict[str, Any]]) -> list[str]:
    """Returns the lines of the report: a row for each balancer, then a summary of all.

    Times are counted from the start of the balancer's own process, those in column `began` from the start of the first
    process.

    Raises:
        KeyError: a key is missing in a view.
        TypeError: a view's value has the wrong type.
    """
    starts = sorted((_decode_start(view) for view in views), key=lambda start: (start.started_ms, start.name))
    first_ms = starts[0].started_ms
    lines = _table([HEADER, *(_row(start, first_ms) for start in starts)])
    lines += [_milestone_line(starts, milestone, first_ms) for milestone in MILESTONES]
    lines.append(_calls_line(starts))
    return lines


def _row(start: _Start, first_ms: float) -> tuple[str, ...]:
    return (
        start.name,
        f"{(start.started_ms - first_ms) / SECOND_MS:.2f} s",
        _seconds_after(start.delay_ms, 0),
        start.list_source,
        *(_seconds_after(start.reached_ms[milestone], start.started_ms) for milestone in MILESTONES),
        _calls_cell(start),
        *(str(start.connections[column]) for column in CONNECTION_COLUMNS),
    )


def _table(rows: list[tuple[str, ...]]) -> list[str]:
    widths = [max(len(cell) for cell in column) for column in zip(*rows, strict=True)]
    return ["  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip() for row in rows]


def _milestone_line(starts: list[_Start], milestone: Milestone, first_ms: float) -> str:
    missing = [start.name for start in starts if not start.reached_ms[milestone]]
    if missing:
        more = " and more" if len(missing) > MAX_NAMED_BALANCERS else ""
        return f"{milestone.description}: not yet: {', '.join(missing[:MAX_NAMED_BALANCERS])}{more}"
    last_ms = max(start.reached_ms[milestone] for start in starts)
    return f"{milestone.description}: {(last_ms - first_ms) / SECOND_MS:.2f} s after the first process began"


def _calls_line(starts: list[_Start]) -> str:
    totals = [sum(start.calls[outcome] for start in starts) for outcome in CALL_OUTCOMES]
    _, refused, failed = totals
    mean = sum(totals) / len(starts)
    return f"calls for the list: {mean:.1f} a balancer, {refused} refused, {failed} failed"
