"""Talks to model engines; every assumption about their protocol stands here.

The protocol is written down in ``docs/peers.md``.
"""

from .client import EngineClient, order_body, parse_state

__all__ = ["EngineClient", "order_body", "parse_state"]
