"""Finds the team of a request by the key that its caller sent."""

from datetime import timedelta

import msgspec

from dotterelbridge.gateway.errors import NoTargetAvailable
from dotterelbridge.gateway.errors import UnavailableReason
from dotterelbridge.gateway.headers import HeaderNames
from dotterelbridge.gateway.request import GatewayRequest
from dotterelbridge.routes.active_routes import ActiveRoutes
from dotterelbridge.routes.model import Route
from dotterelbridge.teams.authorization import KeyRefused
from dotterelbridge.teams.authorization import find_team
from dotterelbridge.teams.authorization import remove_keys
from dotterelbridge.teams.model import Team
from dotterelbridge.teams.permission import KeyPermission

_UNCONFIRMED_RETRY_AFTER = timedelta(milliseconds=500)
"""Contact with a leader returns within some of these; other VMs may have
it."""


class Authenticator:
    """Authenticates requests while the deployment has teams."""

    def __init__(
        self,
        routes: ActiveRoutes,
        header_names: HeaderNames,
        permission: KeyPermission,
    ) -> None:
        self._routes = routes
        self._permission = permission
        self._team_headers = (header_names.team,)

    def authenticate(
        self, request: GatewayRequest, route: Route
    ) -> tuple[GatewayRequest, Team | None]:
        """Return the request without its key, and its team.

        Without teams, a request is returned as it is. A public route is
        served to everybody; while the keys that this VM knows may be
        outdated, its requests have no team.

        :raises KeyRefused: the route is not public, and the request has no
            key of a team.
        :raises NoTargetAvailable: the same, but a key may have been added
            or taken away.
        """
        teams = self._routes.teams
        if not teams.has_teams:
            return request, None
        team = None
        if self._permission.is_valid():
            try:
                team = find_team(teams, request.headers)
            except KeyRefused:
                if not route.is_public and self._permission.allows_refusal():
                    raise
        if team is None and not route.is_public:
            raise create_unconfirmed_error()
        headers = remove_keys(request.headers, self._team_headers)
        return msgspec.structs.replace(request, headers=headers), team


def create_unconfirmed_error() -> NoTargetAvailable:
    """Return the error of a VM whose keys may be outdated."""
    return NoTargetAvailable(
        UnavailableReason.KEYS_UNCONFIRMED,
        "this VM does not know which keys are valid at present",
        "send it again after the time in Retry-After",
        _UNCONFIRMED_RETRY_AFTER,
    )
