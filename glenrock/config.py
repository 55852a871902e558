"""The one place where configuration is read, checked and given defaults.

LB_CONFIG names a JSON file with everything; LB_NAME, LB_LISTEN, LB_DISCOVERY, LB_ADMIN, LB_FLEET, LB_LOG_LEVEL and
LB_LOG_FORMAT win over it. The file may be read again while the program runs: then a key that it has changed wins over
the variable.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any

from glenrock.routing.interface import Settings
from glenrock.routing.settings_codec import settings_of

from .log import DEFAULT_FORMAT, DEFAULT_LEVEL, LEVELS, LogConfig

Address = tuple[str, int]  # host and port

DEFAULT_DESCRIPTORS = 1024  # where no limit is configured
MIN_DESCRIPTORS = 64
MAX_PORT = 65_535
FIRST_FREE_DESCRIPTOR = 3  # after the standard streams
MAX_DESCRIPTOR = (1 << 20) - 1
VARIABLES = {
    "name": "LB_NAME",
    "listen": "LB_LISTEN",
    "discovery": "LB_DISCOVERY",
    "admin": "LB_ADMIN",
    "fleet": "LB_FLEET",
}
LOG_VARIABLES = {"level": "LB_LOG_LEVEL", "format": "LB_LOG_FORMAT"}
# A running program does not take these over.
TAKEN_AT_START = ("name", "listen", "admin", "fleet", "peer_listen", "settings", "measures_delay", "log")


class ConfigError(Exception):
    """The configuration cannot be used. The message names the key at fault."""


@dataclass(frozen=True)
class Config:
    """A balancer's configuration.

    Attributes:
        name: in log lines.
        listen: where clients connect.
        discovery: where the endpoint list is polled.
        seed: of random numbers.
        sockets: the limit on open descriptors.
        settings: of the routing.
        measures_delay: slow messages seen on relays are told to the routing.
        known: the endpoint list that serves until one is polled.
        peer_listen: where gossip arrives; None without peers.
        peers: where gossip is sent.
        peers_all: where one datagram reaches all peers.
        admin: where operators call; None where nobody listens.
        accept_fd: the clients' listening socket, where the platform holds it.
        fleet: path of the operator's file on what balancers do together; empty where nothing of it is loaded.
        log: level and format of log lines.
        folder: `$TMPDIR`, where both processes of an upgrade keep what they share.
        filed: of the keys in `VARIABLES`, what the file itself says.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    sockets: int
    settings: Settings
    measures_delay: bool
    known: dict[str, Any]
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peers_all: Address | None
    admin: Address | None = None
    accept_fd: int | None = None
    fleet: str = ""
    log: LogConfig = field(default_factory=LogConfig)
    folder: str = ""
    filed: Mapping[str, Any] = field(default_factory=dict)


def read(environment: Mapping[str, str], at_start: Config | None = None) -> Config:
    """The configuration as it is now.

    Args:
        environment: the process's variables.
        at_start: the configuration that a running program started with.

    Raises:
        ConfigError: it cannot be read, or a key is at fault.
    """
    raw = _read_file(environment.get("LB_CONFIG", ""))
    filed = {key: raw[key] for key in VARIABLES if key in raw}
    from_variables = {}
    for key, variable in VARIABLES.items():
        # A variable is as old as the start. One that always won would pin a running program to the address that it
        # started with, whatever the new file says.
        unchanged = at_start is None or key not in filed or filed[key] == at_start.filed.get(key)
        if unchanged and (value := environment.get(variable)):
            from_variables[key] = value
    log_from_variables = {key: value for key, name in LOG_VARIABLES.items() if (value := environment.get(name))}
    log = {**_typed(raw, "log", dict, {}), **log_from_variables}
    return replace(
        check({**raw, **from_variables, "log": log}),
        filed=filed,
        accept_fd=_accept_descriptor(environment),
        folder=environment.get("TMPDIR", ""),
    )


