"""Settings and load reports as the outside spells them, turned into the module's own.

Used by the simulator's adapter and by the real balancer, so that both decide by the same figures.
"""

from __future__ import annotations

from typing import Any

from . import interface as i

# The simulator's wire and the lines on sockets name the same values differently.
REPORTS = {"x0": i.LOAD_RATIO, "x1": "backlog_s", "util": i.UTILIZATION, "queue": "backlog"}


def report_name(name: str) -> str:
    return REPORTS.get(name, name)


def settings_of(raw: Any) -> i.Settings:
    """The settings object, decoded from JSON. ValueError says what is wrong with it."""
    try:
        caps, rules, prices = raw.get("caps", {}), raw.get("obligations", {}), raw.get("tariffs", {})
        domain = raw.get("domain", {})
        aims = domain.get("messageAimUs", [])
        quotas = domain.get("tenantQuotaConnections", [])
        names = raw.get("report", {})
        classes = tuple(
            i.RequestClass(c["name"], int(c["targetUs"]), int(c["deadlineUs"]),
                           int(aims[n]) if n < len(aims) else 0, float(c.get("worth", 1)),
                           c.get("effect", "safe"), c.get("dedupScope", "all"), int(c.get("windowUs", 0)))
            for n, c in enumerate(raw["classes"]))
        tenants = tuple(i.Tenant(t["name"], float(quotas[n]) if n < len(quotas) else 0.0)
                        for n, t in enumerate(raw.get("realms", [])))
        how = names.get("how", "none")
        return i.Settings(
            classes=classes, tenants=tenants, zone=raw.get("az", ""), index=int(raw.get("slotNo", 0)),
            balancers=int(raw.get("balancers", 1)), tick_us=int(raw.get("tickUs", 1000)),
            max_attempts=int(caps.get("maxAttempts", 1)), may_duplicate=bool(caps.get("mayDuplicate")),
            may_cancel=bool(caps.get("cancel")), may_probe=bool(caps.get("probes")),
            may_tell=bool(caps.get("mayTell")), retry_after=bool(caps.get("retryAfter")),
            max_retry_after_us=int(caps.get("maxRetryAfterUs", 0)),
            dial_timeout_us=int(caps.get("dialTimeoutUs", 250_000)),
            must_ask=raw.get("registryMode") == "ask",
            ask_within_us=int(rules.get("askWithinUs", 10_000_000)),
            answer_grace_us=int(rules.get("graceToAnswerUs", 0)),
            drain_grace_us=int(rules.get("drainGraceUs", 0)), cold_share=float(rules.get("coldShare", 0.1)),
            cold_us=int(rules.get("coldUs", 30_000_000)), cold_multiple=float(rules.get("fallMultiple", 1)),
            cold_window_us=int(rules.get("overloadForUs", 1_000_000)),
            by_work=raw.get("worthBy") == "work", over_share_worth=float(raw.get("overShareWorth", 1)),
            reports=() if how == "none" else tuple(report_name(n) for n in names.get("names", [])),
            tells_delay=bool(domain.get("tellsDelay")),
            price_cross_zone=float(prices.get("crossZone", 0)), price_probe=float(prices.get("probe", 0)),
            price_peer=float(prices.get("peer", 0)), price_move=float(prices.get("moves", 0)))
    except KeyError as bad:
        raise ValueError(f"missing {bad}") from None
    except (TypeError, AttributeError, IndexError, OverflowError) as bad:
        raise ValueError(str(bad)) from None
