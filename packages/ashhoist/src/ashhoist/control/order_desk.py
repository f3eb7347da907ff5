"""Where orders go: to the engine if this instance holds its zone's lease, else to
the instance that does.
"""

from dataclasses import replace

from ..adapter import Adapter
from ..clock import Clock
from ..logs import Logger
from ..orders import Order, OrderAnswer, OrderKind
from . import messages
from .order_leases import OrderLeases
from .outside import Outside
from .peers import Peers


class OrderDesk:
    """Carries orders of this instance, and of others for engines of its zones.

    Parameters
    ----------
    holder : str
        This machine as orders name it.
    """

    def __init__(
        self,
        own: str,
        holder: str,
        leases: OrderLeases,
        peers: Peers,
        outside: Outside,
        clock: Clock,
        log: Logger,
    ) -> None:
        self._own = own
        self._holder = holder
        self._leases = leases
        self._peers = peers
        self._outside = outside
        self._clock = clock
        self._log = log
        self._under_way = 0

    def reaches(self, zone: str) -> bool:
        """Return whether orders for a zone's engines can be sent now."""
        holder = self._leases.holder(zone)
        if holder is None:
            return False
        if holder == self._own:
            return self._leases.fence(zone) is not None
        peer = self._peers.by_name.get(holder)
        return peer is not None and peer.is_fresh(self._clock.monotonic())

    def may_send(self, order: Order) -> bool:
        """Return whether an order's fence holds; asked right before it leaves."""
        return self._leases.fence(order.zone) == order.fence

    def send(self, order: Order) -> OrderAnswer | None:
        """Send an order of this instance on its way.

        Returns
        -------
        OrderAnswer or None
            `NOT_SENT` if it can't be sent; else the answer comes later.
        """
        holder = self._leases.holder(order.zone)
        if holder == self._own:
            return self._order(replace(order, origin=self._own))
        if holder is None:
            return OrderAnswer.NOT_SENT
        carry = messages.Carry(
            order.number,
            order.upstream,
            order.address,
            order.zone,
            order.kind,
            order.adapter.model,
            order.adapter.name,
            order.expected,
            order.version or 0,
        )
        sent = self._outside.send_to(holder, carry)
        return None if sent else OrderAnswer.NOT_SENT

    def _order(self, order: Order) -> OrderAnswer | None:
        fence = self._leases.fence(order.zone)
        if fence is None:
            return OrderAnswer.NOT_SENT
        self._under_way += 1
        self._outside.order(replace(order, holder=self._holder, fence=fence))
        return None

    @property
    def quiet(self) -> bool:
        """Return whether no order of this machine is under way."""
        return not self._under_way

    def ended(self, order: Order, answer: OrderAnswer) -> None:
        """Note that an order of this machine has been answered, or is lost."""
        self._under_way -= 1
        if answer not in (OrderAnswer.UNKNOWN, OrderAnswer.NOT_SENT):
            return
        self._log.warning(
            "order without answer",
            upstream=order.upstream,
            zone=order.zone,
            number=order.number,
            origin=order.origin,
            token=order.fence,
            token_now=self._leases.fence(order.zone),
            answer=answer,
        )

    def carry(self, peer: str, message: messages.Carry) -> None:
        """Carry an order that another instance has decided on."""
        order = Order(
            message.upstream,
            message.address,
            OrderKind(message.kind),
            Adapter(message.model, message.name),
            message.expected,
            message.version or None,
            message.zone,
            message.number,
            peer,
        )
        answer = self._order(order)
        if answer is not None:
            self.answered(order, answer)

    def answered(self, order: Order, answer: OrderAnswer) -> None:
        """Tell the instance that decided on an order how it ended."""
        carried = messages.Carried(order.number, order.upstream, answer)
        self._outside.send_to(order.origin, carried)
