"""wheatrouter: the decisions of a balancer for long-lived connections."""

from .rules import Balancer

__all__ = ["Balancer"]
__version__ = "0.1.0"
