"""The links between instances, on the event loop: one websocket for each pair."""

from . import news
from .links import Links

__all__ = ["Links", "news"]
