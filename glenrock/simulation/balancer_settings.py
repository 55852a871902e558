"""The settings of the balancers of an experiment."""

from __future__ import annotations

from glenrock.routing import interface

from .spec_tables import Class, Experiment
from .spec_types import drawn_count, drawn_number


def make_settings(experiment: Experiment, index: int, zone: str, quotas: tuple[float, ...]) -> interface.Settings:
    """Returns the settings of a balancer.

    Args:
        experiment: the experiment, with its ranges already drawn.
        index: index of the balancer.
        zone: zone of the balancer.
        quotas: quota of each tenant, in connections.
    """
    platform, rules = experiment.platform, experiment.rules
    return interface.Settings(
        classes=tuple(_request_class(class_) for class_ in experiment.classes),
        tenants=tuple(
            interface.Tenant(tenant.name, quota) for tenant, quota in zip(experiment.tenants, quotas, strict=True)
        ),
        zone=zone,
        index=index,
        balancers=drawn_count(experiment.fleet.balancers),
        tick_us=max(1, _to_us(platform.tick_ms)),
        max_attempts=platform.max_attempts,
        may_cancel=platform.may_cancel,
        may_health_check=platform.may_probe,
        may_gossip=platform.may_tell,
        may_send_retry_after=platform.retry_after,
        max_retry_after_us=_to_us(platform.max_retry_after_ms),
        connect_timeout_us=_to_us(platform.dial_timeout_ms),
        must_poll_endpoints=experiment.discovery.mode == "ask",
        answer_grace_us=_to_us(rules.answer_grace_ms),
        drain_grace_us=_to_us(rules.drain_grace_ms),
        slow_start_initial_fraction=rules.cold_share,
        slow_start_us=round(rules.cold_s * 1000 * 1000),
        slow_start_multiple=rules.cold_multiple,
        slow_start_window_us=_to_us(rules.cold_window_ms),
        over_quota_weight=platform.over_share_worth,
        load_report_fields=experiment.reports.names,
        has_message_delay_reports=experiment.reports.delay_told,
        cross_zone_cost=platform.price_cross_zone,
        health_check_cost=platform.price_probe,
        gossip_cost=platform.price_peer,
        migration_cost=platform.price_move,
    )


def _request_class(class_: Class) -> interface.RequestClass:
    return interface.RequestClass(
        class_.name, _to_us(class_.aim_ms), _to_us(class_.give_up_ms), _to_us(class_.message_aim_ms), class_.worth
    )


def _to_us(milliseconds: float | tuple[float, ...]) -> int:
    return round(drawn_number(milliseconds) * 1000)
