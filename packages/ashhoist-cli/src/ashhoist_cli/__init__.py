"""Command line and HTTP client for operators and callers of ashhoist."""

from .client import Answer, Client

__all__ = ["Answer", "Client"]
