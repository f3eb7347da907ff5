"""Talks to the other instances: one websocket link for each pair."""

from ..links import news
from .links import Links, Peers

__all__ = ["Links", "Peers", "news"]
