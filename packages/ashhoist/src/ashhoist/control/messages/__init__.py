"""Messages between the instances of a deployment, grouped by subject."""

from .admissions import (
    AdmissionCancelled,
    AdmissionEnded,
    AdmissionGrant,
    AdmissionQuery,
    AdmissionQueued,
    AdmissionRefusal,
    ContentionNotice,
    OverloadReport,
)
from .forwarding import ForwardingCandidates, ForwardingNotice, ForwardingQuery
from .membership import Heartbeat, InstanceList, InstanceListRequest, Introduction
from .notices import (
    CrashNotice,
    CrashWriteRequest,
    DepartureNotice,
    RejectionNotice,
)
from .orders import (
    ClaimAppendRequest,
    ClaimAppendResponse,
    ClaimsReadRequest,
    ClaimsReadResponse,
    OrderForward,
    OrderForwardResult,
)
from .rates import (
    PermitQuery,
    PermitResponse,
    RateLimitNotice,
    ReturnTokens,
    ShareDelegation,
    TokenGrant,
    TokenRequest,
)
from .records import LargeRecordsNotice, ProofRequest, ProofResponse, Pull, Relay
from .requests import (
    EngineUses,
    PlacementDeclined,
    PlacementGranted,
    PlacementQuery,
    PlacementQueryCancel,
    PlacementQueued,
)
from .residency import (
    AdapterLocationRequest,
    AdapterLocations,
    EngineAdapters,
    EngineAdaptersChanged,
)
from .streams import (
    RecentVersions,
    StreamsBegan,
    StreamVersionQuery,
    StreamVersionResponse,
)

__all__ = [
    "AdmissionCancelled",
    "AdmissionEnded",
    "AdmissionGrant",
    "AdmissionQuery",
    "AdmissionQueued",
    "AdmissionRefusal",
    "ContentionNotice",
    "OverloadReport",
    "LargeRecordsNotice",
    "ClaimAppendRequest",
    "PlacementQuery",
    "InstanceListRequest",
    "PermitQuery",
    "ProofRequest",
    "ForwardingCandidates",
    "ForwardingNotice",
    "ForwardingQuery",
    "Heartbeat",
    "OrderForwardResult",
    "OrderForward",
    "ClaimAppendResponse",
    "ClaimsReadResponse",
    "CrashNotice",
    "PlacementDeclined",
    "TokenRequest",
    "PlacementGranted",
    "EngineAdapters",
    "EngineAdaptersChanged",
    "InstanceList",
    "Introduction",
    "ShareDelegation",
    "DepartureNotice",
    "RateLimitNotice",
    "RejectionNotice",
    "AdapterLocationRequest",
    "AdapterLocations",
    "PermitResponse",
    "ProofResponse",
    "Pull",
    "ClaimsReadRequest",
    "Relay",
    "ReturnTokens",
    "TokenGrant",
    "EngineUses",
    "PlacementQueued",
    "PlacementQueryCancel",
    "CrashWriteRequest",
    "RecentVersions",
    "StreamVersionQuery",
    "StreamVersionResponse",
    "StreamsBegan",
]
