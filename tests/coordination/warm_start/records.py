"""A start record and its parts, for the tests of this package."""

from __future__ import annotations

from dataclasses import replace

from glenrock.config import Address
from glenrock.coordination.warm_start.start_record import EndpointTable, RecordValidity, StartRecord, encode_table
from glenrock.net.endpoint_rows import EndpointRow
from glenrock.routing import interface
from glenrock.routing.connection_load import ALL_CLASSES, LoadMean

NOW_MS = 1_000_000.0
VALIDITY = RecordValidity(max_list_age_ms=60_000.0, half_life_ms=10_000.0)
SETTINGS = interface.Settings(
    classes=(interface.RequestClass("look", 300_000, 1_500_000), interface.RequestClass("write", 1, 2))
)
ROW = EndpointRow("s1", Address("127.0.0.1", 9), interface.EndpointState.READY, zone="a", since_ms=5.0)
"""A server of the endpoint list; it started at 5 ms."""


def table(version: int = 7, *names: str) -> EndpointTable:
    """Returns an endpoint list with servers of these names, by default s1 and s2."""
    return encode_table(version, (replace(ROW, name=name) for name in names or ("s1", "s2")))


RECORD = StartRecord(NOW_MS, "b", "d:1", table(), {ALL_CLASSES: LoadMean(3.0, 40)})
"""A record written at NOW_MS, with a list of two servers and a mean load."""
