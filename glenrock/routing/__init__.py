"""The routing decisions of a balancer for long-lived connections.

The package is pure: it reads no clock, does no I/O, and imports no other package of glenrock. It takes events
and the time as input, and returns actions, which the network code and the simulators execute. Only
`simulator_adapter`, a program for the simulator, reads standard input. docs/architecture.md lists the rules.
"""

from .balancer import Balancer

__all__ = ["Balancer"]
