"""The operators' view of one balancer's coordination, as JSON.

The view's keys and the names of states are defined in this module only; `warm_start/start_report` and
`cli/coordination_history` read them. The values of `says`, `store` and `why` are texts from other modules.
"""

from __future__ import annotations

import json
from typing import Any

from .context import CoordinationContext
from .leases.candidate import CandidateState
from .leases.sqlite_store import boottime_us
from .override_receiver import Rejection
from .warm_start.milestones import ListSource, StartProgress

MS_US = 1000

STATE_NAMES = {
    CandidateState.IDLE: "idle",
    CandidateState.ACQUIRING: "asking",
    CandidateState.HOLDER: "owner",
    CandidateState.RELEASING: "leaving",
    CandidateState.BACKING_OFF: "wary",
}
LIST_SOURCE_NAMES = {
    ListSource.CACHED: "kept",
    ListSource.CONFIGURED: "given",
    ListSource.NONE: "none",
}


def build_view(
    context: CoordinationContext,
    rejections: list[Rejection],
    cache_status: str,
    start: StartProgress,
    permit_job: str | None,
) -> str:
    """Returns the view.

    Args:
        context: the shared objects of the coordination.
        rejections: the last updates and heartbeats that were rejected.
        cache_status: a text that says what the start used from the start cache.
        start: the milestones of the start.
        permit_job: the job of the drain permit that this balancer holds; None if it holds none.
    """
    overrides = context.overrides
    view = {
        "name": context.name,
        "holder": context.holder,
        "store": context.leases.store_error or "answers",
        "members": sorted(context.membership.members(boottime_us())),
        "jobs": _jobs_view(context),
        "seen": context.fence.positions,
        "refused": context.fence.rejected_count,
        "refusals": [_rejection_view(rejection) for rejection in rejections],
        "words": {
            server_id: {"out": entry.is_suspended, "revision": entry.revision}
            for server_id, entry in overrides.entries.items()
        },
        "start": {"says": cache_status, **_start_view(start)},
        "wishes": len(overrides.pending),
        "digest": f"{overrides.digest:016x}",
        "ticket": permit_job or "",
    }
    return json.dumps(view, indent=1)


def _jobs_view(context: CoordinationContext) -> dict[str, Any]:
    manager = context.leases.manager
    now_us = boottime_us()
    return {
        job: {
            "term": candidate.term,
            "left_ms": max(0, candidate.expires_us - now_us) // MS_US,
            "state": STATE_NAMES[candidate.state],
        }
        for job, candidate in manager.candidates.items()
        if candidate.state is not CandidateState.IDLE or job in manager.jobs
    }


def _rejection_view(rejection: Rejection) -> dict[str, Any]:
    return {
        "at_ms": rejection.at_ms,
        "peer": rejection.peer,
        "job": rejection.job,
        "term": rejection.term,
        "seen": rejection.highest_term,
        "why": rejection.reason,
    }


def _start_view(start: StartProgress) -> dict[str, Any]:
    calls, connections = start.calls, start.connections
    return {
        "begun_ms": round(start.process_started_ms),
        "waited_ms": round(start.delay_ms),
        "ready_ms": round(start.ready_ms),
        "heard_ms": round(start.list_ms),
        "served_ms": round(start.served_ms),
        "list": LIST_SOURCE_NAMES[start.list_source],
        "calls": {"answered": calls.answered, "refused": calls.rejected, "failed": calls.failed} if calls else {},
        "first": {
            "attempts": connections.attempts,
            "up": connections.established,
            "refused": connections.rejected,
            "failed": connections.failed,
        },
    }
