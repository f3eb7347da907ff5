"""Weights of customers in the queues of contended services."""

from collections.abc import Iterable

from ..customers import Customer
from ..routing import RouteTable
from ..routing.active_configuration import ActiveConfiguration

DEFAULT_WEIGHT = 1.0
MIN_QUOTA_WEIGHT = 0.001
"""Weight of a customer whose quota allows nothing: a fair queue divides by it."""


class CustomerWeights:
    """The weights of customers in the queue of a service, from the configuration."""

    def __init__(self, active_configuration: ActiveConfiguration) -> None:
        self._active_configuration = active_configuration
        self._table: RouteTable | None = None
        self._weight_by_name: dict[str, float] = {}
        self._mean = DEFAULT_WEIGHT
        self._largest = DEFAULT_WEIGHT

    def weight(self, customer: str) -> float:
        """Return a customer's weight: its quota's rate in plain requests per second.

        It is the mean of the others for a customer without a quota. Requests without a
        customer come from any number of callers of public routes. Together, they have
        the weight of the largest customer.
        """
        table = self._active_configuration.table
        if table is not self._table and table is not None:
            self._table = table
            self._update(table.customers.by_name.values())
        if not customer:
            return self._largest
        return self._weight_by_name.get(customer, self._mean)

    def _update(self, customers: Iterable[Customer]) -> None:
        self._weight_by_name = {}
        for customer in customers:
            if customer.quota is None:
                continue
            # Rates in tokens and in requests are made comparable.
            charge = customer.quota.charge(0) or 1.0
            weight = max(customer.quota.rate / charge, MIN_QUOTA_WEIGHT)
            self._weight_by_name[customer.name] = weight
        weights = self._weight_by_name.values()
        self._mean = sum(weights) / len(weights) if weights else DEFAULT_WEIGHT
        self._largest = max(weights, default=DEFAULT_WEIGHT)
