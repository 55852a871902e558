"""The operator's file: what balancers do together. Read only where a configuration names it."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, Literal

from msgspec import Meta, Struct

from .. import toml_file
from ..toml_file import fault

CONSUL_LEAST_MS = 10_000  # of the service: a session's TTL is never shorter unless its own settings allow it


class Part(Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    pass


class Where(Part):
    """`sqlite`: balancers of one machine, `path`. `consul`: `addresses`, `prefix`, and a file with a token."""

    kind: Literal["sqlite", "consul"]
    path: str = ""
    addresses: tuple[Annotated[str, Meta(pattern=r"^[^\s:/]+:[0-9]{1,5}$")], ...] = ()
    prefix: Annotated[str, Meta(pattern=r"^[A-Za-z0-9_./-]{1,100}$")] = "glenrock"
    token_file: str = ""
    lock_delay_ms: Annotated[float, Meta(ge=0, le=60_000)] = 0.0
    shortest_ms: Annotated[float, Meta(gt=0)] = CONSUL_LEAST_MS  # TTL that the service takes


class Lease(Part):
    """A term's length, and the drift between any two clocks of the fleet that is allowed for."""

    lease_ms: Annotated[float, Meta(ge=100, le=3_600_000)] = 10_000.0
    drift: Annotated[float, Meta(ge=0, le=0.2)] = 0.01
    ask_ms: Annotated[float, Meta(ge=20)] = 2000.0


class Jobs(Part):
    """`turnstile`: at most so many balancers drained by hand at a time, 0: not counted."""

    bans: bool = True
    turnstile: Annotated[int, Meta(ge=0, le=100)] = 0
    probe_shards: bool = False


class Start(Part):
    """`keep`: the list and what was learned of clients are kept in `folder` for the next start. A list older than
    `list_ms` is not used; what was learned counts half after `half_ms`. `spaced`: a balancer whose lives end within
    `sound_ms` again and again comes back ever later, `most_wait_ms` at the longest."""

    keep: bool = False
    list_ms: Annotated[float, Meta(gt=0, le=604_800_000)] = 3_600_000.0
    half_ms: Annotated[float, Meta(gt=0, le=604_800_000)] = 600_000.0
    spaced: bool = False
    sound_ms: Annotated[float, Meta(gt=0, le=3_600_000)] = 10_000.0
    most_wait_ms: Annotated[float, Meta(gt=0, le=3_600_000)] = 20_000.0


class FleetFile(Part):
    folder: str  # what a balancer must know after its own restart stands there
    store: Where
    lease: Lease = Lease()
    jobs: Jobs = Jobs()
    start: Start = Start()


def load(path: Path) -> FleetFile:
    """Raises BadFile with file, line and key."""
    raw, text = toml_file.read(path)
    found = toml_file.convert(path, text, raw, FleetFile)

    def need(ok: bool, key: str, what: str) -> None:
        if not ok:
            raise fault(path, text, key, what)

    s, lease = found.store, found.lease
    need(bool(found.folder), "folder", "a folder is needed")
    need(s.kind != "sqlite" or bool(s.path), "store.path", "a file is needed where kind is sqlite")
    need(s.kind != "consul" or bool(s.addresses), "store.addresses", "at least one is needed where kind is consul")
    need(s.kind != "consul" or lease.lease_ms >= s.shortest_ms, "lease.lease_ms",
         f"the service takes no TTL under {s.shortest_ms:g} ms (store.shortest_ms)")
    need(lease.ask_ms * 2 <= lease.lease_ms, "lease.ask_ms", "at most half of lease_ms, or no renewal could be lost")
    return found
