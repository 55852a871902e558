"""Decodes settings and load reports from the names that the platform uses.

The simulator's adapter and the program share this module, so that both decide by the same settings.
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

Kind = TypeVar("Kind", bound=StrEnum)

# The simulator's wire and the lines on sockets have different names for the same fields.
REPORT_FIELDS = {"x0": LOAD_RATIO, "x1": "backlog_s", "util": UTILIZATION, "queue": "backlog"}


def report_field(name: str) -> str:
    """Returns the interface's name of a load report's field."""
    return REPORT_FIELDS.get(name, name)


def settings_of(raw: Any) -> Settings:
    """Returns the settings of an object decoded from JSON. Raises SettingsError if it is not valid."""
    try:
        return _settings_of(raw)
    except KeyError as error:
        raise SettingsError(f"missing {error}") from error
    except (TypeError, AttributeError, IndexError, OverflowError) as error:
        raise SettingsError(str(error)) from error


def _settings_of(raw: Any) -> Settings:
    caps = raw.get("caps", {})
    rules = raw.get("obligations", {})
    prices = raw.get("tariffs", {})
    domain = raw.get("domain", {})
    return Settings(
        classes=_classes_of(raw["classes"], domain.get("messageAimUs", [])),
        tenants=_tenants_of(raw.get("realms", []), domain.get("tenantQuotaConnections", [])),
        zone=raw.get("az", ""),
        index=int(raw.get("slotNo", 0)),
        balancers=int(raw.get("balancers", 1)),
        tick_us=int(raw.get("tickUs", 1000)),
        max_attempts=int(caps.get("maxAttempts", 1)),
        may_hedge=bool(caps.get("mayDuplicate")),
        may_cancel=bool(caps.get("cancel")),
        may_health_check=bool(caps.get("probes")),
        may_gossip=bool(caps.get("mayTell")),
        may_send_retry_after=bool(caps.get("retryAfter")),
        max_retry_after_us=int(caps.get("maxRetryAfterUs", 0)),
        connect_timeout_us=int(caps.get("dialTimeoutUs", 250_000)),
        must_poll_endpoints=raw.get("registryMode") == "ask",
        poll_within_us=int(rules.get("askWithinUs", 10_000_000)),
        answer_grace_us=int(rules.get("graceToAnswerUs", 0)),
        drain_grace_us=int(rules.get("drainGraceUs", 0)),
        slow_start_initial_fraction=float(rules.get("coldShare", 0.1)),
        slow_start_us=int(rules.get("coldUs", 30_000_000)),
        slow_start_multiple=float(rules.get("fallMultiple", 1)),
        slow_start_window_us=int(rules.get("overloadForUs", 1_000_000)),
        is_weighted_by_work=raw.get("worthBy") == "work",
        over_quota_weight=float(raw.get("overShareWorth", 1)),
        load_report_fields=_report_fields_of(raw.get("report", {})),
        has_message_delay_reports=bool(domain.get("tellsDelay")),
        cross_zone_cost=float(prices.get("crossZone", 0)),
        health_check_cost=float(prices.get("probe", 0)),
        gossip_cost=float(prices.get("peer", 0)),
        migration_cost=float(prices.get("moves", 0)),
    )


def _classes_of(rows: Any, message_objectives: Any) -> tuple[RequestClass, ...]:
    return tuple(
        RequestClass(
            name=row["name"],
            latency_objective_us=int(row["targetUs"]),
            deadline_us=int(row["deadlineUs"]),
            message_objective_us=int(message_objectives[index]) if index < len(message_objectives) else 0,
            priority_weight=float(row.get("worth", 1)),
            idempotency=_member_of(Idempotency, row.get("effect", "safe"), "classes.idempotency"),
            idempotency_scope=_member_of(
                IdempotencyScope, row.get("dedupScope", "all"), "classes.idempotency_scope"
            ),
            idempotency_window_us=int(row.get("windowUs", 0)),
        )
        for index, row in enumerate(rows)
    )


def _member_of(kind: type[Kind], word: Any, name: str) -> Kind:
    try:
        return kind(word)
    except ValueError:
        raise SettingsError(f"{name}: must be one of {', '.join(kind)}") from None


def _tenants_of(rows: Any, quotas: Any) -> tuple[Tenant, ...]:
    return tuple(
        Tenant(row["name"], float(quotas[index]) if index < len(quotas) else 0.0)
        for index, row in enumerate(rows)
    )


def _report_fields_of(report: Any) -> tuple[str, ...]:
    if report.get("how", "none") == "none":
        return ()
    return tuple(report_field(name) for name in report.get("names", []))
