"""Log lines on standard error, made with the standard library's `logging`.

Each module has a logger of its own name. A call names a constant message and gives its details as fields:

    logger = get_logger(__name__)
    logger.warning("accepting paused after a resource error", error=error, pause_ms=ACCEPT_PAUSE_MS)

Level and format are configuration. `docs/oncall.md` has a row for each message.
"""

from __future__ import annotations

import json
import logging
import re
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import NamedTuple

MAX_LINES_PER_SECOND = 5  # of each logger and message
RATE_WINDOW_S = 1.0
LEVELS = ("DEBUG", "INFO", "WARNING", "ERROR", "CRITICAL")
DEFAULT_LEVEL = "INFO"
DEFAULT_FORMAT = "%(levelname)s %(name)s: %(message)s"
PROGRAM_LOGGER_NAME = "glenrock"  # the parent of all loggers of the program

_UNQUOTED_VALUE = re.compile(r"[^\s\"'=\\\x00-\x1f\x7f]+")


@dataclass(frozen=True)
class LogConfig:
    """The configured level and format of log lines.

    Attributes:
        level: the name of the lowest level that is written.
        format: the format of a line, as `logging.Formatter` takes it.
    """

    level: str = DEFAULT_LEVEL
    format: str = DEFAULT_FORMAT


@dataclass(frozen=True)
class LogMessage:
    """A constant text, and the details of this occurrence by name. `str` gives `text name=value ...`."""

    text: str
    fields: Mapping[str, object]

    def __str__(self) -> str:
        """Returns the text followed by the fields."""
        return " ".join([self.text, *(f"{name}={_format_value(value)}" for name, value in self.fields.items())])


def _format_value(value: object) -> str:
    """Returns a field's value as one word; quoted where it has blanks, quotes or control characters."""
    if isinstance(value, float):
        return f"{value:.6g}"
    text = repr(value) if isinstance(value, (bytes, BaseException)) else str(value)
    return text if _UNQUOTED_VALUE.fullmatch(text) else json.dumps(text)


class Logger:
    """The log of one module. Each method takes a constant message and the fields of its line."""

    def __init__(self, name: str) -> None:
        self._logger = logging.getLogger(name)

    def debug(self, message: str, /, **fields: object) -> None:
        """Logs a detail that only a developer needs."""
        self._logger.debug(LogMessage(message, fields), stacklevel=2)

    def info(self, message: str, /, **fields: object) -> None:
        """Logs an event that needs no action."""
        self._logger.info(LogMessage(message, fields), stacklevel=2)

    def warning(self, message: str, /, **fields: object) -> None:
        """Logs a condition that needs action if it persists."""
        self._logger.warning(LogMessage(message, fields), stacklevel=2)

    def error(self, message: str, /, **fields: object) -> None:
        """Logs a failure that needs action."""
        self._logger.error(LogMessage(message, fields), stacklevel=2)

    def exception(self, message: str, /, **fields: object) -> None:
        """Logs the exception that is being handled as an error, with its traceback."""
        self._logger.exception(LogMessage(message, fields), stacklevel=2)


def get_logger(name: str) -> Logger:
    """Returns the logger of the module with that name."""
    return Logger(name)


class _RateWindow(NamedTuple):
    """The lines of one logger and message since `start_s`, written or not."""

    start_s: float
    lines: int


class RateLimitFilter(logging.Filter):
    """Drops lines above the rate limit of their logger and message.

    The next line that passes has the number of dropped lines in its field `suppressed_lines`.
    """

    def __init__(self, now_s: Callable[[], float] = time.monotonic) -> None:
        super().__init__()
        self._now_s = now_s
        self._windows: dict[tuple[str, str], _RateWindow] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether the line is written."""
        message = record.msg
        if not isinstance(message, LogMessage):
            return True  # a line of another library is not limited
        key = record.name, message.text
        now_s = self._now_s()
        window = self._windows.get(key, _RateWindow(now_s, 0))
        if now_s - window.start_s >= RATE_WINDOW_S:
            if suppressed := max(0, window.lines - MAX_LINES_PER_SECOND):
                record.msg = replace(message, fields={**message.fields, "suppressed_lines": suppressed})
            window = _RateWindow(now_s, 0)
        self._windows[key] = _RateWindow(window.start_s, window.lines + 1)
        return window.lines < MAX_LINES_PER_SECOND


def configure(config: LogConfig) -> None:
    """Sends log lines to standard error.

    The program's loggers get the configured level. Those of other libraries keep their own, and share the format.
    """
    handler = logging.StreamHandler()
    handler.setFormatter(logging.Formatter(config.format))
    handler.addFilter(RateLimitFilter())
    logging.getLogger().addHandler(handler)
    logging.getLogger(PROGRAM_LOGGER_NAME).setLevel(config.level)
