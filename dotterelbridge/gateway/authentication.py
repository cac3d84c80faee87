"""Finds the team of a request by the key that its caller sent."""

from datetime import timedelta
import enum

import msgspec

from dotterelbridge.errors import RequestRefused
from dotterelbridge.gateway.errors import NoTargetAvailable
from dotterelbridge.gateway.errors import UnavailableReason
from dotterelbridge.gateway.headers import HeaderNames
from dotterelbridge.gateway.request import GatewayRequest
from dotterelbridge.routes.active_routes import ActiveRoutes
from dotterelbridge.routes.model import Route
from dotterelbridge.teams.model import Team
from dotterelbridge.teams.permission import KeyPermission

_AUTHORIZATION = b"authorization"
_SCHEME = b"bearer"
_SPELLINGS = bytes(
    ord(char) if char.isascii() and char.isalnum() else ord("-")
    for char in map(chr, range(256))
)
"""Maps the characters of a header's name. Servers that turn headers into
variables treat several of them alike, such as a hyphen and an underscore."""
_UNCONFIRMED_RETRY_AFTER = timedelta(milliseconds=500)
"""Contact with a leader returns within some of these; other VMs may have
it."""


class KeyFault(enum.Enum):
    """Why a request has no team, for metrics and logs."""

    MISSING = "key_missing"
    """It has no Authorization header with a key, or several."""
    UNKNOWN = "key_unknown"
    """No team has its key."""


class KeyRefused(RequestRefused):
    """The route needs the key of a team."""

    def __init__(self, reason: KeyFault) -> None:
        super().__init__(
            "the request has no valid key",
            "send it with Authorization: Bearer KEY",
        )
        self.reason = reason


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
        self._removed_names = {_AUTHORIZATION, header_names.team}

    def authenticate(
        self, request: GatewayRequest, route: Route
    ) -> tuple[GatewayRequest, Team | None]:
        """Return the request without its key, and its team.

        Without teams, a request is returned as it is.

        A public route is served to everybody; while the keys that this VM
        knows may be outdated, its requests have no team.

        :raises KeyRefused: the route is not public, and the request has no
            key of a team.
        :raises NoTargetAvailable: the same, but a key may have been added
            or taken away.
        """
        teams = self._routes.teams
        if not teams.has_teams:
            return request, None
        is_permitted = self._permission.is_valid()
        if not is_permitted and not route.is_public:
            raise create_unconfirmed_error()
        key = _read_key(request)
        team = teams.find(key) if key is not None and is_permitted else None
        if team is None and not route.is_public:
            if not self._permission.allows_refusal():
                raise create_unconfirmed_error()
            raise KeyRefused(
                KeyFault.MISSING if key is None else KeyFault.UNKNOWN
            )
        return self._remove_headers(request), team

    def _remove_headers(self, request: GatewayRequest) -> GatewayRequest:
        """Remove the key, and what claims to be the name of a team."""
        headers = [
            (name, value)
            for name, value in request.headers
            if name.lower().translate(_SPELLINGS) not in self._removed_names
        ]
        return msgspec.structs.replace(request, headers=headers)


def _read_key(request: GatewayRequest) -> str | None:
    """Return the key that a request carries, if it carries exactly one."""
    values = [
        value for name, value in request.headers if name == _AUTHORIZATION
    ]
    if len(values) != 1:
        return None
    scheme, _, key = values[0].strip(b" \t").partition(b" ")
    if scheme.lower() != _SCHEME or not key:
        return None
    return key.strip(b" \t").decode("latin-1")


def create_unconfirmed_error() -> NoTargetAvailable:
    """Return the error of a VM whose keys may be outdated."""
    return NoTargetAvailable(
        UnavailableReason.KEYS_UNCONFIRMED,
        "this VM does not know which keys are valid at present",
        "send it again after the time in Retry-After",
        _UNCONFIRMED_RETRY_AFTER,
    )
