"""Token budgets: each client's first attempt adds tokens, and actions that have a cost spend them."""

from __future__ import annotations

from .gossip_codec import MAX_BYTES
from .interface import Settings

MIN_COST = 1e-4  # lower bound of a divisor

HEALTH_CHECK_BUDGET = 0.016  # cost of health checks per client, as a fraction of the value of serving it
INITIAL_HEALTH_CHECK_TOKENS = 10.0
MAX_HEALTH_CHECK_TOKENS = 60.0

HEALTH_CONNECTION_LIFETIME_US = (
    8_000_000  # after the last check; the same as `HEALTH_CHECK_IDLE_TIMEOUT_MS` of net
)
CONNECTION_TOKENS_PER_ATTEMPT = 1.0  # so that health checks open no more connections than clients do
MAX_CONNECTION_TOKENS = 64.0  # also the number of tokens at the start

GOSSIP_BUDGET = 0.004  # cost of gossip per client, as a fraction of the value of serving it
INITIAL_GOSSIP_TOKENS = 1024.0  # bytes, summed over the receivers
MAX_SAVED_SUMMARIES = 64.0  # of the maximum size, per balancer


class TokenBudget:
    """A token bucket with at most `maximum` tokens.

    Attributes:
        tokens: tokens that can be spent.
    """

    def __init__(self, initial: float, tokens_per_attempt: float, maximum: float) -> None:
        self.tokens = initial
        self._tokens_per_attempt = tokens_per_attempt
        self._maximum = maximum

    def refill(self) -> None:
        """Adds the tokens for a client's first attempt."""
        self.tokens = min(self._maximum, self.tokens + self._tokens_per_attempt)

    def try_spend(self, cost: float) -> bool:
        """Spends `cost` tokens and returns True; returns False, and spends none, if there are too few."""
        if self.tokens < cost:
            return False
        self.tokens -= cost
        return True


def health_check_budget(settings: Settings) -> TokenBudget:
    """Returns the budget of health checks. A token pays for one check."""
    tokens_per_attempt = HEALTH_CHECK_BUDGET / max(settings.health_check_cost, MIN_COST)
    return TokenBudget(INITIAL_HEALTH_CHECK_TOKENS, tokens_per_attempt, MAX_HEALTH_CHECK_TOKENS)


def health_connection_budget() -> TokenBudget:
    """Returns the budget of a large fleet's health check connections. A token pays for a new one."""
    return TokenBudget(MAX_CONNECTION_TOKENS, CONNECTION_TOKENS_PER_ATTEMPT, MAX_CONNECTION_TOKENS)


def gossip_budget(settings: Settings) -> TokenBudget:
    """Returns the budget of gossip. A token pays for one byte to one receiver."""
    tokens_per_attempt = MAX_BYTES * GOSSIP_BUDGET / max(settings.gossip_cost, MIN_COST)
    return TokenBudget(
        INITIAL_GOSSIP_TOKENS, tokens_per_attempt, MAX_SAVED_SUMMARIES * MAX_BYTES * settings.balancers
    )
