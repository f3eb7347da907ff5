"""Admission control for upstreams that get more requests than they can take."""

from .messages import (
    AdmissionRequest,
    Admitted,
    AttemptOutcome,
    Decision,
    Rejected,
    RequestKey,
)

__all__ = [
    "AdmissionRequest",
    "Admitted",
    "AttemptOutcome",
    "Decision",
    "Rejected",
    "RequestKey",
]
