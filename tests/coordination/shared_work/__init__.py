"""Tests of the work that is shared among balancers: the override log, and sharded health checks."""
