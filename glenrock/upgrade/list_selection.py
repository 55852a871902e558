"""Whether the new process of an upgrade uses a list that its predecessor was told. Pure.

Versions of two lists are comparable only if both are from the same discovery.
"""

from __future__ import annotations

from glenrock.routing.interface import EndpointListKind

from .state_message import ReportedList


def is_change_news(change: ReportedList, newest_version: int, discovery: str, has_answered: bool) -> bool:
    """Returns whether this process uses a change that the predecessor was told.

    Args:
        change: the change, or a whole new list.
        newest_version: the version of this process's list; negative if it is unknown.
        discovery: host and port of the discovery that this process calls.
        has_answered: whether that discovery has answered this process.
    """
    if change.discovery == discovery and change.version is not None:
        return change.version > newest_version
    return not has_answered


def unusable_reason(reported: ReportedList, configured_version: int, discovery: str) -> str | None:
    """Returns why a start uses the configured list in place of the predecessor's; None if it uses the predecessor's.

    Args:
        reported: the predecessor's list.
        configured_version: the version of the configured list; negative if there is none.
        discovery: host and port of the discovery that this process calls.
    """
    if not reported.servers:
        return "it is empty"
    if reported.kind is EndpointListKind.CACHED and reported.version is None:
        return "discovery has not reported it"
    if reported.discovery == discovery and reported.version is not None and reported.version < configured_version:
        return f"version {reported.version} is older than the configured {configured_version}"
    return None
