"""A caller's request on its way: entry, choice, attempts, answer."""

from .budget import RetryBudget
from .call import Call, Sizes
from .dialect import Dialect
from .handler import Handler

__all__ = [
    "Call",
    "Dialect",
    "Handler",
    "RetryBudget",
    "Sizes",
]
