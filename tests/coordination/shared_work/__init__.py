"""Tests of the work that balancers share: the override log, and health-check shards."""
