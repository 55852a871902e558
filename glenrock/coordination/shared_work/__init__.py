"""Work that is shared among balancers: the replicated log of operators' overrides, and sharded health checks. Pure."""
