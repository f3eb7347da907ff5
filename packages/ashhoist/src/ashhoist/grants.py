"""Wishes for loads on their way to the keeper, and grants on their way back."""

from typing import TYPE_CHECKING

from . import actions, messages
from .loads import KeeperChoice, LoadKeeper, Want
from .types import AdapterVersion

if TYPE_CHECKING:
    from .core import CoreSettings, Instance


class Grants:
    """The load budget as one instance sees it.

    Attributes
    ----------
    sources : dict
        The keeper that granted a load, by upstream and adapter.
    """

    def __init__(self, core: "Instance", settings: "CoreSettings") -> None:
        self._core = core
        self.keeper = LoadKeeper(
            settings.loads_per_second, settings.loads_at_once, settings.load_timeout
        )
        self.keeper_choice = KeeperChoice(core.membership, settings.zones)
        self.sources: dict[tuple[str, AdapterVersion], str] = {}

    def want_load(self, wanted: actions.WantLoad) -> None:
        """Pass a wanted load to the keeper of the budget."""
        keeper = self.keeper_choice.name
        if keeper == self._core.name:
            self.keep_want(
                self._core.name, wanted.upstream, wanted.adapter, wanted.benefit
            )
        elif keeper:
            item = messages.LoadWanted(
                wanted.upstream, str(wanted.adapter), wanted.benefit
            )
            self._core.outside.send_to(keeper, item)

    def drop_want(self, dropped: actions.DropWant) -> None:
        """Withdraw a wanted load."""
        keeper = self.keeper_choice.name
        if keeper == self._core.name:
            self.keeper.drop(dropped.upstream, dropped.adapter)
        elif keeper:
            item = messages.LoadDropped(dropped.upstream, str(dropped.adapter))
            self._core.outside.send_to(keeper, item)

    def return_grant(self, returned: actions.ReturnGrant) -> None:
        """Return a grant to the keeper that gave it."""
        key = (returned.upstream, returned.adapter)
        source = self.sources.pop(key, self._core.name)
        if source == self._core.name:
            self.keeper.finish(returned.grant, returned.used)
            return
        item = messages.GrantReturned(returned.grant, returned.used)
        self._core.outside.send_to(source, item)

    def keep_want(
        self, home: str, upstream: str, adapter: AdapterVersion, benefit: float
    ) -> None:
        """Take in a wish, as the keeper."""
        now = self._core.clock.monotonic()
        self.keeper.want(Want(home, upstream, adapter, benefit, now))

    def settle(self) -> None:
        """Grant the loads that are due; call it after each round of messages.

        It is no part of taking in a wish, as a grant that cannot be used leads
        to the next wish at once.
        """
        now = self._core.clock.monotonic()
        for grant in self.keeper.next_grants(now):
            if grant.home == self._core.name:
                self.sources[grant.upstream, grant.adapter] = self._core.name
                self._core.homes.load_granted(
                    grant.upstream, grant.adapter, grant.number
                )
                continue
            item = messages.LoadGranted(
                grant.upstream, str(grant.adapter), grant.number
            )
            if not self._core.outside.send_to(grant.home, item):
                self.keeper.finish(grant.number, False)
