"""Sends streams that callers resume to the software that began them."""

from datetime import timedelta

from dotterelbridge.clock import Clock
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.call import find_item
from dotterelbridge.gateway.errors import NoTargetAvailable
from dotterelbridge.gateway.errors import UnavailableReason
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.resumption.recorder import StreamRecorder
from dotterelbridge.routes.active_routes import ActiveRoutes

_MS_PER_S = 1000
_VERSION_LAG = timedelta(seconds=5)
"""Margin for the lag of the platform's list and of the fleet state."""
_UNKNOWN_RETRY_AFTER = timedelta(milliseconds=500)
"""A control VM that has the record may be reached by then."""
_LOGGED_CHARACTERS = 80
"""Part of an event's ID that is logged."""


class ResumedStreams:
    """Finds where streams began that callers resume."""

    def __init__(
        self,
        recorder: StreamRecorder,
        routes: ActiveRoutes,
        settings: GatewaySettings,
        clock: Clock,
    ) -> None:
        self._recorder = recorder
        self._routes = routes
        self._settings = settings
        self._clock = clock

    async def bind(self, call: GatewayCall) -> None:
        """Bind a call to the service and version that began its stream.

        The call stays unbound if they are not known, or if the route no
        longer leads to the service.
        """
        now = self._clock.monotonic()
        wait_s = min(
            self._settings.origin_wait_ms / _MS_PER_S,
            call.remaining_first_byte_s(now) / 2,
        )
        services = {share.service for share in call.route.shares}
        origin = await self._recorder.find_origin(
            call.request.resumed_request,
            services,
            call.route.name,
            call.team_name,
            self._find_horizon(),
            timedelta(seconds=max(0.0, wait_s)),
        )
        if origin is None or origin.service not in services:
            return
        service = self._routes.find_service(origin.service)
        if service is not None:
            call.origin = origin
            call.service = service
            call.item = find_item(call.request, service)

    def _find_horizon(self) -> timedelta:
        """Return the time within which a resumed stream can have begun."""
        route_set = self._routes.route_set
        longest_ms = max(route.time_limit_ms for route in route_set.routes)
        return timedelta(milliseconds=longest_ms) + _VERSION_LAG


def check_origin(call: GatewayCall) -> None:
    """Check that a resumed stream does not join the texts of two versions.

    :raises NoTargetAvailable: it might.
    """
    if call.is_resumption and call.origin is None:
        raise NoTargetAvailable(
            UnavailableReason.ORIGIN_UNKNOWN,
            "the stream cannot be resumed, as it is not known which software "
            "version began it",
            "send the request again without the last event's ID",
            _UNKNOWN_RETRY_AFTER,
        )


def describe_origin(call: GatewayCall) -> dict[str, str | None]:
    """Return log fields on where a stream began."""
    fields = {"origin": call.origin.software if call.origin else None}
    if call.is_resumption:
        last_id = call.request.last_event_id.decode("latin-1")
        fields["resumes"] = call.request.resumed_request
        fields["last_event_id"] = last_id[:_LOGGED_CHARACTERS]
    return fields
