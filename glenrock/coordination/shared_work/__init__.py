"""What is done for all balancers: operators' overrides, and health checks that one makes and all hear of. Pure."""
