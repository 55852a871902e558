"""Token budgets: the first attempts of clients earn tokens, and acts that have a cost spend them."""

from __future__ import annotations

from .gossip_codec import MAX_BYTES
from .interface import Settings

MIN_COST = 1e-4  # bounds a division

HEALTH_CHECK_BUDGET = 0.016  # fraction of the platform's result that health checks may cost
INITIAL_HEALTH_CHECKS = 10.0
MAX_HEALTH_CHECKS = 60.0  # saved up

HEALTH_CONNECTION_LIFETIME_US = 8_000_000  # after a check; `HEALTH_CHECK_IDLE_TIMEOUT_MS` of net is the same
CONNECTIONS_EARNED = 1.0  # per first attempt, so that health checks open no more connections than clients
MAX_CONNECTIONS = 64.0  # at the start, and saved up

GOSSIP_BUDGET = 0.004  # fraction of the platform's result that gossip may cost
INITIAL_GOSSIP_BYTES = 1024.0  # times receivers
MAX_SUMMARIES = 64.0  # saved up, per balancer


class TokenBudget:
    """Tokens, of which at most `maximum` are saved up."""

    def __init__(self, initial: float, earned: float, maximum: float) -> None:
        self.tokens = initial
        self._earned = earned
        self._maximum = maximum

    def earn(self) -> None:
        """Adds the tokens that a client's first attempt earns."""
        self.tokens = min(self._maximum, self.tokens + self._earned)

    def try_spend(self, cost: float) -> bool:
        """Spends tokens. Returns False, and spends none, if there are too few."""
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


def health_check_budget(settings: Settings) -> TokenBudget:
    """Returns the budget of health checks. A token pays for one check."""
    earned = HEALTH_CHECK_BUDGET / max(settings.health_check_cost, MIN_COST)
    return TokenBudget(INITIAL_HEALTH_CHECKS, earned, MAX_HEALTH_CHECKS)


def health_connection_budget() -> TokenBudget:
    """Returns the budget of a large fleet's health check connections. A token pays for a new one."""
    return TokenBudget(MAX_CONNECTIONS, CONNECTIONS_EARNED, MAX_CONNECTIONS)


def gossip_budget(settings: Settings) -> TokenBudget:
    """Returns the budget of gossip. A token pays for one byte to one receiver."""
    earned = MAX_BYTES * GOSSIP_BUDGET / max(settings.gossip_cost, MIN_COST)
    return TokenBudget(INITIAL_GOSSIP_BYTES, earned, MAX_SUMMARIES * MAX_BYTES * settings.balancers)
