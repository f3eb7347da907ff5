"""Messages between the instances of a deployment, grouped by subject."""

from .membership import Beat, InstanceList, InstanceListRequest, Introduction
from .notices import CrashesSeen, Leaving, WriteCrash
from .orders import (
    AppendClaimFor,
    Carried,
    Carry,
    ClaimAppended,
    ClaimsRead,
    ReadClaimsFor,
)
from .rates import (
    AskPermit,
    DrawTokens,
    LeaveShare,
    LimitsNamed,
    PermitAnswered,
    ReturnTokens,
    TokensDrawn,
)
from .records import AskProof, LargeRecordsNotice, Proven, Pull, Relay
from .requests import Ask, Declined, Granted, Uses, Waits, Withdraw
from .residency import Holds, HoldsChanged, Locate, Located

__all__ = [
    "LargeRecordsNotice",
    "AppendClaimFor",
    "Ask",
    "InstanceListRequest",
    "AskPermit",
    "AskProof",
    "Beat",
    "Carried",
    "Carry",
    "ClaimAppended",
    "ClaimsRead",
    "CrashesSeen",
    "Declined",
    "DrawTokens",
    "Granted",
    "Holds",
    "HoldsChanged",
    "InstanceList",
    "Introduction",
    "LeaveShare",
    "Leaving",
    "LimitsNamed",
    "Locate",
    "Located",
    "PermitAnswered",
    "Proven",
    "Pull",
    "ReadClaimsFor",
    "Relay",
    "ReturnTokens",
    "TokensDrawn",
    "Uses",
    "Waits",
    "Withdraw",
    "WriteCrash",
]