def _read_file(path: str) -> dict[str, Any]:
    if not path:
        raise ConfigError("LB_CONFIG: not set; it names the configuration file")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"LB_CONFIG: cannot read {path}: {error}") from error
    if not isinstance(raw, dict):
        raise ConfigError("LB_CONFIG: expected a JSON object")
    return raw


def _accept_descriptor(environment: Mapping[str, str]) -> int | None:
    value = environment.get("LB_ACCEPT_FD", "")
    if not value:
        return None
    # Nine digits are enough to tell that a number is too large, however long the text is.
    is_number = value.isascii() and value.isdecimal()
    if not is_number or not FIRST_FREE_DESCRIPTOR <= int(value[:9]) <= MAX_DESCRIPTOR:
        raise ConfigError(f"LB_ACCEPT_FD: expected the number of a descriptor, got {value!r}")
    return int(value)


def check(raw: dict[str, Any]) -> Config:
    """The configuration that the file's content stands for.

    Raises:
        ConfigError: a key is missing or at fault.
    """
    for key in ("listen", "discovery", "settings"):
        if key not in raw:
            raise ConfigError(f"{key}: missing")
    try:
        settings = settings_of(_typed(raw, "settings", dict, {}))
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from error
    return Config(
        name=str(raw.get("name", "")),
        listen=address_of(raw["listen"], "listen"),
        discovery=address_of(raw["discovery"], "discovery"),
        seed=_seed_of(raw.get("seed", "0")),
        sockets=_descriptor_limit(raw),
        # No line on sockets tells of slow messages, and servers beyond their capacity were seen to return lines at
        # once: so silence must not count as word that all is well.
        settings=replace(settings, has_message_delay_reports=False),
        measures_delay=settings.has_message_delay_reports,
        known=_typed(raw, "known", dict, {}),
        peer_listen=_optional_address(raw, "peer_listen"),
        peers=tuple(address_of(peer, "peers") for peer in _typed(raw, "peers", list, [])),
        peers_all=_optional_address(raw, "peers_all"),
        admin=_optional_address(raw, "admin"),
        fleet=_typed(raw, "fleet", str, ""),
        log=_log_config(_typed(raw, "log", dict, {})),
    )


def _log_config(raw: dict[str, Any]) -> LogConfig:
    level = _typed(raw, "level", str, DEFAULT_LEVEL, "log.").upper()
    if level not in LEVELS:
        raise ConfigError(f"log.level: expected one of {', '.join(LEVELS)}, got {level!r}")
    line_format = _typed(raw, "format", str, DEFAULT_FORMAT, "log.")
    try:
        logging.Formatter(line_format).format(logging.makeLogRecord({}))
    except (ValueError, TypeError) as error:
        raise ConfigError(f"log.format: {error}") from error
    return LogConfig(level, line_format)


def _descriptor_limit(raw: dict[str, Any]) -> int:
    limits = _typed(raw, "limits", dict, {})
    descriptors: int = _typed(limits, "sockets", int, DEFAULT_DESCRIPTORS, "limits.")
    if descriptors < MIN_DESCRIPTORS:
        raise ConfigError(f"limits.sockets: at least {MIN_DESCRIPTORS} are needed, got {descriptors}")
    return descriptors


def address_of(value: Any, key: str) -> Address:
    """The address written as `host:port`.

    Raises:
        ConfigError: it is none; the message names `key`.
    """
    host, colon, port = str(value).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigError(f"{key}: expected host:port, got {value!r}")
    return host, int(port)


def _optional_address(raw: dict[str, Any], key: str) -> Address | None:
    value = raw.get(key)
    return address_of(value, key) if value else None


def _typed(raw: dict[str, Any], key: str, kind: type, default: Any, prefix: str = "") -> Any:
    value = raw.get(key, default)
    if not isinstance(value, kind) or isinstance(value, bool):
        raise ConfigError(f"{prefix}{key}: expected {kind.__name__}, got {value!r}")
    return value


def _seed_of(value: Any) -> int:
    try:
        return int(str(value), 16)
    except ValueError as error:
        raise ConfigError(f"seed: expected hex digits, got {value!r}") from error
