"""Customers: their keys, how long known keys stay valid, and their quotas."""

from .allowance import Allowances, Standing
from .customer import Customer, CustomerTable, Quota, QuotaUnit, digest, short_digest
from .granter import Grant, Granter, QuotaBounds
from .proof import Proof

__all__ = [
    "Allowances",
    "Customer",
    "CustomerTable",
    "Grant",
    "Granter",
    "Proof",
    "Quota",
    "QuotaBounds",
    "QuotaUnit",
    "Standing",
    "digest",
    "short_digest",
]
