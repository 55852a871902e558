"""What balancers do together: leases, fences, overrides for all, drain limits, sharded health checks, warm starts.

Nothing here is loaded unless the operator's file is named (`fleet` in the configuration, or LB_FLEET).
Page: docs/fleet.md.
"""
