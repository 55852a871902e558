"""A balancer's configuration file, in the platform's form, from what the scene tells a balancer. Pure."""

from __future__ import annotations

from typing import Any

from wheatrouter import interface as io

from .instances import NAMES


def settings(s: io.Settings, tenants: tuple[str, ...]) -> dict[str, Any]:
    """The `settings` object; `wheatrouter.settings.settings_of` reads it back as it was."""
    return {
        "az": s.zone, "slotNo": s.index, "balancers": s.balancers, "tickUs": s.tick_us,
        "caps": {"maxAttempts": s.max_attempts, "mayDuplicate": s.may_duplicate, "cancel": s.may_cancel,
                 "probes": s.may_probe, "mayTell": s.may_tell, "retryAfter": s.retry_after,
                 "maxRetryAfterUs": s.max_retry_after_us, "dialTimeoutUs": s.dial_timeout_us},
        "registryMode": "ask" if s.must_ask else "push",
        "obligations": {"askWithinUs": s.ask_within_us, "graceToAnswerUs": s.answer_grace_us,
                        "drainGraceUs": s.drain_grace_us, "coldShare": s.cold_share, "coldUs": s.cold_us,
                        "fallMultiple": s.cold_multiple, "overloadForUs": s.cold_window_us},
        "classes": [{"name": c.name, "targetUs": c.aim_us, "deadlineUs": c.deadline_us, "worth": c.worth,
                     "effect": c.effect} for c in s.classes],
        "realms": [{"name": name} for name in tenants],
        "domain": {"messageAimUs": [c.message_aim_us for c in s.classes], "tellsDelay": s.tells_delay,
                   "tenantQuotaConnections": [t.connections for t in s.tenants]},
        "report": {"how": "probe" if s.reports else "none", "names": [NAMES.get(n, n) for n in s.reports]},
        "overShareWorth": s.over_share_worth,
        "tariffs": {"crossZone": s.price_cross_zone, "probe": s.price_probe, "peer": s.price_peer,
                    "moves": s.price_move}}
