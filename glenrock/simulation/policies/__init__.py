"""The policies of a simulation: the production routing, and the reference policies that it is compared with.

All of them take the events and return the actions of `glenrock.routing.interface`.
"""

from __future__ import annotations

from collections.abc import Callable

from glenrock.routing import interface

from ..model.balancer import Policy
from . import choices, module, oracle, prequal

PolicyFactory = Callable[[interface.Settings, int], Policy]

POLICIES: dict[str, tuple[PolicyFactory, str]] = {
    "glenrock": (module.Balancer, "the production routing"),
    "random": (choices.Random, "any ready server, with equal probability"),
    "round_robin": (choices.RoundRobin, "each server in turn, from a random start per balancer"),
    "least": (choices.LeastConnections, "the server with the fewest connections of this balancer"),
    "two_choices": (
        choices.TwoChoices,
        "of two random servers, the one with fewer connections of this balancer (Mitzenmacher, 2001)",
    ),
    "weighted": (choices.WeightedRandom, "random, in proportion to the free capacity in load reports"),
    "join_idle": (choices.JoinIdle, "a server known to be idle, else a random one (Lu et al., 2011)"),
    "prequal": (prequal.Prequal, "a pool of health-check results, hot and cold (Wydrowski et al., NSDI 2024)"),
    "oracle": (oracle.Oracle, "a reference that reads the true state of all servers and links"),
}


def policy_factory(name: str) -> PolicyFactory:
    """Returns the factory of a policy. Raises KeyError for an unknown name."""
    return POLICIES[name][0]
