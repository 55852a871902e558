"""Servers out of rotation by hand, the same at every balancer. Pure.

Each server has the word with the highest revision (term, number), given by the owner when it wrote the word into the
store. Words may come twice, late and in any order, by the store or by datagrams: the outcome is the same. What an
operator said here and the owner has not numbered yet holds here meanwhile, whatever older words say.

A wish is named by the life of the balancer that posts it and counted there, and the owner records up to which it has
numbered each life's. Danger: a wish that is posted again, since nobody knew that it had counted, would undo what was
said since; and whose word was followed by another before its poster saw it would stand at the poster for ever.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field

from ..roster import hashed

Revision = tuple[int, int]
NONE: Revision = (0, 0)
LONGEST_SERVER = 256  # characters
MOST = 4096  # words


@dataclass(frozen=True, slots=True)
class Word:
    out: bool
    revision: Revision

    def value(self) -> str:
        return json.dumps({"out": self.out})


def word_of(value: str, revision: Revision) -> Word | None:
    """None for anything that is no word."""
    try:
        raw = json.loads(value)
        out = raw["out"]
    except (ValueError, KeyError, TypeError):
        return None
    return Word(out, revision) if isinstance(out, bool) else None


@dataclass(slots=True)
class Wish:
    """An operator's word, not numbered yet."""

    server: str
    out: bool

    def value(self) -> str:
        return json.dumps({"server": self.server, "out": self.out})


def wish_of(value: str) -> Wish | None:
    try:
        raw = json.loads(value)
        server, out = raw["server"], raw["out"]
    except (ValueError, KeyError, TypeError):
        return None
    sound = isinstance(server, str) and 0 < len(server) <= LONGEST_SERVER and isinstance(out, bool)
    return Wish(server, out) if sound else None


def parted(id_: str) -> tuple[str, int]:
    """The life that a wish is of, and its number there; 0 for what is none of ours."""
    life, _, count = id_.rpartition("#")
    return life, int(count) if count.isdecimal() and len(count) < 19 else 0


def life_key(life: str) -> str:
    """The record that tells up to which wish a life has been answered; no server has such a name."""
    return f"\n{life}"


@dataclass(slots=True)
class Board:
    words: dict[str, Word] = field(default_factory=dict)
    wishes: dict[str, Wish] = field(default_factory=dict)  # of this balancer, by their ids
    lives: dict[str, int] = field(default_factory=dict)  # up to which wish each life has been answered
    digest: int = 0  # of all words: the same at two that have the same words
    last: Revision = NONE

    def take(self, server: str, word: Word) -> bool | None:
        """Whether the server is out now; None where that has not changed."""
        old = self.words.get(server)
        if old and old.revision >= word.revision or not old and len(self.words) >= MOST:
            return None
        before = self.out(server)
        if old:
            self.digest ^= hashed(server, *old.revision)
        self.digest ^= hashed(server, *word.revision)
        self.words[server] = word
        self.last = max(self.last, word.revision)
        after = self.out(server)
        return after if after != before else None

    def numbered(self, life: str, count: int) -> dict[str, bool]:
        """The owner has answered a life's wishes up to that one: the servers that change by it."""
        self.lives[life] = max(count, self.lives.get(life, 0))
        changes = {}
        for id_ in [i for i in self.wishes if parted(i)[0] == life and parted(i)[1] <= count]:
            server = self.wishes[id_].server
            before = self.out(server)
            del self.wishes[id_]
            if self.out(server) != before:
                changes[server] = not before
        return changes

    def wish(self, id_: str, server: str, out: bool) -> None:
        for old in [i for i, w in self.wishes.items() if w.server == server]:
            del self.wishes[old]  # what was said last counts
        self.wishes[id_] = Wish(server, out)

    def out(self, server: str) -> bool:
        for w in self.wishes.values():
            if w.server == server:
                return w.out
        word = self.words.get(server)
        return bool(word and word.out)

    def after(self, revision: Revision) -> list[tuple[str, Word]]:
        """Words that somebody lacks who has all up to that revision, oldest first."""
        return sorted(((s, w) for s, w in self.words.items() if w.revision > revision), key=lambda one: one[1].revision)


@dataclass(slots=True)
class Telling:
    """The owner's side: which peers lack which words. `due` spaces what is sent again."""

    # (peer, server): what, and when it is sent again
    out: dict[tuple[int, str], tuple[Revision, int]] = field(default_factory=dict)
    tries: dict[tuple[int, str], int] = field(default_factory=dict)

    AGAIN_US = 80_000  # after the first time, then twice as long each: words take up to 33 ms, and half may be lost
    LONGEST_US = 2_000_000
    AT_ONCE = 64
    MOST = 16_384  # outstanding; marks find what is passed over

    def add(self, peer: int, server: str, revision: Revision, now: int) -> None:
        if len(self.out) < self.MOST:
            self.out[peer, server] = revision, now
            self.tries[peer, server] = 0

    def got(self, peer: int, server: str, revision: Revision) -> None:
        if self.out.get((peer, server), (NONE, 0))[0] <= revision:
            self.out.pop((peer, server), None)
            self.tries.pop((peer, server), None)

    def due(self, now: int) -> list[tuple[int, str]]:
        found = [k for k, (_, at) in self.out.items() if at <= now][:self.AT_ONCE]
        for key in found:
            self.tries[key] += 1
            wait = min(self.LONGEST_US, self.AGAIN_US << min(10, self.tries[key] - 1))
            self.out[key] = self.out[key][0], now + wait
        return found

    def next(self) -> int | None:
        return min((at for _, at in self.out.values()), default=None)

    def clear(self) -> None:
        self.out.clear()
        self.tries.clear()
