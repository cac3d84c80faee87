"""What operators declare: routes, services, and limits of callers."""

import enum
from functools import cached_property

import msgspec

from dotterelbridge.ids import ItemName
from dotterelbridge.routes.errors import RoutesInvalid


class Repeatability(enum.Enum):
    """What may be repeated of a route's requests."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"
    """A stream of events; repeatable only where the route is resumable."""


class TrafficShare(msgspec.Struct, frozen=True):
    """Part of a route's requests that goes to one service."""

    service: ItemName
    weight: int


class Route(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one host below one path prefix."""

    name: str
    host: str
    prefix: str
    """Begins and ends with a slash."""
    repeatability: Repeatability
    time_limit_ms: int
    """Longest time that a request may be kept waiting."""
    aim_ms: float
    """Time to the answer, or to a stream's first event, to keep."""
    gap_aim_ms: float | None = None
    """Longest pause between a stream's events, to keep."""
    rank: int
    """0 goes first."""
    shares: tuple[TrafficShare, ...]
    attempts: int
    """Targets that one request may run on."""
    has_affinity: bool = False
    """Whether requests share prompt parts that a target may keep."""
    is_resumable: bool = False

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.repeatability is Repeatability.SAFE or self.is_resumable


class ModelInfo(msgspec.Struct, frozen=True, kw_only=True):
    """One model that the engines of a service may load."""

    name: str
    memory_mb: float
    store_load_s: float
    """Time of a load from the weight store."""
    disk_load_s: float
    memory_load_s: float
    """Time of a load from the engine's own host memory."""
    adapters: int = 0
    """Adapters of the model, named a1, a2, and so on."""
    adapter_mb: float = 0.0


class EngineInfo(msgspec.Struct, frozen=True, kw_only=True, dict=True):
    """What all engines of a service have in common."""

    slots: int
    """Requests that run at once."""
    kv_tokens: int
    """Tokens that running requests and kept prompt parts share."""
    memory_mb: float
    """Room for models and adapters."""
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
    """Targets that are interchangeable."""

    name: ItemName
    connections_limit: int
    """Connections that one target takes from all VMs together."""
    engine: EngineInfo | None = None
    """None for a plain service."""
    health_path: str = ""
    """Path that targets answer while they live; empty where none is set."""


class CallerLimits(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller may send, and how long it may take."""

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

    def find_service(self, name: str) -> Service | None:
        """Return a service by its name."""
        for service in self.services:
            if service.name == name:
                return service
        return None

    def check(self) -> None:
        """Raise RoutesInvalid unless the set can be put in force."""
        names = {service.name for service in self.services}
        places = set()
        for route in self.routes:
            _check_route(route, names)
            place = (route.host, route.prefix)
            if place in places:
                raise RoutesInvalid(
                    f"two routes share host {route.host!r} and prefix "
                    f"{route.prefix!r}",
                    "give each route its own place",
                )
            places.add(place)


def _check_route(route: Route, services: set[ItemName]) -> None:
    for share in route.shares:
        if share.service not in services:
            raise RoutesInvalid(
                f"route {route.name!r} names the unknown service "
                f"{share.service!r}",
                "declare the service in the same version",
            )
    weights = [share.weight for share in route.shares]
    if min(weights, default=0) < 0 or sum(weights) <= 0:
        raise RoutesInvalid(
            f"the weights of route {route.name!r} add up to nothing",
            "give one service a weight above 0",
        )
    if route.time_limit_ms <= 0:
        raise RoutesInvalid(
            f"route {route.name!r} has a time limit of "
            f"{route.time_limit_ms} ms",
            "set a time limit above 0",
        )
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        raise RoutesInvalid(
            f"the prefix {route.prefix!r} does not begin and end with a slash",
            "write it as /NAME/",
        )
