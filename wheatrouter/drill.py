"""Wire adapter: reads batches from standard input, hands them to one Balancer per instance, and writes
their actions. It decides nothing."""

from __future__ import annotations

import json
import sys
import traceback
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from . import interface as i
from .rules import Balancer
from .settings import report_name, settings_of

VERDICTS = {"delivered": "served", "app_error": "error", "shed": "full", "expired": "timeout",
            "dial_failed": "no_connection", "dropped": "broken", "revoked": "cancelled", "unused": "unsent"}
STATES = {"Ready": "ready", "Terminating": "draining", "Gone": "gone"}
KINDS = {"Partial": "changes", "Complete": "full", "Persisted": "remembered", "Error": "failed"}
TEXT_FIELDS = {"profileData", "message"}
Fields = dict[str, str]


class BadInput(Exception):
    """The input breaks the wire's form."""


def fields_of(text: str) -> Fields:
    for name in TEXT_FIELDS:  # a text runs to the end of the line
        at = text.find(name + "=")
        if at == 0 or at > 0 and text[at - 1] == " ":
            out = fields_of(text[:at - 1]) if at > 0 else {}
            out[name] = text[at + len(name) + 1:]
            return out
    try:
        return dict([part.split("=", 1) for part in text.split(" ")]) if text else {}
    except ValueError:
        raise BadInput(f"expected name=value, got {text[:40]!r}") from None


def need(f: Fields, name: str) -> str:
    try:
        return f[name]
    except KeyError:
        raise BadInput(f"missing field {name}") from None


def number(f: Fields, name: str, default: int | None = None) -> int:
    text = f.get(name)
    if text is None:
        if default is None:
            raise BadInput(f"missing field {name}")
        return default
    digits = text[1:] if text[:1] == "-" else text
    if not (digits.isdigit() and digits.isascii()) or len(digits) > 20:
        raise BadInput(f"{name} is not a whole number: {text[:40]!r}")
    return int(text)


