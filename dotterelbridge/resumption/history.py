"""Watches which software versions serve, for streams without a record."""

from collections.abc import Callable
from collections.abc import Collection
from datetime import timedelta

from dotterelbridge.clock import Clock
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import SoftwareVersion
from dotterelbridge.resumption.messages import ServiceHistory
from dotterelbridge.routes.active_routes import ActiveRoutes

_CHECK_INTERVAL = timedelta(milliseconds=250)
"""Time between two checks of whether this VM's view is current."""
_LONGEST_PAUSE_S = 1.0
"""Time without a check after which the process counts as suspended. An answer
that arrived meanwhile makes an outdated view look current."""
_RETENTION_S = 3600.0
"""Time for which a version that serves no more is remembered."""
_MAX_VERSIONS = 2
"""Versions that are named; two already rule out a sole one."""

_Version = tuple[ItemName, SoftwareVersion]
_RouteParts = frozenset[tuple[str, str, frozenset[ItemName]]]
"""Host, prefix and services of all routes with one name."""


class VersionHistory:
    """Which versions have served each service, as one VM has seen it.

    A VM that has just started, or whose view was outdated, has seen nothing
    of the time before: it starts again.
    """

    def __init__(
        self,
        fleet_state: FleetState,
        routes: ActiveRoutes,
        clock: Clock,
        is_current: Callable[[], bool],
        reads_list: Callable[[], bool] = lambda: False,
    ) -> None:
        """Start without any observation.

        :param is_current: whether this VM's view of targets and routes is up
            to date.
        :param reads_list: whether this VM reads the list for all others, so
            that none of them can know more.
        """
        self._fleet_state = fleet_state
        self._routes = routes
        self._clock = clock
        self._is_current = is_current
        self._reads_list = reads_list
        self._watched_since: float | None = None
        """Since when the view has been current without a gap."""
        self._checked_at = clock.monotonic()
        self._present: set[_Version] = set()
        self._gone_at: dict[_Version, float] = {}
        """When versions that no longer serve were last seen."""
        self._read_revision = -1
        self._route_parts: dict[str, _RouteParts] = {}
        self._route_since: dict[str, float] = {}
        """Since when each route has been as it is."""
        fleet_state.subscribe(self.observe)
        routes.subscribe(self._read_routes)
        self._read_routes()
        self.observe()

    async def run(self) -> None:
        """Check periodically until cancelled."""
        while True:
            self.observe()
            await self._clock.sleep(_CHECK_INTERVAL)

    def observe(self) -> None:
        """Record what serves now, and whether the view is current."""
        now = self._clock.monotonic()
        was_paused = now - self._checked_at > _LONGEST_PAUSE_S
        self._checked_at = now
        if not (
            self._is_current()
            and self._fleet_state.is_complete
            and self._routes.route_set is not None
        ):
            self._watched_since = None
        elif self._watched_since is None or was_paused:
            self._watched_since = now
        # Changes of loads, which come several times a second, are skipped.
        if self._read_revision != self._fleet_state.urgent_revision:
            self._read_revision = self._fleet_state.urgent_revision
            self._read_targets(now)

    def describe(
        self,
        route: str,
        services: Collection[ItemName],
        horizon: timedelta,
    ) -> tuple[ServiceHistory, ...]:
        """Return what this VM has seen of a route's services."""
        self.observe()
        oldest = self._clock.monotonic() - horizon.total_seconds()
        is_complete = (
            self._watched_since is not None
            and self._watched_since <= oldest
            and horizon.total_seconds() <= _RETENTION_S
            and self._has_kept_services(route, services, oldest)
        )
        is_confirmed = self._reads_list()
        return tuple(
            ServiceHistory(
                service,
                self._list_versions(service, oldest),
                is_complete,
                is_confirmed,
            )
            for service in services
        )

    def _list_versions(
        self, service: ItemName, oldest: float
    ) -> tuple[SoftwareVersion, ...]:
        versions = {v for s, v in self._present if s == service}
        versions.update(
            version
            for (name, version), gone_at in self._gone_at.items()
            if name == service and gone_at >= oldest
        )
        return tuple(sorted(versions)[:_MAX_VERSIONS])

    def _has_kept_services(
        self, route: str, services: Collection[ItemName], oldest: float
    ) -> bool:
        """Whether a route has had the services since before a time."""
        since = self._route_since.get(route)
        if since is None or since > oldest:
            return False
        wanted = frozenset(services)
        return any(found == wanted for _, _, found in self._route_parts[route])

    def _read_targets(self, now: float) -> None:
        present = {
            (target.service, target.software)
            for target in self._fleet_state.targets.values()
        }
        for version in self._present - present:
            self._gone_at[version] = now
        self._present = present
        self._gone_at = {
            version: gone_at
            for version, gone_at in self._gone_at.items()
            if gone_at >= now - _RETENTION_S
        }

    def _read_routes(self) -> None:
        route_set = self._routes.route_set
        if route_set is None:
            return
        now = self._clock.monotonic()
        parts: dict[str, set[tuple[str, str, frozenset[ItemName]]]] = {}
        for route in route_set.routes:
            services = frozenset(share.service for share in route.shares)
            parts.setdefault(route.name, set()).add(
                (route.host, route.prefix, services)
            )
        known = self._route_parts
        self._route_parts = {n: frozenset(p) for n, p in parts.items()}
        self._route_since = {
            name: self._route_since[name] if known.get(name) == found else now
            for name, found in self._route_parts.items()
        }
