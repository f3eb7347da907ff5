"""Keeps proof that the configuration known here is the newest, and shows it to others.

Whoever reads the log has proof by each read. All ask the leader at each of its beats,
which is also how they leave it their shares of quotas. If it does not help, others are
asked in turn: those that read the log, hubs, any instance. Where nobody can help, the
log itself is asked.
"""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from ..clock import ZERO, Clock
from ..customers import Proof
from ..logs import Logger
from ..store import Position, Topic
from .hubs import Hubs
from .knowledge import Knowledge
from .messages import AskProof, Proven
from .outside import Outside
from .peers import Peers

MICROSECOND = timedelta(microseconds=1)
ASK_OTHERS_FROM = timedelta(milliseconds=1800)
"""Proof of this age says that the leader does not help: what it has is up to half a
second old, and it is asked at each of its beats, which come each half second."""
ASK_AGAIN = timedelta(milliseconds=400)
"""Another one is asked if the last has not helped: many round trips between zones."""
LAST_RESORT = timedelta(milliseconds=1500)
"""So long before proof ends the log itself is asked: a call that hangs takes 1.2 s."""
READ_AGAIN = timedelta(milliseconds=700)


class Proofs:
    """The proof that this instance has, and where it gets it.

    Parameters
    ----------
    wanted : callable
        Returns whether keys matter here: there are customers.
    leaves_since : callable
        Takes an instance; returns what to tell it in `AskProof.leaves_since`.
    catch_up : callable
        Takes an instance and the offset up to which it knows the configuration, where
        that is further than what is known here.
    """

    def __init__(
        self,
        proof: Proof,
        knowledge: Knowledge,
        peers: Peers,
        hubs: Hubs,
        outside: Outside,
        wanted: Callable[[], bool],
        leaves_since: Callable[[str], int],
        catch_up: Callable[[str, Position], None],
        tell: Callable[[str, Any], None],
        clock: Clock,
        log: Logger,
    ) -> None:
        self._proof = proof
        self._knowledge = knowledge
        self._peers = peers
        self._hubs = hubs
        self._outside = outside
        self._wanted = wanted
        self._leaves_since = leaves_since
        self._catch_up = catch_up
        self._tell = tell
        self._clock = clock
        self._log = log
        self._asked_others_at = ZERO
        self._read_at = ZERO
        self._turn = 0
        self._pending: Proven | None = None
        self._held = True

    # What shows it

    def read(self, asked_at: timedelta) -> None:
        """Take in that the log itself has shown all of the configuration."""
        self._proof.prove(asked_at)

    def answered(self, peer: str, proven: Proven) -> None:
        """Take in another instance's proof, once all that it knew is known here."""
        if self._knows(proven):
            self._prove(proven)
            return
        self._pending = proven
        self._catch_up(peer, Position(proven.offset))

    def _knows(self, proven: Proven) -> bool:
        return self._knowledge.known_to(Topic.CONFIGURATION) >= proven.offset

    def _prove(self, proven: Proven) -> None:
        self._proof.prove((proven.asked_at - proven.age_us) * MICROSECOND)

    def learned(self, leader: str | None) -> None:
        """Take in that more of the configuration is known here."""
        if self._pending is not None and self._knows(self._pending):
            self._prove(self._pending)
            self._pending = None
        if self._proof.proved_at is None:
            # One that has just started: its callers wait for the first proof.
            self.keep(leader)

    # Shown to others

    def asked(self, peer: str, message: AskProof) -> None:
        """Show another instance what proof there is."""
        age = self._proof.age(self._clock.monotonic())
        offset = self._knowledge.known_to(Topic.CONFIGURATION)
        if age is None or offset < 0:
            return
        age_us = -(-age // MICROSECOND)
        self._tell(peer, Proven(message.asked_at, age_us, offset))

    # Asked for

    def keep(self, leader: str | None) -> None:
        """Ask for new proof where that is due."""
        now = self._clock.monotonic()
        if not self._wanted():
            return
        self._note_whether_held(now)
        age = self._proof.age(now)
        if age is not None and age < ASK_OTHERS_FROM:
            return
        if now - self._asked_others_at >= ASK_AGAIN:
            self._asked_others_at = now
            self._ask_another(leader, now)
        self._read_if_last(age, now)

    def heard(self, leader: str) -> None:
        """Ask the leader, which has just told a moment of its own."""
        if self._wanted():
            self._ask(leader, self._clock.monotonic())

    def _ask(self, peer: str, now: timedelta) -> None:
        self._tell(peer, AskProof(now // MICROSECOND, self._leaves_since(peer)))

    def _ask_another(self, leader: str | None, now: timedelta) -> None:
        candidates = self._candidates(leader, now)
        if candidates:
            self._ask(candidates[self._turn % len(candidates)], now)
            self._turn += 1

    def _candidates(self, leader: str | None, now: timedelta) -> list[str]:
        """Return whom to ask beside the leader, the best first."""
        fresh = [peer for peer in self._peers.fresh(now) if peer.name != leader]
        fresh.sort(
            key=lambda peer: (
                peer.beat is None or not peer.beat.reads_log,
                not self._hubs.is_hub(peer.name),
            )
        )
        return [peer.name for peer in fresh]

    def _read_if_last(self, age: timedelta | None, now: timedelta) -> None:
        bound = self._proof.bound
        if bound is None or now - self._read_at < READ_AGAIN:
            return
        if age is not None and age < bound - LAST_RESORT:
            return
        self._read_at = now
        self._outside.read_now(Topic.CONFIGURATION)

    def _note_whether_held(self, now: timedelta) -> None:
        held = self._proof.holds(now)
        if held == self._held:
            return
        self._held = held
        age = self._proof.age(now)
        event = "keys are accepted" if held else "keys are not accepted"
        self._log.info(event, proof_age_s=None if age is None else age.total_seconds())
