"""The work that balancers share: the replicated log of operators' overrides, and sharded health checks. Pure."""
