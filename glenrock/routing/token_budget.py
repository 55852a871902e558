"""Budgets that first attempts of clients pay into, and that acts with a price are paid from."""

from __future__ import annotations

from .gossip_codec import MAX_BYTES
from .interface import Settings

MIN_COST = 1e-4  # a cost below this is taken for this much

HEALTH_CHECK_BUDGET = 0.016  # part of the result that health checks may take
INITIAL_HEALTH_CHECKS, MAX_HEALTH_CHECKS = 10.0, 60.0  # at the start; saved up

LARGE_FLEET = 128  # servers: more than a process keeps connections for health checks to
IDLE_HEALTH_CONNECTION_US = 8_000_000  # such a connection is kept this long after a check
CONNECTIONS_EARNED = 1.0  # by a first attempt: no more are made for health checks than for clients
MAX_CONNECTIONS = 64.0  # at the start, and saved up

GOSSIP_BUDGET = 0.004  # part of the result that summaries may take
INITIAL_GOSSIP_BYTES = 1024.0  # times receivers
MAX_SUMMARIES = 64.0  # saved up, to each balancer


class TokenBudget:
    """Tokens that may be spent; never more than `most` are saved up."""

    def __init__(self, initial: float, earned: float, most: float) -> None:
        self.tokens = initial
        self._earned = earned
        self._most = most

    def earn(self) -> None:
        """A client's first attempt pays in."""
        self.tokens = min(self._most, self.tokens + self._earned)

    def try_spend(self, cost: float) -> bool:
        """Takes the cost, where there is enough; False where there is not."""
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


def health_check_budget(settings: Settings) -> TokenBudget:
    """A token is a health check."""
    earned = HEALTH_CHECK_BUDGET / max(settings.health_check_cost, MIN_COST)
    return TokenBudget(INITIAL_HEALTH_CHECKS, earned, MAX_HEALTH_CHECKS)


def health_connection_budget() -> TokenBudget:
    """A token is a new connection for health checks, where there are too many servers to keep one to each."""
    return TokenBudget(MAX_CONNECTIONS, CONNECTIONS_EARNED, MAX_CONNECTIONS)


def gossip_budget(settings: Settings) -> TokenBudget:
    """A token is a byte to one receiver."""
    earned = MAX_BYTES * GOSSIP_BUDGET / max(settings.gossip_cost, MIN_COST)
    return TokenBudget(INITIAL_GOSSIP_BYTES, earned, MAX_SUMMARIES * MAX_BYTES * settings.balancers)
