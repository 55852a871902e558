"""glenrock: a balancer for long-lived connections, with a simulator and a testbed."""
