"""Handling of callers' requests: admission, upstream choice, attempts and response."""

from .budget import RetryBudget
from .call import Call, TokenCounts
from .handler import Handler
from .header_names import HeaderNames

__all__ = [
    "Call",
    "HeaderNames",
    "Handler",
    "RetryBudget",
    "TokenCounts",
]
