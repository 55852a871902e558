"""Coordination among balancers: leases, replicated overrides, drain permits, sharded health checks, and warm starts.

It is imported only if the configuration names a coordination file (`fleet`, or LB_FLEET). Operators' guide:
docs/fleet.md.
"""
