"""What operators declare: routes, services and limits for callers."""

import enum
from functools import cached_property

import msgspec

from dotterelbridge.ids import ItemName
from dotterelbridge.routes.errors import RoutesInvalid
from dotterelbridge.teams.model import Team
from dotterelbridge.teams.validation import check_teams

_MAX_VERSION = 2**63 - 1
"""Highest version that the log's encoding holds."""
_MAX_TIME_LIMIT_MS = 2**53
"""Highest time limit that has an exact value as a float."""


class Repeatability(enum.Enum):
    """Whether the requests of a route may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    """An event stream; repeatable only if the route is resumable."""


class TrafficShare(msgspec.Struct, frozen=True):
    """Weight of one service in the traffic of a route."""

    service: ItemName
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests to one host below one path prefix."""

    name: str
    host: str
    prefix: str
    """Begins and ends with a slash."""
    repeatability: Repeatability
    time_limit_ms: int
    """Longest time until a request is answered."""
    aim_ms: float
    """Latency objective to the response, or to a stream's first event."""
    gap_aim_ms: float | None = None
    """Objective for the longest gap between two events of a stream."""
    rank: int
    """Priority of the route; 0 is the highest."""
    shares: tuple[TrafficShare, ...]
    attempts: int
    """Most targets that one repeatable request may run on."""
    has_affinity: bool = False
    """Whether requests share prompt parts that a target may cache."""
    is_resumable: bool = False
    is_public: bool = False
    """Whether requests need no key of a team."""

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeatability is Repeatability.SAFE or self.is_resumable


class ModelInfo(msgspec.Struct, frozen=True, kw_only=True):
    """A model that the engines of a service can load."""

    name: str
    memory_mb: float
    store_load_s: float
    """Time to load it from the weight store."""
    disk_load_s: float
    memory_load_s: float
    """Time to load it from the engine's own host memory."""
    adapters: int = 0
    """Number of adapters of the model; they are named a1, a2, and so on."""
    adapter_mb: float = 0.0


class EngineInfo(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """Properties that all engines of a service share."""

    slots: int
    """Requests that one engine runs concurrently."""
    kv_tokens: int
    """Capacity in tokens for running requests and cached prompt parts."""
    memory_mb: float
    """Memory for models and adapters."""
    adapter_places: int
    loads_per_s: float
    """Rate of loads from the weight store, over all engines."""
    models: tuple[ModelInfo, ...] = ()

    def find_model(self, name: str) -> ModelInfo | None:
        """Return a model by its name."""
        return self._models_by_name.get(name)

    @cached_property
    def _models_by_name(self) -> dict[str, ModelInfo]:
        return {model.name: model for model in self.models}


class Service(msgspec.Struct, frozen=True, kw_only=True):
    """A set of interchangeable targets."""

    name: ItemName
    connections_limit: int
    """Connections that one target accepts from all VMs together."""
    engine: EngineInfo | None = None
    """None for a plain service."""
    health_path: str = ""
    """Path of the targets' health check; empty if none is configured."""


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """Size and time limits for the requests of callers."""

    head_bytes: int
    body_bytes: int
    head_timeout_ms: int
    idle_timeout_ms: int


class RouteSet(msgspec.Struct, frozen=True, kw_only=True):
    """One version of everything that operators declare."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    limits: CallerLimits
    teams: tuple[Team, ...] = ()
    """Empty if callers need no keys."""

    def find_service(self, name: str) -> Service | None:
        """Return a service by its name."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def check(self) -> None:
        """Validate the set.

        :raises RoutesInvalid: the set cannot be activated.
        """
        if not 0 <= self.version <= _MAX_VERSION:
            raise RoutesInvalid(
                f"the version {self.version} cannot be stored",
                f"use a version from 0 to {_MAX_VERSION}",
            )
        service_names = {service.name for service in self.services}
        seen_prefixes = set()
        for route in self.routes:
            _check_route(route, service_names)
            prefix = (route.host.lower(), route.prefix)
            if prefix in seen_prefixes:
                raise RoutesInvalid(
                    f"two routes share host {route.host!r} and prefix "
                    f"{route.prefix!r}",
                    "give each route its own host and prefix",
                )
            seen_prefixes.add(prefix)
        check_teams(self.teams)


def _check_route(route: Route, service_names: set[ItemName]) -> None:
    for share in route.shares:
        if share.service not in service_names:
            raise RoutesInvalid(
                f"route {route.name!r} names the unknown service "
                f"{share.service!r}",
                "declare the service in the same version",
            )
    weights = [share.weight for share in route.shares]
    if min(weights, default=0) < 0 or sum(weights) <= 0:
        raise RoutesInvalid(
            f"the weights of route {route.name!r} must not be negative "
            "and must add up to more than 0",
            "give at least one service a weight above 0",
        )
    if not 0 < route.time_limit_ms <= _MAX_TIME_LIMIT_MS:
        raise RoutesInvalid(
            f"route {route.name!r} has a time limit of "
            f"{route.time_limit_ms} ms",
            f"set a time limit from 1 to {_MAX_TIME_LIMIT_MS} ms",
        )
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise RoutesInvalid(
            f"the prefix {route.prefix!r} does not begin and end with a slash",
            "write it as /NAME/",
        )
