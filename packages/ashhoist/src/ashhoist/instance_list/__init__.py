"""Talks to the platform's instance list."""

from .client import InstanceListTask

__all__ = ["InstanceListTask"]
