"""Talks to the platform's log service: appends and following streams."""

from .client import Follow, LogTask, StartAppend

__all__ = ["Follow", "LogTask", "StartAppend"]
