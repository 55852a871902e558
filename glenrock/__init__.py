"""glenrock: a balancer for long-lived connections, on real sockets, round the routing decisions."""
