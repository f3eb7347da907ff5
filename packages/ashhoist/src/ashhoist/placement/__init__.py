"""Which adapter lives where, what is loaded next, and who waits for it."""

from .residency import Residency
from .wants import Want

__all__ = ["Residency", "Want"]
