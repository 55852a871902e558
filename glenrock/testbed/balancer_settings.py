"""Writes routing's settings in the platform's form, for the configuration file of a balancer. Pure."""

from __future__ import annotations

from typing import Any

from ..routing import interface

LOAD_REPORT_FIELDS = {
    interface.LOAD_RATIO: "x0",
    interface.UTILIZATION: "util",
    "backlog": "queue",
    "backlog_s": "x1",
    "inflight": "inflight",
}
"""Names of load figures, and their names in load reports."""


def encode_settings(settings: interface.Settings, tenants: tuple[str, ...]) -> dict[str, Any]:
    """Returns the `settings` object; `glenrock.routing.settings_codec.settings_of` reads it back as it was.

    Args:
        settings: of one balancer.
        tenants: their names, in the order of `settings.tenants`.
    """
    return {
        "az": settings.zone,
        "slotNo": settings.index,
        "balancers": settings.balancers,
        "tickUs": settings.tick_us,
        "caps": {
            "maxAttempts": settings.max_attempts,
            "mayDuplicate": settings.may_hedge,
            "cancel": settings.may_cancel,
            "probes": settings.may_health_check,
            "mayTell": settings.may_gossip,
            "retryAfter": settings.may_send_retry_after,
            "maxRetryAfterUs": settings.max_retry_after_us,
            "dialTimeoutUs": settings.connect_timeout_us,
        },
        "registryMode": "ask" if settings.must_poll_endpoints else "push",
        "obligations": {
            "askWithinUs": settings.poll_within_us,
            "graceToAnswerUs": settings.answer_grace_us,
            "drainGraceUs": settings.drain_grace_us,
            "coldShare": settings.slow_start_initial_fraction,
            "coldUs": settings.slow_start_us,
            "fallMultiple": settings.slow_start_multiple,
            "overloadForUs": settings.slow_start_window_us,
        },
        "classes": [
            {
                "name": request_class.name,
                "targetUs": request_class.latency_objective_us,
                "deadlineUs": request_class.deadline_us,
                "worth": request_class.priority_weight,
                "effect": request_class.idempotency,
            }
            for request_class in settings.classes
        ],
        "realms": [{"name": name} for name in tenants],
        "domain": {
            "messageAimUs": [request_class.message_objective_us for request_class in settings.classes],
            "tellsDelay": settings.has_message_delay_reports,
            "tenantQuotaConnections": [tenant.connections for tenant in settings.tenants],
        },
        "report": {
            "how": "probe" if settings.load_report_fields else "none",
            "names": [LOAD_REPORT_FIELDS.get(name, name) for name in settings.load_report_fields],
        },
        "overShareWorth": settings.over_quota_weight,
        "tariffs": {
            "crossZone": settings.cross_zone_cost,
            "probe": settings.health_check_cost,
            "peer": settings.gossip_cost,
            "moves": settings.migration_cost,
        },
    }
