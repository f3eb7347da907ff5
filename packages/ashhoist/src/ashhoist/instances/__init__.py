"""Talks to the other instances: one websocket link for each pair."""

from .links import Links

__all__ = ["Links"]
