"""Talks to model engines; every assumption about their protocol stands here.

The protocol is written down in ``docs/peers.md``.
"""

from .client import EngineClient, parse_state

__all__ = ["EngineClient", "parse_state"]
