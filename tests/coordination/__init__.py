"""Tests of the coordination: leases, overrides, drain permits, shared health checks and warm starts."""
