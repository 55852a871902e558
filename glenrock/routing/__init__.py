"""The routing decisions of a balancer for long-lived connections.

The package is pure: it has no clock, does no I/O, and imports nothing else of glenrock. Events and the time
go in, actions come out; the network code and the simulators carry the actions out. Only `simulator_adapter`,
a program for the simulator, reads standard input. docs/architecture.md lists the rules.
"""

from .balancer import Balancer

__all__ = ["Balancer"]
