"""Admission control for upstreams that get more requests than they can take."""

from .controller import AdmissionController
from .messages import (
    AdmissionRequest,
    Admitted,
    AttemptOutcome,
    Decision,
    Rejected,
    RequestKey,
)

__all__ = [
    "AdmissionController",
    "AdmissionRequest",
    "Admitted",
    "AttemptOutcome",
    "Decision",
    "Rejected",
    "RequestKey",
]
