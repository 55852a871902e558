"""Reads and checks the configuration, and sets its defaults.

LB_CONFIG names a JSON file. LB_NAME, LB_LISTEN, LB_DISCOVERY, LB_ADMIN, LB_FLEET, LB_LOG_LEVEL and LB_LOG_FORMAT
override its keys. After a reload, a key that has changed in the file overrides the environment variable.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from glenrock.routing.interface import Settings
from glenrock.routing.settings_codec import decode_settings

from .log import DEFAULT_FORMAT, DEFAULT_LEVEL, LEVELS, LogConfig

DEFAULT_DESCRIPTOR_LIMIT = 1024
MIN_DESCRIPTOR_LIMIT = 64
MAX_PORT = 65_535
MIN_INHERITED_DESCRIPTOR = 3  # after the standard streams
MAX_INHERITED_DESCRIPTOR = (1 << 20) - 1
MAX_COMPARED_DIGITS = 9  # enough to recognize a descriptor number that is too large, without parsing a long text
REQUIRED_KEYS = ("listen", "discovery", "settings")
ENVIRONMENT_VARIABLES = {
    "name": "LB_NAME",
    "listen": "LB_LISTEN",
    "discovery": "LB_DISCOVERY",
    "admin": "LB_ADMIN",
    "fleet": "LB_FLEET",
}
LOG_ENVIRONMENT_VARIABLES = {"level": "LB_LOG_LEVEL", "format": "LB_LOG_FORMAT"}
RESTART_KEYS = ("name", "listen", "admin", "fleet", "peer_listen", "settings", "measures_delay", "log")
"""Fields of `Config` that a reload does not apply."""


class Address(NamedTuple):
    """A host and a port, in the form that `socket` takes."""

    host: str
    port: int

    def __str__(self) -> str:
        """Returns the address as `host:port`."""
        return f"{self.host}:{self.port}"


class ConfigError(Exception):
    """The configuration cannot be used. The message names the key."""


@dataclass(frozen=True)
class Config:
    """A balancer's configuration.

    Attributes:
        name: the balancer's name in log lines, in its leases, and in the names of its coordination files. A process
            that starts under another name does not find these files.
        listen: the address that accepts clients.
        discovery: the address of service discovery.
        seed: the seed of all random numbers.
        descriptor_limit: the number of descriptors that may be open.
        settings: the settings of routing.
        measures_delay: whether slow messages on relays are reported to routing.
        raw_cached_endpoints: an endpoint list from an earlier run as JSON, used until the first poll succeeds. It is
            parsed when the balancer starts, so that its unreadable rows are logged then and not at each reload.
        peer_listen: the address that receives gossip; None without peers.
        peers: the addresses that gossip is sent to, by balancer number.
        peer_broadcast: an address that forwards a datagram to all peers; None to send to each peer.
        admin: the address that accepts operators' calls; None to accept none.
        accept_fd: the descriptor of an inherited listening socket; None to open a new one.
        fleet: the path of the coordination's configuration file; empty without coordination.
        log: the level and format of log lines.
        shared_folder: `$TMPDIR`, which both processes of an upgrade share; empty if it is not set.
        file_values: the file's values of those keys that an environment variable can override.
    """

    name: str
    listen: Address
    discovery: Address
    seed: int
    descriptor_limit: int
    settings: Settings
    measures_delay: bool
    raw_cached_endpoints: dict[str, Any]
    peer_listen: Address | None
    peers: tuple[Address, ...]
    peer_broadcast: Address | None
    admin: Address | None = None
    accept_fd: int | None = None
    fleet: str = ""
    log: LogConfig = field(default_factory=LogConfig)
    shared_folder: str = ""
    file_values: Mapping[str, Any] = field(default_factory=dict)


def read_config(environment: Mapping[str, str], initial_config: Config | None = None) -> Config:
    """Reads the configuration file and the environment variables that override it.

    Args:
        environment: the environment variables of the process.
        initial_config: the configuration that this process started with; None at the start.

    Raises:
        ConfigError: the file cannot be read, or a key is missing or invalid.
    """
    raw = _read_file(environment.get("LB_CONFIG", ""))
    file_values = {key: raw[key] for key in ENVIRONMENT_VARIABLES if key in raw}
    overrides = _environment_overrides(environment, file_values, initial_config)
    log_overrides = {
        key: value for key, variable in LOG_ENVIRONMENT_VARIABLES.items() if (value := environment.get(variable))
    }
    log = {**_read_typed_value(raw, "log", dict, {}), **log_overrides}
    return replace(
        parse_config({**raw, **overrides, "log": log}),
        file_values=file_values,
        accept_fd=_parse_inherited_descriptor(environment),
        shared_folder=environment.get("TMPDIR", ""),
    )


def _environment_overrides(
    environment: Mapping[str, str], file_values: Mapping[str, Any], initial_config: Config | None
) -> dict[str, str]:
    """Returns the values of the keys that environment variables override.

    A key that is set by both has the value of:

        the variable   at the start
        the variable   after a reload, if the file's value is that of the start or the file no longer has the key
        the file       after a reload, if the file's value has changed since the start

    A variable keeps its value from the start of the process. If it always took precedence, a running process would keep
    the address that it started with, whatever the new file says.
    """
    overrides = {}
    for key, variable in ENVIRONMENT_VARIABLES.items():
        is_unchanged = (
            initial_config is None or key not in file_values or file_values[key] == initial_config.file_values.get(key)
        )
        if is_unchanged and (value := environment.get(variable)):
            overrides[key] = value
    return overrides


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


def _parse_inherited_descriptor(environment: Mapping[str, str]) -> int | None:
    value = environment.get("LB_ACCEPT_FD", "")
    if not value:
        return None
    is_number = value.isascii() and value.isdecimal()
    if not is_number or not (MIN_INHERITED_DESCRIPTOR <= int(value[:MAX_COMPARED_DIGITS]) <= MAX_INHERITED_DESCRIPTOR):
        raise ConfigError(f"LB_ACCEPT_FD: expected the number of a descriptor, got {value!r}")
    return int(value)


def parse_config(raw: dict[str, Any]) -> Config:
    """Parses the content of the configuration file, and sets the defaults of missing keys.

    Raises:
        ConfigError: a key is missing or invalid.
    """
    for key in REQUIRED_KEYS:
        if key not in raw:
            raise ConfigError(f"{key}: missing")
    try:
        settings = decode_settings(_read_typed_value(raw, "settings", dict, {}))
    except ValueError as error:
        raise ConfigError(f"settings: {error}") from error
    return Config(
        name=str(raw.get("name", "")),
        listen=parse_address(raw["listen"], "listen"),
        discovery=parse_address(raw["discovery"], "discovery"),
        seed=_parse_seed(raw.get("seed", "0")),
        descriptor_limit=_parse_descriptor_limit(raw),
        # Servers do not report message delay in the protocol, and the delay that is measured on relays is no complete
        # report: an overloaded server may still answer some lines at once. Without a report, the delay is unknown.
        settings=replace(settings, has_message_delay_reports=False),
        measures_delay=settings.has_message_delay_reports,
        raw_cached_endpoints=_read_typed_value(raw, "known", dict, {}),
        peer_listen=_parse_optional_address(raw, "peer_listen"),
        peers=tuple(parse_address(peer, "peers") for peer in _read_typed_value(raw, "peers", list, [])),
        peer_broadcast=_parse_optional_address(raw, "peers_all"),
        admin=_parse_optional_address(raw, "admin"),
        fleet=_read_typed_value(raw, "fleet", str, ""),
        log=_parse_log_config(_read_typed_value(raw, "log", dict, {})),
    )


def _parse_log_config(raw: dict[str, Any]) -> LogConfig:
    level = _read_typed_value(raw, "level", str, DEFAULT_LEVEL, "log.").upper()
    if level not in LEVELS:
        raise ConfigError(f"log.level: expected one of {', '.join(LEVELS)}, got {level!r}")
    line_format = _read_typed_value(raw, "format", str, DEFAULT_FORMAT, "log.")
    try:
        logging.Formatter(line_format).format(logging.makeLogRecord({}))
    except (ValueError, TypeError) as error:
        raise ConfigError(f"log.format: {error}") from error
    return LogConfig(level, line_format)


def _parse_descriptor_limit(raw: dict[str, Any]) -> int:
    limits = _read_typed_value(raw, "limits", dict, {})
    descriptors: int = _read_typed_value(limits, "sockets", int, DEFAULT_DESCRIPTOR_LIMIT, "limits.")
    if descriptors < MIN_DESCRIPTOR_LIMIT:
        raise ConfigError(f"limits.sockets: at least {MIN_DESCRIPTOR_LIMIT} are needed, got {descriptors}")
    return descriptors


def parse_address(value: Any, key: str) -> Address:
    """Parses an address of the form `host:port`.

    Raises:
        ConfigError: the value has another form; the message names `key`.
    """
    host, colon, port = str(value).rpartition(":")
    if not colon or not host or not port.isdecimal() or not 0 <= int(port) <= MAX_PORT:
        raise ConfigError(f"{key}: expected host:port, got {value!r}")
    return Address(host, int(port))


def _parse_optional_address(raw: dict[str, Any], key: str) -> Address | None:
    value = raw.get(key)
    return parse_address(value, key) if value else None


def _read_typed_value(raw: dict[str, Any], key: str, expected_type: type, default: Any, prefix: str = "") -> Any:
    """Returns the value of a key. Raises ConfigError, with `prefix` before the key, if it has another type."""
    value = raw.get(key, default)
    if not isinstance(value, expected_type) or isinstance(value, bool):
        raise ConfigError(f"{prefix}{key}: expected {expected_type.__name__}, got {value!r}")
    return value


def _parse_seed(value: Any) -> int:
    try:
        return int(str(value), 16)
    except ValueError as error:
        raise ConfigError(f"seed: expected hex digits, got {value!r}") from error
