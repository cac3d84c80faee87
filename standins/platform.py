"""Stand-in for the platform's list of VMs and targets.

``GET /members`` returns the list as of ``lag_s`` ago; ``PUT /members/ID``
with ``live`` or ``leaving`` as the body changes the state of a member.
"""

import argparse
from collections.abc import Awaitable
from collections.abc import Callable
import time

import anyio
from hypercorn.asyncio import serve
from hypercorn.config import Config
import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.responses import Response
from starlette.routing import Route

from dotterelbridge.membership.platform import PlatformMember
from dotterelbridge.membership.platform import PlatformState

LAG_S = 5.0


class StandinPlatform:
    """The list of members and its earlier versions."""

    def __init__(
        self,
        members: list[PlatformMember],
        lag_s: float = LAG_S,
        now: Callable[[], float] = time.monotonic,
    ) -> None:
        self._lag_s = lag_s
        self._now = now
        self._history = [(float("-inf"), members)]

    def set_state(self, member_id: str, state: PlatformState) -> None:
        """Change one member's state; visible after ``lag_s``."""
        members = [
            msgspec.structs.replace(m, state=state) if m.id == member_id else m
            for m in self._history[-1][1]
        ]
        self._history.append((self._now(), members))

    def list_members(self) -> list[PlatformMember]:
        """Return the list as of ``lag_s`` ago."""
        visible_from = self._now() - self._lag_s
        return [
            m for changed_at, m in self._history if changed_at <= visible_from
        ][-1]

    def create_app(self) -> Starlette:
        """Return the ASGI application."""
        return Starlette(
            routes=[
                Route("/members", self._get_members),
                Route("/members/{id}", self._put_state, methods=["PUT"]),
            ]
        )

    async def _get_members(self, request: Request) -> Response:
        return JSONResponse(msgspec.to_builtins(self.list_members()))

    async def _put_state(self, request: Request) -> Response:
        state = PlatformState((await request.body()).decode().strip())
        self.set_state(request.path_params["id"], state)
        return Response(status_code=204)


def read_members(path: str) -> list[PlatformMember]:
    """Read the members from a JSON file in the format of GET /members."""
    with open(path, "rb") as file:
        return msgspec.json.decode(file.read(), type=list[PlatformMember])


async def run(
    platform: StandinPlatform,
    address: str,
    shutdown_trigger: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Serve the list at HOST:PORT until cancelled."""
    config = Config()
    config.bind = [address]
    await serve(
        platform.create_app(), config, shutdown_trigger=shutdown_trigger
    )


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("members", metavar="FILE", help="JSON list")
    parser.add_argument("--bind", default="127.0.0.1:8090")
    parser.add_argument("--lag-s", type=float, default=LAG_S)
    args = parser.parse_args()
    platform = StandinPlatform(read_members(args.members), args.lag_s)
    anyio.run(run, platform, args.bind)


if __name__ == "__main__":
    main()
