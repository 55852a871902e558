"""The one place where configuration is read, checked and given defaults.

LB_CONFIG names a JSON file with everything; LB_NAME, LB_LISTEN, LB_DISCOVERY, LB_ADMIN and LB_FLEET win over it. The
file may be read again while the program runs: then a key that it has changed wins over the variable.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from glenrock.routing.interface import Settings
from glenrock.routing.settings_codec import settings_of

Address = tuple[str, int]

SOCKETS = 1024  # descriptors, where no limit is told


class ConfigError(Exception):
    """The message names the key at fault."""


@dataclass(frozen=True)
class Config:
    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: Settings
    measures_delay: bool  # slow messages seen on relays are told to the module
    known: dict[str, Any]
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    admin: Address | None = None  # where operators call; absent, nobody listens
    accept_fd: int | None = None  # the clients' listening socket, where the platform holds it
    fleet: str = ""  # the operator's file on what balancers do together; absent, nothing of it is loaded
    folder: str = ""  # $TMPDIR: what a successor must know stands there
    filed: Mapping[str, Any] = field(default_factory=dict)  # of VARIABLES, what the file itself says


VARIABLES = {"name": "LB_NAME", "listen": "LB_LISTEN", "discovery": "LB_DISCOVERY", "admin": "LB_ADMIN",
             "fleet": "LB_FLEET"}
AT_START = ("name", "listen", "admin", "fleet", "peer_listen", "settings", "measures_delay")  # not taken over live


def address_of(value: Any, key: str) -> Address:
    host, colon, port = str(value).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) < 65536:
        raise ConfigError(f"{key}: expected host:port, got {value!r}")
    return host, int(port)


def typed(raw: Any, key: str, kind: type, default: Any, inside: str = "") -> Any:
    value = raw.get(key, default)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise ConfigError(f"{inside}{key}: expected {kind.__name__}, got {value!r}")
    return value


def seed_of(value: Any) -> int:
    try:
        return int(str(value), 16)
    except ValueError:
        raise ConfigError(f"seed: expected hex digits, got {value!r}") from None


def read(env: Mapping[str, str], begun: Config | None = None) -> Config:
    """The configuration as it is now; `begun` is the one that a running program started with."""
    path = env.get("LB_CONFIG")
    if not path:
        raise ConfigError("LB_CONFIG: not set; it names the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as bad:
        raise ConfigError(f"LB_CONFIG: cannot read {path}: {bad}") from None
    if not isinstance(raw, dict):
        raise ConfigError("LB_CONFIG: expected a JSON object")
    filed = {key: raw[key] for key in VARIABLES if key in raw}
    # Danger: a variable is as old as the start. One that always won would pin a running program to the
    # address that it started with, whatever the new file says.
    stands = {key: env[var] for key, var in VARIABLES.items() if env.get(var) and (
        begun is None or key not in filed or filed[key] == begun.filed.get(key))}
    return replace(check({**raw, **stands}), filed=filed, accept_fd=accept_fd_of(env),
                   folder=env.get("TMPDIR", ""))


def accept_fd_of(env: Mapping[str, str]) -> int | None:
    value = env.get("LB_ACCEPT_FD", "")
    if value and not (value.isascii() and value.isdecimal() and 2 < int(value[:9]) < 1 << 20):
        raise ConfigError(f"LB_ACCEPT_FD: expected the number of a descriptor, got {value!r}")
    return int(value) if value else None


def check(raw: dict[str, Any]) -> Config:
    for key in ("listen", "discovery", "settings"):
        if key not in raw:
            raise ConfigError(f"{key}: missing")
    try:
        settings = settings_of(typed(raw, "settings", dict, {}))
    except ValueError as bad:
        raise ConfigError(f"settings: {bad}") from None
    limits = typed(raw, "limits", dict, {})
    sockets = typed(limits, "sockets", int, SOCKETS, "limits.")
    if sockets < 64:
        raise ConfigError(f"limits.sockets: at least 64 are needed, got {sockets}")
    peer_listen, peers_all, admin = raw.get("peer_listen"), raw.get("peers_all"), raw.get("admin")
    return Config(
        name=str(raw.get("name", "")), listen=address_of(raw["listen"], "listen"),
        discovery=address_of(raw["discovery"], "discovery"), seed=seed_of(raw.get("seed", "0")),
        sockets=sockets,
        # No line on sockets tells of slow messages, and instances beyond their capacity were seen to return
        # lines at once: so silence must not count as word that all is well.
        settings=replace(settings, reports_message_delay=False), measures_delay=settings.reports_message_delay,
        known=typed(raw, "known", dict, {}),
        peer_listen=address_of(peer_listen, "peer_listen") if peer_listen else None,
        peers=tuple(address_of(p, "peers") for p in typed(raw, "peers", list, [])),
        peers_all=address_of(peers_all, "peers_all") if peers_all else None,
        admin=address_of(admin, "admin") if admin else None, fleet=typed(raw, "fleet", str, ""))
