"""The version of the routes that is active on one VM."""

from collections.abc import Callable

import structlog

from dotterelbridge import events
from dotterelbridge.routes.document import NO_ROUTES
from dotterelbridge.routes.document import PackedRoutes
from dotterelbridge.routes.document import RoutesFormat
from dotterelbridge.routes.events import RoutesEvent
from dotterelbridge.routes.model import Route
from dotterelbridge.routes.model import RouteSet
from dotterelbridge.routes.model import Service
from dotterelbridge.teams.directory import create_team_directory

_log = structlog.get_logger(__name__)


class ActiveRoutes:
    """Activates higher versions only, so that routes never revert."""

    def __init__(self, routes_format: RoutesFormat) -> None:
        self.packed = NO_ROUTES
        self.route_set: RouteSet | None = None
        self.teams = create_team_directory(())
        """The teams of the active version, by their keys."""
        self._format = routes_format
        self._by_host: dict[str, dict[str, Route]] = {}
        self._lengths_by_host: dict[str, list[int]] = {}
        """Lengths that the prefixes of each host have, the longest first."""
        self._services: dict[str, Service] = {}
        self._subscribers: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """The active version; negative before the first activation."""
        return self.packed.version

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Register a callback that runs after each activation."""
        self._subscribers.append(callback)

    def activate(self, packed: PackedRoutes) -> bool:
        """Activate a version if it is higher; return whether it was."""
        if packed.version <= self.version:
            return False
        route_set = self._format.decode(packed.unpack())
        by_host: dict[str, dict[str, Route]] = {}
        for route in route_set.routes:
            by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        self._by_host = by_host
        self._lengths_by_host = {
            host: sorted({len(prefix) for prefix in prefixes}, reverse=True)
            for host, prefixes in by_host.items()
        }
        self._services = {s.name: s for s in route_set.services}
        self.teams = create_team_directory(route_set.teams)
        self.route_set = route_set
        self.packed = packed
        events.log(
            _log,
            RoutesEvent.ROUTES_IN_FORCE,
            version=packed.version,
            routes=len(route_set.routes),
        )
        for callback in self._subscribers:
            callback()
        return True

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match of the path.

        The work depends on the prefixes, not on the path, whose slashes the
        caller chooses.
        """
        host = host.lower()
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        for length in self._lengths_by_host[host]:
            if path[length - 1 : length] != "/":
                continue
            route = prefixes.get(path[:length])
            if route is not None:
                return route
        return None

    def find_service(self, name: str) -> Service | None:
        """Return a service of the active version."""
        return self._services.get(name)

    def list_services(self) -> list[Service]:
        """Return the services of the active version."""
        return list(self._services.values())


def create_active_routes(routes_format: RoutesFormat) -> ActiveRoutes:
    """Return an instance without an active version."""
    return ActiveRoutes(routes_format)
