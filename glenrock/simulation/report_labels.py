"""Labels of the keys of `summary.json`, as the commands print them and reports show them.

A key without a label is shown as it is.
"""

from __future__ import annotations

MEASURE_LABELS = {
    "worth.goal": "goal: weighted mean of worths less costs",
    "worth.whole": "worth of the whole run",
    "worth.worst_window": "worth in the worst 10 s",
    "worth.worst_class": "worth of the worst request class",
    "worth.worst_tenant": "worth of the worst tenant",
    "fairness": "fairness over tenants (Jain's index)",
    "per_client.attempts": "attempts per client",
    "per_client.refused": "rejections per client",
    "per_client.failed": "failed requests per client",
    "per_client.broken": "broken connections per client",
    "per_client.moved": "migrations per client",
    "per_client.probes": "health checks per client",
    "per_client.peer_bytes": "gossip bytes per client",
    "crossing_part": "fraction of connection time across zones",
    "rules_broken": "invariant violations",
    "clock.cpu_us_per_event": "CPU time of routing per event (us)",
    "clock.balancer_bytes": "routing state of a balancer (bytes)",
}
"""Labels of the measures that sweeps and comparisons report, by path in the summary."""

VIOLATION_LABELS = {
    "answered": "requests without exactly one final answer in time",
    "repeated": "requests with two attempts at once",
    "drained": "attempts at draining or stopped servers after the grace period",
    "cold": "servers overloaded while warming up",
    "cut off": "connections to a working server that ended without MOVE",
    "cut_off": "connections to a working server that ended without MOVE",
    "valid_answer": "answers that violate the protocol",
    "executed_again": "repeated executions that the request's idempotency does not allow",
    "rejected_after_execution": "requests rejected with BUSY that may have been executed",
    "forwarded": "requests forwarded for clients that had left",
    "half_request": "connections left open after an incomplete request line",
    "crash": "unexpected errors in the logs of balancers",
    "terms": "effects accepted out of the order of lease terms",
    "tickets": "drains in excess of the drain permits",
    "banned": "attempts at suspended servers",
    "agreed": "balancers with different overrides at the end",
}
"""What a violation of each invariant is, by the invariant's key in `rules`."""

COUNT_LABELS = {
    "clients": "clients",
    "tries": "requests sent by clients",
    "attempts": "attempts at servers",
    "set_up": "connections established",
    "refused": "requests rejected",
    "failed": "requests failed",
    "overdue": "requests without an answer in time",
    "unreachable": "requests that reached no balancer",
    "broken": "connections broken",
    "moved": "connections migrated",
    "probes": "health checks",
    "peer_bytes": "gossip (bytes)",
    "crossings": "connections established across zones",
    "left": "requests abandoned by impatient clients",
    "shed": "connections shed by overloaded servers",
    "held_back": "requests rejected late and without an attempt",
    "list_calls": "calls to discovery",
    "list_refused": "calls rejected by discovery",
    "datagrams": "gossip datagrams delivered",
    "datagrams_lost": "gossip datagrams lost",
}

COST_LABELS = {
    "wall_s": "duration of the run (s)",
    "cpu_s": "CPU time of the process of the run (s)",
    "handle_s": "CPU time of routing decisions (s)",
    "handle_part": "routing decisions' fraction of the CPU time",
    "decided_events": "events handled by routing decisions",
    "cpu_us_per_event": "CPU time of routing decisions per event (us)",
    "cpu_us_per_client": "CPU time of routing decisions per client (us)",
    "requests_per_core_hour": "requests per hour of CPU time outside routing decisions",
    "balancer_bytes": "routing state of a balancer (bytes)",
    "cores": "CPU cores of the machine",
    "events": "recorded events",
}
"""Labels of the keys of `clock`."""

PRICE_LABELS = {
    "crossings": "connection time across zones",
    "probes": "health checks",
    "moves": "migrations",
    "peers": "gossip",
}
"""Labels of the keys of `prices`, the costs that are subtracted from the goal."""

FAULT_LABELS = {
    "crash": "crash of servers",
    "zone_cut": "partition of a zone",
    "balancer_roll": "rolling restart of balancers",
    "reconnect": "mass reconnect",
    "slow": "slow servers",
    "discovery_silence": "discovery without updates",
    "stale_list": "stale endpoint lists",
    "flash_crowd": "flash crowd",
    "tenant_flood": "flood from one tenant",
    "drains": "deployment with drains",
    "peer_loss": "gossip loss",
    "errs": "server errors",
    "by_hand": "server suspended and restarted",
    "send_away": "balancer drained by operators",
    "kill": "balancer killed",
    "stop": "balancer stopped",
    "pause": "balancer paused",
    "squeeze": "balancer short of CPU",
    "instance_kill": "crash of a server",
    "drain": "server drained",
    "list_fault": "fault of discovery",
    "way": "fault of a network path",
    "store_fault": "fault of the coordination store",
    "ban": "override of a server",
    "ticket": "balancer drained",
    "strikes": "random faults",
}
"""Labels of the kinds of faults in experiments and scenarios."""

HISTOGRAM_LABELS = {"messages": "messages on open connections", "refusals": "until a rejection"}
SETUP_PREFIX = "setup "


def histogram_label(key: str) -> str:
    """Returns the label of a histogram, by its key in `histograms.json`."""
    if key.startswith(SETUP_PREFIX):
        return f"connection setup, class {key.removeprefix(SETUP_PREFIX)}"
    return HISTOGRAM_LABELS.get(key, key)
