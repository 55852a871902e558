"""Start records for tests."""

from __future__ import annotations

from glenrock.coordination.warm_start.start_record import RecordTrust, StartRecord
from glenrock.routing import interface

TRUST = RecordTrust(max_list_age_ms=60_000.0, half_life_ms=10_000.0)


NOW = 1_000_000.0


def row(name: str, since_ms: float = 5.0) -> dict:
    return {
        "name": name,
        "address": "127.0.0.1:9",
        "zone": "a",
        "group": 0,
        "status": "SERVING",
        "weight": 1.0,
        "since_ms": since_ms,
    }


def table(index: int = 7, *names: str) -> dict:
    return {"index": index, "snapshot": True, "endpoints": [row(n) for n in names or ("s1", "s2")]}


def record(**over) -> StartRecord:
    return StartRecord(
        **{"at_ms": NOW, "boot": "b", "discovery": "d:1", "table": table(), "means": {"": (3.0, 40)}, **over}
    )


SETTINGS = interface.Settings(
    classes=(interface.RequestClass("look", 300_000, 1_500_000), interface.RequestClass("write", 1, 2))
)
