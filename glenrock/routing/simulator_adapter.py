"""The simulator's adapter: answers batches of events on standard input with actions on standard output.

There is one `Balancer` per simulated balancer. After malformed input, the adapter writes one line to standard
error and exits with code 2.
"""

from __future__ import annotations

import sys
import traceback
from collections.abc import Iterable
from typing import NamedTuple, TextIO

from .balancer import Balancer
from .interface import Endpoint, EndpointList, EndpointListKind, Event, Settings
from .simulator_codec import (
    EVENT_DECODERS,
    MAX_QUOTED_CHARS,
    Fields,
    WireError,
    decode_endpoint,
    decode_list_kind,
    decode_start_settings,
    encode_action,
)

MAX_TRACEBACK_LINES = 6  # in the report of a balancer's error
EXIT_INVALID_INPUT = 2


class _PendingStart(NamedTuple):
    """A balancer that starts at the end of the current batch."""

    settings: Settings
    seed: int


class SimulatorAdapter:
    """The balancers by number, and the events of the batch that is being read."""

    def __init__(self) -> None:
        self._balancers: dict[int, Balancer] = {}
        self._endpoint_lists: dict[int, tuple[Endpoint, ...]] = {}
        self._current_list = 0
        self._endpoints: list[Endpoint] = []
        self._missing_rows = 0
        self._now_us: int | None = None
        self._events: dict[int, list[Event]] = {}  # of the current batch, by balancer
        self._starts: dict[int, _PendingStart] = {}

    @property
    def is_inside_batch(self) -> bool:
        """Whether a batch has begun and is not complete."""
        return self._now_us is not None or self._missing_rows > 0

    def handle_line(self, line: str) -> list[str] | None:
        """Handles a line.

        Returns:
            The lines of the reply at the end of a batch, else None.

        Raises:
            WireError: the line is malformed, or not allowed at this place.
        """
        word, _, rest = line.partition(" ")
        if self._missing_rows:
            self._add_endpoint(word, rest)
        elif word == "begin_batch":
            self._begin_batch(rest)
        elif self._now_us is None:
            raise WireError(f"{word[:MAX_QUOTED_CHARS]!r} outside a batch")
        elif word == "go":
            return self._close_batch(self._now_us)
        elif word in EVENT_DECODERS:
            fields = Fields(rest)
            self._add_event(fields.number("balancer"), EVENT_DECODERS[word](fields))
        elif word == "topology":
            self._add_endpoint_list(Fields(rest))
        elif word == "list":
            self._begin_endpoint_list(Fields(rest))
        elif word == "start":
            self._start_balancer(Fields(rest))
        elif word == "stop":
            self._stop_balancer(Fields(rest).number("balancer"))
        return None

    def _begin_batch(self, rest: str) -> None:
        if self._now_us is not None:
            raise WireError("begin_batch inside a batch")
        self._now_us = Fields(rest).number("wallUs")
        self._events, self._starts = {}, {}

    def _begin_endpoint_list(self, fields: Fields) -> None:
        self._current_list = fields.number("bank")
        self._missing_rows = fields.number("membersList")
        self._endpoints = []
        if self._missing_rows < 0:
            raise WireError("membersList is negative")
        if not self._missing_rows:
            self._endpoint_lists[self._current_list] = ()

    def _add_endpoint(self, word: str, rest: str) -> None:
        if word != "item":
            raise WireError(
                f"{self._missing_rows} more item lines were expected, got {word[:MAX_QUOTED_CHARS]!r}"
            )
        self._endpoints.append(decode_endpoint(Fields(rest)))
        self._missing_rows -= 1
        if not self._missing_rows:
            self._endpoint_lists[self._current_list] = tuple(self._endpoints)

    def _add_endpoint_list(self, fields: Fields) -> None:
        kind = decode_list_kind(fields)
        endpoints: tuple[Endpoint, ...] = ()
        if kind != EndpointListKind.FAILED:
            number = fields.number("bank")
            if number not in self._endpoint_lists:
                raise WireError(f"topology refers to list {number}, which was not sent")
            endpoints = self._endpoint_lists[number]
        self._add_event(fields.number("balancer"), EndpointList(kind, endpoints))

    def _start_balancer(self, fields: Fields) -> None:
        number = fields.number("balancer")
        self._stop_balancer(number)
        self._starts[number] = _PendingStart(decode_start_settings(fields), fields.number("seed"))
        self._events[number] = []

    def _stop_balancer(self, number: int) -> None:
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
        """Returns the reply lines of one balancer.

        If the balancer raises an error, the reply is a line with the error, and the simulator ends its run.
        """
        try:
            if start := self._starts.get(number):
                self._balancers[number] = Balancer(start.settings, start.seed)
            actions = self._balancers[number].handle(now_us, self._events[number])
            return [encode_action(number, action) for action in actions]
        except Exception:  # noqa: BLE001 - any error is reported to the simulator
            text = " | ".join(traceback.format_exc().splitlines()[-MAX_TRACEBACK_LINES:])
            return [f"give_in balancer={number} message={text}"]


def run(lines: Iterable[str], output: TextIO, error_output: TextIO) -> int:
    """Replies to each batch until the input ends. Returns the exit code."""
    adapter = SimulatorAdapter()
    for line_number, line in enumerate(lines, 1):
        text = line.rstrip("\n")
        if not text:
            continue
        try:
            reply = adapter.handle_line(text)
        except WireError as error:
            print(f"glenrock: line {line_number}: {error}", file=error_output)
            return EXIT_INVALID_INPUT
        if reply is not None:
            output.write("\n".join(reply) + "\n")
            output.flush()
    if adapter.is_inside_batch:
        print("glenrock: input ended inside a batch", file=error_output)
        return EXIT_INVALID_INPUT
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
        return EXIT_INVALID_INPUT
    except BrokenPipeError:
        return 0


if __name__ == "__main__":
    sys.exit(main())
