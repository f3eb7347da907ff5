"""Talks to operators: the resource interface."""

from .app import OperatorsApp

__all__ = ["OperatorsApp"]
