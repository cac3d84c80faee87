"""Builders of routes, services and engines for tests."""

import msgspec

from dotterelbridge.ids import ItemName
from dotterelbridge.routes.active_routes import create_active_routes
from dotterelbridge.routes.document import create_native_format
from dotterelbridge.routes.document import pack_routes
from dotterelbridge.routes.model import CallerLimits
from dotterelbridge.routes.model import EngineInfo
from dotterelbridge.routes.model import ModelInfo
from dotterelbridge.routes.model import Repeatability
from dotterelbridge.routes.model import Route
from dotterelbridge.routes.model import RouteSet
from dotterelbridge.routes.model import Service
from dotterelbridge.routes.model import TrafficShare

LLM = ItemName("llm")
JOBS = ItemName("jobs")
LIMITS = CallerLimits(
    head_bytes=16384,
    body_bytes=1_000_000,
    head_timeout_ms=3000,
    idle_timeout_ms=15000,
)


def create_route(name="quotes", **fields) -> Route:
    defaults = {
        "name": name,
        "host": "quotes.example",
        "prefix": f"/{name}/",
        "repeatability": Repeatability.STREAM,
        "time_limit_ms": 60000,
        "aim_ms": 600,
        "rank": 1,
        "shares": (TrafficShare(LLM, 1),),
        "attempts": 1,
    }
    return Route(**(defaults | fields))


def create_engine(models=("m0", "m1"), **fields) -> EngineInfo:
    defaults = {
        "slots": 8,
        "kv_tokens": 100_000,
        "memory_mb": 300,
        "adapter_places": 2,
        "loads_per_s": 1.0,
        "models": tuple(create_model(name) for name in models),
    }
    return EngineInfo(**(defaults | fields))


def create_model(name, **fields) -> ModelInfo:
    defaults = {
        "name": name,
        "memory_mb": 100,
        "store_load_s": 6.0,
        "disk_load_s": 1.0,
        "memory_load_s": 0.5,
        "adapters": 3,
        "adapter_mb": 1,
    }
    return ModelInfo(**(defaults | fields))


def create_route_set(
    version=1, routes=None, engine=None, health_path=""
) -> RouteSet:
    return RouteSet(
        version=version,
        routes=tuple(routes if routes is not None else [create_route()]),
        services=(
            Service(
                name=LLM,
                connections_limit=100,
                engine=engine or create_engine(),
            ),
            Service(name=JOBS, connections_limit=100, health_path=health_path),
        ),
        limits=LIMITS,
    )


def activate_route_set(route_set: RouteSet):
    """Return ActiveRoutes in which the given set is active."""
    active_routes = create_active_routes(create_native_format())
    active_routes.activate(
        pack_routes(route_set.version, msgspec.json.encode(route_set))
    )
    return active_routes
