"""Tests of the coordination: leases, overrides, drain permits, sharded health checks and warm starts."""
