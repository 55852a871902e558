"""A balancer's configuration file, in the platform's form, from what the scene tells a balancer. Pure."""

from __future__ import annotations

from typing import Any

from glenrock.routing import interface

from .modelled_servers import NAMES


def settings(s: interface.Settings, tenants: tuple[str, ...]) -> dict[str, Any]:
    """The `settings` object; `glenrock.routing.settings_codec.settings_of` reads it back as it was."""
    return {
        "az": s.zone,
        "slotNo": s.index,
        "balancers": s.balancers,
        "tickUs": s.tick_us,
        "caps": {
            "maxAttempts": s.max_attempts,
            "mayDuplicate": s.may_hedge,
            "cancel": s.may_cancel,
            "probes": s.may_health_check,
            "mayTell": s.may_gossip,
            "retryAfter": s.may_send_retry_after,
            "maxRetryAfterUs": s.max_retry_after_us,
            "dialTimeoutUs": s.connect_timeout_us,
        },
        "registryMode": "ask" if s.must_poll_endpoints else "push",
        "obligations": {
            "askWithinUs": s.poll_within_us,
            "graceToAnswerUs": s.answer_grace_us,
            "drainGraceUs": s.drain_grace_us,
            "coldShare": s.slow_start_initial_fraction,
            "coldUs": s.slow_start_us,
            "fallMultiple": s.slow_start_multiple,
            "overloadForUs": s.slow_start_window_us,
        },
        "classes": [
            {
                "name": c.name,
                "targetUs": c.latency_objective_us,
                "deadlineUs": c.deadline_us,
                "worth": c.priority_weight,
                "effect": c.idempotency,
            }
            for c in s.classes
        ],
        "realms": [{"name": name} for name in tenants],
        "domain": {
            "messageAimUs": [c.message_objective_us for c in s.classes],
            "tellsDelay": s.has_message_delay_reports,
            "tenantQuotaConnections": [t.connections for t in s.tenants],
        },
        "report": {
            "how": "probe" if s.load_report_fields else "none",
            "names": [NAMES.get(n, n) for n in s.load_report_fields],
        },
        "overShareWorth": s.over_quota_weight,
        "tariffs": {
            "crossZone": s.cross_zone_cost,
            "probe": s.health_check_cost,
            "peer": s.gossip_cost,
            "moves": s.migration_cost,
        },
    }
