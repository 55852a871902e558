"""Writes routing's settings in the platform's form, for the configuration file of a balancer. Pure."""

from __future__ import annotations

from typing import Any

from ..routing.interface import RequestClass, Settings
from ..routing.settings_codec import REPORT_FIELDS

LOAD_REPORT_FIELDS = {name: word for word, name in REPORT_FIELDS.items()} | {"inflight": "inflight"}
"""Names of load figures, and their names in load reports."""


def encode_settings(settings: Settings) -> dict[str, Any]:
    """Returns the `settings` object; `glenrock.routing.settings_codec.decode_settings` reads it back as it was."""
    return {
        "az": settings.zone,
        "slotNo": settings.index,
        "balancers": settings.balancers,
        "tickUs": settings.tick_us,
        "caps": _capabilities(settings),
        "registryMode": "ask" if settings.must_poll_endpoints else "push",
        "obligations": _obligations(settings),
        "classes": [_request_class(request_class) for request_class in settings.classes],
        "realms": [{"name": tenant.name} for tenant in settings.tenants],
        "domain": {
            "messageAimUs": [request_class.message_objective_us for request_class in settings.classes],
            "tellsDelay": settings.has_message_delay_reports,
            "tenantQuotaConnections": [tenant.connections for tenant in settings.tenants],
        },
        "report": {
            "how": "probe" if settings.load_report_fields else "none",
            "names": [LOAD_REPORT_FIELDS.get(name, name) for name in settings.load_report_fields],
        },
        "worthBy": "work" if settings.is_weighted_by_work else "requests",
        "overShareWorth": settings.over_quota_weight,
        "tariffs": {
            "crossZone": settings.cross_zone_cost,
            "probe": settings.health_check_cost,
            "peer": settings.gossip_cost,
            "moves": settings.migration_cost,
        },
    }


def _capabilities(settings: Settings) -> dict[str, Any]:
    return {
        "maxAttempts": settings.max_attempts,
        "mayDuplicate": settings.may_hedge,
        "cancel": settings.may_cancel,
        "probes": settings.may_health_check,
        "mayTell": settings.may_gossip,
        "retryAfter": settings.may_send_retry_after,
        "maxRetryAfterUs": settings.max_retry_after_us,
        "dialTimeoutUs": settings.connect_timeout_us,
    }


def _obligations(settings: Settings) -> dict[str, Any]:
    return {
        "askWithinUs": settings.poll_within_us,
        "graceToAnswerUs": settings.answer_grace_us,
        "drainGraceUs": settings.drain_grace_us,
        "coldShare": settings.slow_start_initial_fraction,
        "coldUs": settings.slow_start_us,
        "fallMultiple": settings.slow_start_multiple,
        "overloadForUs": settings.slow_start_window_us,
    }


def _request_class(request_class: RequestClass) -> dict[str, Any]:
    return {
        "name": request_class.name,
        "targetUs": request_class.latency_objective_us,
        "deadlineUs": request_class.deadline_us,
        "worth": request_class.priority_weight,
        "effect": request_class.idempotency,
        "dedupScope": request_class.idempotency_scope,
        "windowUs": request_class.idempotency_window_us,
    }
