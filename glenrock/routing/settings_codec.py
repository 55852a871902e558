"""Decodes the settings from the platform's JSON keys, and the names of load report fields.

The simulator's adapter and the balancer's configuration share this module, so that both read the same
settings.
"""

from __future__ import annotations

from enum import StrEnum
from typing import Any, TypeVar

from .interface import (
    LOAD_RATIO,
    UTILIZATION,
    Idempotency,
    IdempotencyScope,
    RequestClass,
    Settings,
    SettingsError,
    Tenant,
)

EnumT = TypeVar("EnumT", bound=StrEnum)

# The simulator's protocol and the lines of session servers name the same fields differently.
REPORT_FIELDS = {"x0": LOAD_RATIO, "x1": "backlog_s", "util": UTILIZATION, "queue": "backlog"}
"""The interface's names of load report fields, by their other names."""


def report_field(name: str) -> str:
    """Returns the interface's name of a load report field; a name that is not mapped is returned as it is."""
    return REPORT_FIELDS.get(name, name)


def decode_settings(raw: Any) -> Settings:
    """Decodes settings from an object that was parsed from JSON. Raises SettingsError if they are invalid."""
    try:
        return _decode_settings(raw)
    except KeyError as error:
        raise SettingsError(f"missing {error}") from error
    except (TypeError, AttributeError, IndexError, OverflowError) as error:
        raise SettingsError(str(error)) from error


def _decode_settings(raw: Any) -> Settings:
    capabilities = raw.get("caps", {})
    obligations = raw.get("obligations", {})
    costs = raw.get("tariffs", {})
    domain = raw.get("domain", {})
    return Settings(
        classes=_decode_classes(raw["classes"], domain.get("messageAimUs", [])),
        tenants=_decode_tenants(raw.get("realms", []), domain.get("tenantQuotaConnections", [])),
        zone=raw.get("az", ""),
        index=int(raw.get("slotNo", 0)),
        balancers=int(raw.get("balancers", 1)),
        tick_us=int(raw.get("tickUs", 1000)),
        max_attempts=int(capabilities.get("maxAttempts", 1)),
        may_hedge=bool(capabilities.get("mayDuplicate")),
        may_cancel=bool(capabilities.get("cancel")),
        may_health_check=bool(capabilities.get("probes")),
        may_gossip=bool(capabilities.get("mayTell")),
        may_send_retry_after=bool(capabilities.get("retryAfter")),
        max_retry_after_us=int(capabilities.get("maxRetryAfterUs", 0)),
        connect_timeout_us=int(capabilities.get("dialTimeoutUs", 250_000)),
        must_poll_endpoints=raw.get("registryMode") == "ask",
        poll_within_us=int(obligations.get("askWithinUs", 10_000_000)),
        answer_grace_us=int(obligations.get("graceToAnswerUs", 0)),
        drain_grace_us=int(obligations.get("drainGraceUs", 0)),
        slow_start_initial_fraction=float(obligations.get("coldShare", 0.1)),
        slow_start_us=int(obligations.get("coldUs", 30_000_000)),
        slow_start_multiple=float(obligations.get("fallMultiple", 1)),
        slow_start_window_us=int(obligations.get("overloadForUs", 1_000_000)),
        is_weighted_by_work=raw.get("worthBy") == "work",
        over_quota_weight=float(raw.get("overShareWorth", 1)),
        load_report_fields=_decode_report_fields(raw.get("report", {})),
        has_message_delay_reports=bool(domain.get("tellsDelay")),
        cross_zone_cost=float(costs.get("crossZone", 0)),
        health_check_cost=float(costs.get("probe", 0)),
        gossip_cost=float(costs.get("peer", 0)),
        migration_cost=float(costs.get("moves", 0)),
    )


def _decode_classes(rows: Any, message_objectives: Any) -> tuple[RequestClass, ...]:
    return tuple(
        RequestClass(
            name=row["name"],
            latency_objective_us=int(row["targetUs"]),
            deadline_us=int(row["deadlineUs"]),
            message_objective_us=int(message_objectives[index]) if index < len(message_objectives) else 0,
            priority_weight=float(row.get("worth", 1)),
            idempotency=_decode_enum(Idempotency, row.get("effect", "safe"), "classes.idempotency"),
            idempotency_scope=_decode_enum(
                IdempotencyScope, row.get("dedupScope", "all"), "classes.idempotency_scope"
            ),
            idempotency_window_us=int(row.get("windowUs", 0)),
        )
        for index, row in enumerate(rows)
    )


def _decode_enum(enum: type[EnumT], value: Any, name: str) -> EnumT:
    try:
        return enum(value)
    except ValueError:
        raise SettingsError(f"{name}: must be one of {', '.join(enum)}") from None


def _decode_tenants(rows: Any, quotas: Any) -> tuple[Tenant, ...]:
    return tuple(
        Tenant(row["name"], float(quotas[index]) if index < len(quotas) else 0.0)
        for index, row in enumerate(rows)
    )


def _decode_report_fields(report: Any) -> tuple[str, ...]:
    if report.get("how", "none") == "none":
        return ()
    return tuple(report_field(name) for name in report.get("names", []))
