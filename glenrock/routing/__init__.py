"""The routing decisions of a balancer for long-lived connections.

Pure: no clock, no I/O, and nothing else of glenrock is imported. Events go in with the time, actions come
    out; the network code and the simulators carry them out. Policy modules decide, the others keep records or
    work out figures; the design note (docs/notes/readable.md) draws the line.
"""

from .balancer import Balancer

__all__ = ["Balancer"]
