"""Handling of callers' requests: admission, upstream choice, attempts and response."""

from .budget import RetryBudget
from .call import Call, TokenCounts
from .dialect import Dialect
from .handler import Handler

__all__ = [
    "Call",
    "Dialect",
    "Handler",
    "RetryBudget",
    "TokenCounts",
]
