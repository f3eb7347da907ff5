"""The entry's way from a request to an upstream and its home."""

from datetime import timedelta
from typing import TYPE_CHECKING

from . import messages
from .entry import Call, Router, Target
from .failures import Failure, Reason, Step, not_run
from .outside import CallerRequest
from .policies import RouteRequest, UpstreamView
from .types import AdapterVersion, Job, Priority

if TYPE_CHECKING:
    from .core import Instance


class Routes(Router):
    """Resolves requests, chooses upstreams and reaches their homes.

    Attributes
    ----------
    changed : bool
        True if the usable upstreams have to be found anew.
    """

    def __init__(self, core: "Instance") -> None:
        self._core = core
        self.changed = True
        self._usable: dict[str, frozenset[str]] = {}

    def resolve(self, request: CallerRequest) -> Target | Failure:
        """Return what is asked for, pinned to a version."""
        if not self._core.changes.caught_up:
            detail = "the configuration is not yet read"
            return not_run(
                Reason.LOG_UNAVAILABLE,
                Step.RESOLVE,
                "log_service",
                detail,
                timedelta(seconds=1),
            )
        if request.service:
            return self._resolve_service(request)
        name, _, version = request.model.partition("@")
        resource = self._core.changes.state.get("adapters", name)
        if resource is None:
            return not_run(Reason.UNKNOWN_ADAPTER, Step.RESOLVE, "", name)
        spec = resource.spec
        version = version or spec["default_version"]
        if version not in spec["versions"]:
            return not_run(Reason.UNKNOWN_VERSION, Step.RESOLVE, "", request.model)
        weights = spec["versions"][version]["weights"]
        priority = request.priority
        if priority is None:
            priority = Priority[spec["priority"].upper()]
        return Target(AdapterVersion(name, version), weights, priority, spec["team"])

    def _resolve_service(self, request: CallerRequest) -> Target | Failure:
        known = any(
            group == f"service {request.service}" for group in self._usable_by_group()
        )
        if not known:
            return not_run(Reason.UNKNOWN_SERVICE, Step.RESOLVE, "", request.service)
        priority = Priority.NORMAL if request.priority is None else request.priority
        return Target(None, "", priority, "")

    def choose(self, call: Call) -> str | Failure:
        """Return the upstream for a call."""
        adapter = call.target.adapter
        group = f"service {call.request.service}"
        if adapter is not None:
            resource = self._core.changes.state.get("adapters", adapter.name)
            if resource is None:
                return not_run(Reason.UNKNOWN_ADAPTER, Step.ROUTE, "", adapter.name)
            group = f"engine {resource.spec['base_model']}"
        usable = self._usable_by_group().get(group, frozenset())
        resident: list[UpstreamView] = []
        if adapter is None:
            placements = [self._core.residency.views[name] for name in usable]
        else:
            resident = self._core.residency.resident_views(adapter, usable)
            placements = self._placements(group, adapter, usable)
        if call.tried:
            resident = [view for view in resident if view.name not in call.tried]
            placements = [view for view in placements if view.name not in call.tried]
        zone = self._core.settings.own.zone
        route = self._core.policy.route(
            RouteRequest(adapter, zone, resident, placements)
        )
        if route is None:
            reason = Reason.NO_UPSTREAM
            if not call.tried and self._declared(group):
                reason = Reason.NO_HOME
            return not_run(reason, Step.ROUTE, "", group, timedelta(seconds=1))
        self._core.outside.count("routes", route.reason)
        return route.upstream

    def _declared(self, group: str) -> bool:
        """Return whether a group has upstreams that stay, reached or not."""
        return any(
            item.group == group and not self._core.membership.leaving(name)
            for name, item in self._core.homes.settings.items()
        )

    def _placements(
        self, group: str, adapter: AdapterVersion, usable: frozenset[str]
    ) -> list[UpstreamView]:
        if self._core.policy.looks_at_all:
            return [self._core.residency.views[name] for name in usable]
        return self._core.residency.placements(group, adapter, usable)

    def _usable_by_group(self) -> dict[str, frozenset[str]]:
        if not self.changed:
            return self._usable
        self.changed = False
        found: dict[str, set[str]] = {}
        for name, item in self._core.homes.settings.items():
            members = found.setdefault(item.group, set())
            if (
                self._core.membership.leaving(name)
                or item.region != self._core.settings.own.region
            ):
                continue
            home = self._core.homes.home_of(name)
            if home == self._core.name or home in self._core.peers:
                members.add(name)
        for group, names in found.items():
            if self._usable.get(group) != names:
                self._usable[group] = frozenset(names)
        for group in set(self._usable) - set(found):
            del self._usable[group]
        return self._usable

    def home_of(self, upstream: str) -> str | None:
        """Return the instance that is an upstream's home, if one is known."""
        return self._core.homes.home_of(upstream)

    def address(self, upstream: str) -> str:
        """Return the address of an upstream."""
        settings = self._core.homes.settings.get(upstream)
        return settings.address if settings else ""

    def open(self, home: str, job: Job) -> bool:
        """Pass a job to its home; return False if there is no link."""
        view = self._core.residency.views.get(job.upstream)
        if view is not None:
            view.sent += 1
        if home == self._core.name:
            self._core.answers.submit(job)
            return True
        remaining = (job.deadline - self._core.clock.monotonic()) // timedelta(
            milliseconds=1
        )
        return self._core.outside.send_to(
            home,
            messages.OpenRequest(
                job.request_id,
                job.attempt,
                job.upstream,
                str(job.adapter) if job.adapter else "",
                job.weights,
                int(job.priority),
                remaining,
                job.method,
                job.path,
                job.headers,
                job.body,
                job.stream,
                job.repeatable,
                job.key,
                job.team,
                job.tokens,
            ),
        )

    def close(self, home: str, job: Job) -> None:
        """Tell a home that the caller has gone."""
        if home == self._core.name:
            self._core.homes.cancel(job.upstream, job.id)
            return
        cancel = messages.CancelRequest(job.request_id, job.attempt)
        if not home or not self._core.outside.send_to(home, cancel):
            self._core.outside.cancel(job, self.address(job.upstream))

    def credit(self, home: str, job: Job, count: int) -> None:
        """Tell a home that the caller has taken so many bytes."""
        if home == self._core.name:
            self._core.answers.credited(job.id, count)
        elif home:
            credit = messages.Credit(job.request_id, job.attempt, count)
            self._core.outside.send_to(home, credit)
