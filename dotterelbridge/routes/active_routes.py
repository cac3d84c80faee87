"""The version of the routes that is in force on one VM."""

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

_log = structlog.get_logger(__name__)


class ActiveRoutes:
    """Takes higher versions only, so that nothing reverts."""

    def __init__(self, routes_format: RoutesFormat) -> None:
        self.packed = NO_ROUTES
        self.route_set: RouteSet | None = None
        self._format = routes_format
        self._by_host: dict[str, dict[str, Route]] = {}
        self._services: dict[str, Service] = {}
        self._subscribers: list[Callable[[], None]] = []

    @property
    def version(self) -> int:
        """Version in force; below 0 before the first."""
        return self.packed.version

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call back after each change."""
        self._subscribers.append(callback)

    def activate(self, packed: PackedRoutes) -> bool:
        """Put a version in force unless it is no higher."""
        if packed.version <= self.version:
            return False
        route_set = self._format.decode(packed.unpack())
        by_host: dict[str, dict[str, Route]] = {}
        for route in route_set.routes:
            by_host.setdefault(route.host.lower(), {})[route.prefix] = route
        self._by_host = by_host
        self._services = {s.name: s for s in route_set.services}
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
        """Return the route with the longest prefix that begins the path."""
        prefixes = self._by_host.get(host.lower())
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None

    def find_service(self, name: str) -> Service | None:
        """Return a service of the version in force."""
        return self._services.get(name)

    def list_services(self) -> list[Service]:
        """Return the services of the version in force."""
        return list(self._services.values())


def create_active_routes(routes_format: RoutesFormat) -> ActiveRoutes:
    """Return an empty holder."""
    return ActiveRoutes(routes_format)
