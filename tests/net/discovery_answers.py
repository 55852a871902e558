"""Answers of discovery as JSON objects, and as HTTP."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping


def endpoint_row(name: str, address: str, status: str = "SERVING") -> dict[str, object]:
    """Returns the row of a server at `host:port`."""
    return {
        "name": name,
        "address": address,
        "zone": "a",
        "type": "m",
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
    }


def endpoint_answer(version: int, rows: Iterable[Mapping[str, object]], is_full: bool = True) -> dict[str, object]:
    """Returns an answer of discovery: a whole list, or changes to it."""
    return {"index": version, "snapshot": is_full, "endpoints": list(rows)}


def http_answer(body: object) -> bytes:
    """Returns an HTTP answer with this JSON as its body."""
    data = json.dumps(body).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(data), data)
