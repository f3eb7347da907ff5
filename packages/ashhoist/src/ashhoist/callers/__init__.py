"""Talks to callers: the HTTP that the ecosystem's clients speak already."""

from .app import CallersApp

__all__ = ["CallersApp"]
