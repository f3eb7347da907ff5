"""Maintains proof that the configuration known here is current, and shares it.

An instance that reads the log gets proof from each read. All instances ask the leader
at each of its heartbeats, which is also how they cede their shares of quotas to it. If
the leader does not help, others are asked in turn: those that read the log, hubs, then
any instance. As the last resort, the log itself is read.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ..clock import ZERO, Clock
from ..customers import Proof
from ..logs import Logger
from ..store import Position, Topic
from .effects import Effects
from .hubs import Hubs
from .messages import ProofRequest, ProofResponse
from .peers import Peers
from .replica import Replica

MICROSECOND = timedelta(microseconds=1)
ASK_OTHERS_AFTER = timedelta(milliseconds=1800)
"""Proof of this age shows that the leader does not help: the leader's own proof is at
most half a second old, and it is asked at each of its heartbeats, every half second."""
ASK_INTERVAL = timedelta(milliseconds=400)
"""Time until the next instance is asked: many round trips between zones."""
READ_BEFORE_EXPIRY = timedelta(milliseconds=1500)
"""Time before proof expires at which the log is read: a call that hangs takes 1.2 s."""
READ_INTERVAL = timedelta(milliseconds=700)
"""Minimum time between two reads of the log as the last resort."""


class Proofs:
    """Renews the proof of this instance, and answers requests for it.

    Parameters
    ----------
    wanted : callable
        Returns whether proof is needed: the configuration has customers with keys.
    delegated_since : callable
        Takes an instance; returns the `ProofRequest.delegated_since` to send to it.
    catch_up : callable
        Takes an instance and the offset up to which it knows the configuration; called
        when that is ahead of this instance.
    tell : callable
        Takes the name of an instance and a message for it.
    """

    def __init__(
        self,
        proof: Proof,
        replica: Replica,
        peers: Peers,
        hubs: Hubs,
        effects: Effects,
        wanted: Callable[[], bool],
        delegated_since: Callable[[str], int],
        catch_up: Callable[[str, Position], None],
        tell: Callable[[str, Any], None],
        clock: Clock,
        log: Logger,
    ) -> None:
        self._proof = proof
        self._replica = replica
        self._peers = peers
        self._hubs = hubs
        self._effects = effects
        self._wanted = wanted
        self._delegated_since = delegated_since
        self._catch_up = catch_up
        self._tell = tell
        self._clock = clock
        self._log = log
        self._asked_others_at = ZERO
        self._log_read_at = ZERO
        self._next_candidate = 0
        self._pending_proof: ProofResponse | None = None
        self._was_held = True

    # Proof received

    def read(self, asked_at: timedelta) -> None:
        """Record that a read of the log has returned the whole configuration."""
        self._proof.prove(asked_at)

    def handle_response(self, peer: str, proven: ProofResponse) -> None:
        """Use another instance's proof, once its configuration is known here too."""
        if self._knows_as_much(proven):
            self._prove(proven)
            return
        self._pending_proof = proven
        self._catch_up(peer, Position(proven.offset))

    def _knows_as_much(self, proven: ProofResponse) -> bool:
        return self._replica.known_up_to(Topic.CONFIGURATION) >= proven.offset

    def _prove(self, proven: ProofResponse) -> None:
        self._proof.prove((proven.asked_at - proven.age_us) * MICROSECOND)

    def configuration_updated(self, leader: str | None) -> None:
        """Use a pending proof if its configuration has become known here."""
        if self._pending_proof is not None and self._knows_as_much(self._pending_proof):
            self._prove(self._pending_proof)
            self._pending_proof = None
        if self._proof.proved_at is None:
            # A newly started instance: its callers wait for the first proof.
            self.keep(leader)

    # Proof given to others

    def handle_request(self, peer: str, message: ProofRequest) -> None:
        """Send another instance the proof that this one has, if any."""
        age = self._proof.age(self._clock.monotonic())
        offset = self._replica.known_up_to(Topic.CONFIGURATION)
        if age is None or offset < 0:
            return
        age_us = -(-age // MICROSECOND)
        self._tell(peer, ProofResponse(message.asked_at, age_us, offset))

    # Proof requested

    def keep(self, leader: str | None) -> None:
        """Request new proof if that is due."""
        now = self._clock.monotonic()
        if not self._wanted():
            return
        self._log_if_changed(now)
        age = self._proof.age(now)
        if age is not None and age < ASK_OTHERS_AFTER:
            return
        if now - self._asked_others_at >= ASK_INTERVAL:
            self._asked_others_at = now
            self._ask_another(leader, now)
        self._read_as_last_resort(age, now)

    def heard(self, leader: str) -> None:
        """Ask the leader, whose heartbeat has just set a new `Heartbeat.sent_at`."""
        if self._wanted():
            self._ask(leader, self._clock.monotonic())

    def _ask(self, peer: str, now: timedelta) -> None:
        self._tell(peer, ProofRequest(now // MICROSECOND, self._delegated_since(peer)))

    def _ask_another(self, leader: str | None, now: timedelta) -> None:
        candidates = self._candidates(leader, now)
        if candidates:
            self._ask(candidates[self._next_candidate % len(candidates)], now)
            self._next_candidate += 1

    def _candidates(self, leader: str | None, now: timedelta) -> list[str]:
        """Return the instances to ask other than the leader, the best first."""
        fresh = [peer for peer in self._peers.fresh(now) if peer.name != leader]
        fresh.sort(
            key=lambda peer: (
                peer.heartbeat is None or not peer.heartbeat.reads_log,
                not self._hubs.is_hub(peer.name),
            )
        )
        return [peer.name for peer in fresh]

    def _read_as_last_resort(self, age: timedelta | None, now: timedelta) -> None:
        bound = self._proof.bound
        if bound is None or now - self._log_read_at < READ_INTERVAL:
            return
        if age is not None and age < bound - READ_BEFORE_EXPIRY:
            return
        self._log_read_at = now
        self._effects.read_now(Topic.CONFIGURATION)

    def _log_if_changed(self, now: timedelta) -> None:
        held = self._proof.is_recent(now)
        if held == self._was_held:
            return
        self._was_held = held
        age = self._proof.age(now)
        event = "keys are accepted" if held else "keys are not accepted"
        self._log.info(event, proof_age_s=None if age is None else age.total_seconds())
