"""Outcomes of an operator's call other than success. Imports nothing, so that every package may raise them."""

from __future__ import annotations


class OperationError(Exception):
    """An operator's call did not take effect at every balancer.

    Attributes:
        reason: one line for the operator, without a line feed.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class OperationRejectedError(OperationError):
    """The call is not carried out; the operator may repeat it."""


class OperationPendingError(OperationError):
    """The call is stored and applied at this balancer; the other balancers follow without another call."""
