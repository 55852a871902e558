"""glenrock: a balancer for long-lived connections, with its simulation and its testbed."""
