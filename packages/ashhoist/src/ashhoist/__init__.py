"""A serving layer for very many LoRA adapters."""

from .clock import Clock, SystemClock
from .failures import Failure, Outcome, Reason, Step

__all__ = ["Clock", "Failure", "Outcome", "Reason", "Step", "SystemClock"]
