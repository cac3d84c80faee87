"""Teams, and a gateway in whose routes they are active, for tests."""

import contextlib

import httpx
import msgspec

from dotterelbridge.routes.document import pack_routes
from dotterelbridge.teams.model import Team
from tests.gateway.support import HOST
from tests.gateway.support import create_routes
from tests.gateway.support import run_gateway
from tests.routes.support import create_route_set

KEY = "k-5f3a"
OTHER_KEY = "k-77e1"
TEAM = Team(name="norte", keys=(KEY,), rank=0)
TEAMS = (TEAM, Team(name="sur", keys=(OTHER_KEY,)), Team(name="este"))
BEARER = ("Authorization", f"Bearer {KEY}")


def pack_teams(version, teams=TEAMS, routes=None):
    """Return a version of the routes that has these teams."""
    route_set = msgspec.structs.replace(
        create_route_set(version, routes or create_routes()), teams=teams
    )
    return pack_routes(version, msgspec.json.encode(route_set))


@contextlib.asynccontextmanager
async def run_team_gateway(teams=TEAMS, is_public=False, **fields):
    """Run a gateway whose deployment has teams."""
    async with run_gateway(**fields) as gateway:
        routes = create_routes(is_public=is_public)
        gateway.active_routes.activate(pack_teams(2, teams, routes))
        yield gateway


async def send(gateway, headers=(), path="/look/a") -> httpx.Response:
    """Send a request with a list of headers, in which names may repeat."""
    fields = [("host", HOST), ("x-request-id", "r1"), *headers]
    async with httpx.AsyncClient(timeout=20) as client:
        return await client.post(gateway.url + path, headers=fields)