def real(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        raise BadInput(f"{name} is not a number: {text[:40]!r}") from None
    if value != value or abs(value) == float("inf"):
        raise BadInput(f"{name} is not finite: {text[:40]!r}")
    return value


def flag(f: Fields, name: str) -> bool:
    text = f.get(name, "0")
    if text not in ("0", "1"):
        raise BadInput(f"{name} is neither 0 nor 1: {text[:40]!r}")
    return text == "1"


def report_of(f: Fields) -> dict[str, float]:
    text = f.get("gauge", "")
    out: dict[str, float] = {}
    if text and text != "-":
        for part in text.split(","):
            name, colon, value = part.partition(":")
            if not colon:
                raise BadInput(f"gauge is not name:value pairs: {text[:40]!r}")
            out[report_name(name)] = real(value, "gauge")
    return out


def settings_from(text: str) -> i.Settings:
    try:
        return settings_of(json.loads(text))
    except ValueError as bad:  # JSONDecodeError is one
        raise BadInput(f"profileData: {bad}") from None


def request_of(f: Fields) -> i.Request:
    return i.Request(
        need(f, "msgId"), need(f, "service"), number(f, "deadlineUs"),
        number(f, "item") if "item" in f else None, number(f, "channel") if "channel" in f else None,
        f.get("project", ""), number(f, "sizeHintUs", 0), flag(f, "reconnect"), flag(f, "midflow"))


def verdict_of(f: Fields) -> str:
    word = need(f, "verdict")
    # An outcome word of a later wire: treated as an error that may have run, the careful reading.
    return VERDICTS.get(word, "error")


def note_of(f: Fields) -> i.ServerNote:
    amount, sort = real(need(f, "amount"), "amount"), number(f, "sort")
    return i.ServerNote(need(f, "msgId"), need(f, "server"), amount if sort == 1 else None,
                        amount * 1000 if sort == 2 else None)


def peer_of(f: Fields) -> i.PeerMessage:
    raw = need(f, "raw")
    try:
        return i.PeerMessage(number(f, "src"), b"" if raw == "-" else bytes.fromhex(raw))
    except ValueError:
        raise BadInput(f"raw is not hex: {raw[:40]!r}") from None


EVENTS: dict[str, Callable[[Fields], i.Event]] = {
    "call": request_of,
    "inherited": lambda f: i.OpenConnection(request_of({"deadlineUs": "0", **f}), need(f, "server")),
    "streaming": lambda f: i.Started(need(f, "msgId"), number(f, "shot"), need(f, "server"),
                                     number(f, "latencyUs", 0)),
    "note": note_of,
    "outcome": lambda f: i.AttemptEnded(need(f, "msgId"), number(f, "shot"), need(f, "server"),
                                        verdict_of(f), flag(f, "doneFlag"), number(f, "latencyUs", 0),
                                        report_of(f)),
    "aborted": lambda f: i.ClientGone(need(f, "msgId")),
    "reminder": lambda f: i.TimerFired(number(f, "ref")),
    "health_result": lambda f: i.ProbeResult(need(f, "server"), verdict_of(f), number(f, "latencyUs", 0),
                                             report_of(f)),
    "message": peer_of,
}


def entry_of(f: Fields) -> i.ServerEntry:
    state = f.get("availability", "Ready")
    return i.ServerEntry(need(f, "server"), STATES.get(state, "draining"), f.get("area", ""),
                         number(f, "unitGroup", 0), real(f.get("units", "1"), "units"),
                         number(f, "lastStartUs", 0))


def line_of(who: int, a: i.Action) -> str:
    if isinstance(a, i.Send):
        return f"issue balancer={who} msgId={a.id} server={a.server} limitUs={a.timeout_us}"
    if isinstance(a, i.SetTimer):
        return f"timer balancer={who} timeUs={a.at_us} ref={a.ref}"
    if isinstance(a, i.Probe):
        return f"inspect balancer={who} server={a.server}"
    if isinstance(a, i.Refuse):
        return f"refuse balancer={who} msgId={a.id} stayAwayUs={a.retry_after_us}"
    if isinstance(a, i.Fail):
        return f"error balancer={who} msgId={a.id}"
    if isinstance(a, i.Cancel):
        return f"revoke balancer={who} msgId={a.id} shot={a.attempt}"
    if isinstance(a, i.Move):
        return f"go_away balancer={who} msgId={a.id}"
    if isinstance(a, i.Tell):
        return f"notify balancer={who} target=-1 raw={a.data.hex() or '-'}"
    if isinstance(a, i.Watch):
        return f"listen balancer={who} on=1"
    raise TypeError(f"unknown action {a!r}")


class Drill:
    """State of the pipe: one Balancer per instance, events held until the batch is complete."""

    def __init__(self) -> None:
        self.balancers: dict[int, Balancer] = {}
        self.lists: dict[int, tuple[i.ServerEntry, ...]] = {}
        self.items_due = 0
        self.items: list[i.ServerEntry] = []
        self.bank = 0
        self.now: int | None = None
        self.order: list[int] = []
        self.events: dict[int, list[i.Event]] = {}
        self.born: dict[int, tuple[i.Settings, int]] = {}

    def feed(self, line: str) -> list[str] | None:
        """Takes one line; returns the reply lines when it closes a batch."""
        word, _, rest = line.partition(" ")
        if self.items_due:
            if word != "item":
                raise BadInput(f"{self.items_due} more item lines were announced, got {word[:40]!r}")
            self.items.append(entry_of(fields_of(rest)))
            self.items_due -= 1
            if not self.items_due:
                self.lists[self.bank] = tuple(self.items)
            return None
        if word == "begin_batch":
            if self.now is not None:
                raise BadInput("begin_batch inside a batch")
            self.now = number(fields_of(rest), "wallUs")
            self.order, self.events, self.born = [], {}, {}
            return None
        if self.now is None:
            raise BadInput(f"{word[:40]!r} outside a batch")
        if word == "go":
            return self.close_batch()
        if word in EVENTS:
            f = fields_of(rest)
            self.add(number(f, "balancer"), EVENTS[word](f))
        elif word == "topology":
            f = fields_of(rest)
            kind = KINDS.get(need(f, "kind"))
            if kind is None:
                raise BadInput(f"unknown topology kind {f['kind'][:40]!r}")
            entries: tuple[i.ServerEntry, ...] = ()
            if kind != "failed":
                bank = number(f, "bank")
                if bank not in self.lists:
                    raise BadInput(f"topology names list {bank}, which never came")
                entries = self.lists[bank]
            self.add(number(f, "balancer"), i.ServerList(kind, entries))
        elif word == "list":
            f = fields_of(rest)
            self.bank, self.items_due, self.items = number(f, "bank"), number(f, "membersList"), []
            if self.items_due < 0:
                raise BadInput("membersList is negative")
            if not self.items_due:
                self.lists[self.bank] = ()
        elif word == "start":
            f = fields_of(rest)
            who = number(f, "balancer")
            self.forget(who)
            self.born[who] = (settings_from(need(f, "profileData")), number(f, "seed"))
            self.events[who] = []
            self.order.append(who)
        elif word == "stop":
            self.forget(number(fields_of(rest), "balancer"))
        return None

    def forget(self, who: int) -> None:
        self.balancers.pop(who, None)
        self.born.pop(who, None)
        if self.events.pop(who, None) is not None:
            self.order.remove(who)

    def add(self, who: int, event: i.Event) -> None:
        if who not in self.balancers and who not in self.born:
            return  # an instance that has not been started here holds no state
        if who not in self.events:
            self.events[who] = []
            self.order.append(who)
        self.events[who].append(event)

    def close_batch(self) -> list[str]:
        now, self.now = self.now, None
        out: list[str] = []
        for who in self.order:
            try:
                if who in self.born:
                    self.balancers[who] = Balancer(*self.born[who])
                out += [line_of(who, a) for a in self.balancers[who].handle(now, self.events[who])]
            except Exception:  # reported on the wire, which stops the run and shows the text
                text = " | ".join(traceback.format_exc().splitlines()[-6:])
                out.append(f"give_in balancer={who} message={text}")
        out.append("ready")
        return out


def run(source: Iterable[str], sink: TextIO, errors: TextIO) -> int:
    drill = Drill()
    for count, line in enumerate(source, 1):
        line = line.rstrip("\n")
        if not line:
            continue
        try:
            reply = drill.feed(line)
        except BadInput as bad:
            print(f"wheatrouter: line {count}: {bad}", file=errors)
            return 2
        if reply is not None:
            sink.write("\n".join(reply) + "\n")
            sink.flush()
    if drill.now is not None or drill.items_due:
        print("wheatrouter: input ended inside a batch", file=errors)
        return 2
    return 0


def main() -> int:
    source: Any = sys.stdin
    source.reconfigure(encoding="utf-8", errors="strict", newline="\n")
    try:
        return run(source, sys.stdout, sys.stderr)
    except UnicodeDecodeError as bad:
        print(f"wheatrouter: input is not UTF-8: {bad.reason}", file=sys.stderr)
        return 2
    except BrokenPipeError:
        return 0


if __name__ == "__main__":
    sys.exit(main())
