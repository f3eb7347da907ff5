"""Routes orders (commands to load or unload adapters) to engines.

An order goes to the engine directly if this instance holds the lease of the engine's
zone, and otherwise through the instance that does.
"""

from dataclasses import replace

from ..adapter import Adapter
from ..clock import Clock
from ..logs import Logger
from ..orders import Order, OrderAnswer, OrderKind
from . import messages
from .effects import Effects
from .order_leases import OrderLeases
from .peers import Peers


class OrderRouter:
    """Sends this instance's orders, and forwards those of others to its zones' engines.

    Parameters
    ----------
    holder : str
        Identifies this machine in orders.
    """

    def __init__(
        self,
        own: str,
        holder: str,
        leases: OrderLeases,
        peers: Peers,
        effects: Effects,
        clock: Clock,
        log: Logger,
    ) -> None:
        self._own = own
        self._holder = holder
        self._leases = leases
        self._peers = peers
        self._effects = effects
        self._clock = clock
        self._log = log
        self._in_progress = 0

    def reaches(self, zone: str) -> bool:
        """Return whether orders for a zone's engines can be sent now."""
        holder = self._leases.holder(zone)
        if holder is None:
            return False
        if holder == self._own:
            return self._leases.fence(zone) is not None
        peer = self._peers.by_name.get(holder)
        return peer is not None and peer.is_recent(self._clock.monotonic())

    def may_send(self, order: Order) -> bool:
        """Return whether an order's fence is valid; called right before it is sent."""
        return self._leases.fence(order.zone) == order.fence

    def send(self, order: Order) -> OrderAnswer | None:
        """Send an order of this instance to the engine or to the lease holder.

        Returns
        -------
        OrderAnswer or None
            `NOT_SENT` if it can't be sent; None if the answer arrives later.
        """
        holder = self._leases.holder(order.zone)
        if holder == self._own:
            return self._send_to_engine(replace(order, origin=self._own))
        if holder is None:
            return OrderAnswer.NOT_SENT
        forwarded = messages.OrderForward(
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
        sent = self._effects.send_to(holder, forwarded)
        return None if sent else OrderAnswer.NOT_SENT

    def _send_to_engine(self, order: Order) -> OrderAnswer | None:
        fence = self._leases.fence(order.zone)
        if fence is None:
            return OrderAnswer.NOT_SENT
        self._in_progress += 1
        self._effects.order(replace(order, holder=self._holder, fence=fence))
        return None

    @property
    def is_idle(self) -> bool:
        """Return whether no order of this machine is in progress."""
        return not self._in_progress

    def ended(self, order: Order, answer: OrderAnswer) -> None:
        """Record that an order sent by this machine has been answered, or is lost."""
        self._in_progress -= 1
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

    def forward(self, peer: str, message: messages.OrderForward) -> None:
        """Forward an order of another instance to the engine."""
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
        answer = self._send_to_engine(order)
        if answer is not None:
            self.answered(order, answer)

    def answered(self, order: Order, answer: OrderAnswer) -> None:
        """Send the outcome of a forwarded order to the instance that issued it."""
        outcome = messages.OrderForwardResult(order.number, order.upstream, answer)
        self._effects.send_to(order.origin, outcome)
