"""The policies of a simulation: the routing decisions that serve, and the reference policies they are compared with.

All take the events and return the actions of `glenrock.routing.interface`.
"""

from __future__ import annotations

from collections.abc import Callable

from glenrock.routing import interface

from ..model.balancer import Policy
from . import choices, module, oracle, prequal

PolicyFactory = Callable[[interface.Settings, int], Policy]

POLICIES: dict[str, tuple[PolicyFactory, str]] = {
    "glenrock": (module.Balancer, "the decision module as it serves"),
    "random": (choices.Random, "any instance that is ready, evenly"),
    "round_robin": (choices.RoundRobin, "each in turn, from a start drawn by each balancer"),
    "least": (choices.LeastConnections, "the one with the fewest connections of this balancer's own"),
    "two_choices": (choices.TwoChoices, "of two drawn, the one with fewer connections of its own (Mitzenmacher)"),
    "weighted": (choices.WeightedRandom, "drawn by the room that load reports show; reports are asked evenly"),
    "join_idle": (choices.JoinIdle, "one known to be idle, else drawn (Lu et al., 2011)"),
    "prequal": (prequal.Prequal, "a pool of probes, hot and cold (Wydrowski et al., NSDI 2024)"),
    "oracle": (oracle.Oracle, "a yardstick: sees the true state of all instances and links"),
}


def policy_factory(name: str) -> PolicyFactory:
    """Returns what builds a policy. Raises KeyError for an unknown name."""
    return POLICIES[name][0]
