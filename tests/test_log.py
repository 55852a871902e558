"""Log lines: fields, the rate limit, and the configuration of level and format."""

from __future__ import annotations

import logging

import pytest

from glenrock.config import ConfigError, parse_config
from glenrock.log import MAX_LINES_PER_SECOND, LogMessage, RateLimitFilter, get_logger


def test_fields_follow_the_message_and_stay_on_its_line(caplog: pytest.LogCaptureFixture) -> None:
    get_logger("glenrock.test").warning("call failed", error=OSError(2, "gone"), pause_ms=20.0, text='a "b"\nc')
    (line,) = caplog.messages
    assert line == r"""call failed error="FileNotFoundError(2, 'gone')" pause_ms=20 text="a \"b\"\nc" """.strip()


def test_lines_above_the_rate_limit_are_dropped_and_counted() -> None:
    now_s = 0.0
    rate_limit = RateLimitFilter(lambda: now_s)

    def logged_lines(text: str) -> list[str]:
        record = logging.makeLogRecord({"name": "n", "msg": LogMessage(text, {})})
        return [record.getMessage()] if rate_limit.filter(record) else []

    assert sum(len(logged_lines("a")) for _ in range(3 * MAX_LINES_PER_SECOND)) == MAX_LINES_PER_SECOND
    assert logged_lines("b") == ["b"]
    now_s = 1.0
    assert logged_lines("a") == [f"a suppressed_lines={2 * MAX_LINES_PER_SECOND}"]
    assert logged_lines("a") == ["a"]


@pytest.mark.parametrize(
    ("key", "value"), [("level", "LOUD"), ("level", 3), ("format", "%(nothing)s"), ("format", "%")]
)
def test_invalid_log_configuration_names_its_key(key: str, value: object) -> None:
    valid = {
        "listen": "h:1",
        "discovery": "h:2",
        "settings": {"classes": [{"name": "c", "targetUs": 1, "deadlineUs": 2}]},
    }
    assert parse_config({**valid, "log": {"level": "debug"}}).log.level == "DEBUG"
    with pytest.raises(ConfigError, match=rf"log\.{key}"):
        parse_config({**valid, "log": {key: value}})
