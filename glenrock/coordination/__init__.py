"""The work that balancers share: leases, replicated overrides, drain permits, sharded health checks, and warm starts.

Imported only if the configuration names the coordination file (`fleet`, or LB_FLEET). Operators' page: docs/fleet.md.
"""
