"""The simulator's adapter: reads batches on standard input, and writes actions on standard output.

There is one Balancer for each simulated balancer. Exit code 2 and one line of error mean malformed input.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Iterable
from typing import NamedTuple, TextIO

from .balancer import Balancer
from .interface import Endpoint, EndpointList, EndpointListKind, Event, Settings
from .simulator_codec import (
    EVENTS,
    MAX_QUOTED_CHARS,
    Fields,
    WireError,
    endpoint_from,
    line_of,
    list_kind_from,
    settings_from,
)

TRACEBACK_LINES = 6  # of an error, on the wire
EXIT_BAD_INPUT = 2


class _Start(NamedTuple):
    settings: Settings
    seed: int


class SimulatorAdapter:
    """The balancers by number, and the batch that is being read."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._lists: dict[int, tuple[Endpoint, ...]] = {}
        self._list_number = 0
        self._rows: list[Endpoint] = []
        self._rows_due = 0
        self._now_us: int | None = None
        self._events: dict[int, list[Event]] = {}  # of this batch, by balancer
        self._starts: dict[int, _Start] = {}

    @property
    def is_inside_batch(self) -> bool:
        """Whether the batch needs further lines."""
        return self._now_us is not None or self._rows_due > 0

    def feed(self, line: str) -> list[str] | None:
        """Handles a line. Returns the reply at the end of a batch, else None. Raises WireError."""
        word, _, rest = line.partition(" ")
        if self._rows_due:
            self._add_row(word, rest)
        elif word == "begin_batch":
            self._begin_batch(rest)
        elif self._now_us is None:
            raise WireError(f"{word[:MAX_QUOTED_CHARS]!r} outside a batch")
        elif word == "go":
            return self._close_batch(self._now_us)
        elif word in EVENTS:
            fields = Fields(rest)
            self._add_event(fields.number("balancer"), EVENTS[word](fields))
        elif word == "topology":
            self._add_list(Fields(rest))
        elif word == "list":
            self._begin_list(Fields(rest))
        elif word == "start":
            self._start(Fields(rest))
        elif word == "stop":
            self._forget(Fields(rest).number("balancer"))
        return None

    def _begin_batch(self, rest: str) -> None:
        if self._now_us is not None:
            raise WireError("begin_batch inside a batch")
        self._now_us = Fields(rest).number("wallUs")
        self._events, self._starts = {}, {}

    def _begin_list(self, fields: Fields) -> None:
        self._list_number = fields.number("bank")
        self._rows_due = fields.number("membersList")
        self._rows = []
        if self._rows_due < 0:
            raise WireError("membersList is negative")
        if not self._rows_due:
            self._lists[self._list_number] = ()

    def _add_row(self, word: str, rest: str) -> None:
        if word != "item":
            raise WireError(
                f"{self._rows_due} more item lines were announced, got {word[:MAX_QUOTED_CHARS]!r}"
            )
        self._rows.append(endpoint_from(Fields(rest)))
        self._rows_due -= 1
        if not self._rows_due:
            self._lists[self._list_number] = tuple(self._rows)

    def _add_list(self, fields: Fields) -> None:
        kind = list_kind_from(fields)
        endpoints: tuple[Endpoint, ...] = ()
        if kind != EndpointListKind.FAILED:
            number = fields.number("bank")
            if number not in self._lists:
                raise WireError(f"topology names list {number}, which never came")
            endpoints = self._lists[number]
        self._add_event(fields.number("balancer"), EndpointList(kind, endpoints))

    def _start(self, fields: Fields) -> None:
        number = fields.number("balancer")
        self._forget(number)
        self._starts[number] = _Start(settings_from(fields), fields.number("seed"))
        self._events[number] = []

    def _forget(self, number: int) -> None:
        self._balancers.pop(number, None)
        self._starts.pop(number, None)
        self._events.pop(number, None)

    def _add_event(self, number: int, event: Event) -> None:
        # A balancer that was not started has no state, so events for it are dropped.
        if number in self._balancers or number in self._starts:
            self._events.setdefault(number, []).append(event)

    def _close_batch(self, now_us: int) -> list[str]:
        self._now_us = None
        reply: list[str] = []
        for number in self._events:
            reply += self._handle(number, now_us)
        reply.append("ready")
        return reply

    def _handle(self, number: int, now_us: int) -> list[str]:
        """Returns the reply lines of one balancer. An error is reported on the wire, which ends the run."""
        try:
            if start := self._starts.get(number):
                self._balancers[number] = Balancer(start.settings, start.seed)
            actions = self._balancers[number].handle(now_us, self._events[number])
            return [line_of(number, action) for action in actions]
        except Exception:  # noqa: BLE001 - the edge of the adapter
            text = " | ".join(traceback.format_exc().splitlines()[-TRACEBACK_LINES:])
            return [f"give_in balancer={number} message={text}"]


def run(source: Iterable[str], sink: TextIO, errors: TextIO) -> int:
    """Replies to each batch until the source ends. Returns the exit code."""
    adapter = SimulatorAdapter()
    for count, line in enumerate(source, 1):
        text = line.rstrip("\n")
        if not text:
            continue
        try:
            reply = adapter.feed(text)
        except WireError as error:
            print(f"glenrock: line {count}: {error}", file=errors)
            return EXIT_BAD_INPUT
        if reply is not None:
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    if adapter.is_inside_batch:
        print("glenrock: input ended inside a batch", file=errors)
        return EXIT_BAD_INPUT
    return 0


def main() -> int:
    """Runs the adapter on standard input and output. Returns the exit code."""
    reconfigure = getattr(sys.stdin, "reconfigure", None)
    if reconfigure:
        reconfigure(encoding="utf-8", errors="strict", newline="\n")
    try:
        return run(sys.stdin, sys.stdout, sys.stderr)
    except UnicodeDecodeError as error:
        print(f"glenrock: input is not UTF-8: {error.reason}", file=sys.stderr)
        return EXIT_BAD_INPUT
    except BrokenPipeError:
        return 0


if __name__ == "__main__":
    sys.exit(main())
