"""Talks to plain services: any method, any body, passed on as it is."""

from .client import ServiceClient

__all__ = ["ServiceClient"]
