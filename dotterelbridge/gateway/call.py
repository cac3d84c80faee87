"""The state of a caller's request across all of its attempts."""

import msgspec

from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.gateway.request import GatewayRequest
from dotterelbridge.ids import ConnectionId
from dotterelbridge.ids import TargetId
from dotterelbridge.ids import TraitId
from dotterelbridge.quarantine.traits import create_caller_trait
from dotterelbridge.quarantine.traits import create_request_trait
from dotterelbridge.resumption.recorder import StreamOrigin
from dotterelbridge.routes.model import Repeatability
from dotterelbridge.routes.model import Route
from dotterelbridge.routes.model import Service
from dotterelbridge.teams.model import Team

_URGENCY_STEPS_PER_RANK = 2
"""Within a rank, non-interactive requests come after the interactive."""
_LEAST_URGENT = 9
_MS_PER_S = 1000
_INTERACTIVE_AIM_LIMIT_MS = 1000
"""With a latency objective above this, nobody is assumed to be waiting."""


class GatewayCall(msgspec.Struct, kw_only=True, eq=False):
    """Determines where a request may go and how long it may take."""

    request: GatewayRequest
    route: Route
    service: Service
    item: ItemKey | None
    """Model or adapter that a target must hold; None for a plain service."""
    started_at: float
    """Monotonic time of the arrival in seconds."""
    deadline_at: float
    """Monotonic seconds by which the response must be complete."""
    first_byte_deadline_at: float
    """Monotonic seconds at which the caller gives up on a first byte."""
    team: Team | None = None
    """The team whose key the caller sent; None without teams."""
    attempts: int = 0
    """Number of attempts, the current one included."""
    possibly_ran_at: set[TargetId] = set()
    """Targets that may have run the request."""
    used_connections: set[ConnectionId] = set()
    """Connections to targets that have carried the request."""
    excluded_targets: set[TargetId] = set()
    """Targets that failed or refused the request, avoided by retries."""
    has_response_started: bool = False
    """Whether part of a streamed response was sent to the caller."""
    origin: StreamOrigin | None = None
    """Where the stream began, once the caller has an event of it; it may go
    on only there. None for a response that is not resumable."""
    is_trial: bool = False
    """Whether it tries a trait that is quarantined."""
    _traits: tuple[TraitId, ...] = ()

    @property
    def traits(self) -> tuple[TraitId, ...]:
        """What it has in common with other requests."""
        if not self._traits:
            request = self.request
            self._traits = (
                create_request_trait(request.compute_digest()),
                *(TraitId(part) for part in request.shared_parts),
                create_caller_trait(request.host),
            )
        return self._traits

    @property
    def is_resumption(self) -> bool:
        """Whether the caller has the first part of the stream already."""
        return (
            self.route.is_resumable and self.request.last_event_id is not None
        )

    @property
    def is_stream(self) -> bool:
        """Whether the response is an event stream."""
        return self.route.repeatability is Repeatability.STREAM

    @property
    def team_name(self) -> str:
        """Name of the team; empty without one."""
        return "" if self.team is None else self.team.name

    @property
    def labels(self) -> dict[str, str | int]:
        """Labels of the call's metrics."""
        return {"service": self.service.name, "rank": self.rank}

    @property
    def rank(self) -> int:
        """Priority of the team, if it has one, or of the route."""
        if self.team is not None and self.team.rank is not None:
            return self.team.rank
        return self.route.rank

    @property
    def urgency(self) -> int:
        """Scheduling priority; 0 is the most urgent, 9 the least."""
        urgency = self.rank * _URGENCY_STEPS_PER_RANK + 1
        return min(_LEAST_URGENT, urgency + (not self.is_interactive))

    @property
    def is_interactive(self) -> bool:
        """Whether somebody is assumed to wait for the response."""
        return self.route.aim_ms <= _INTERACTIVE_AIM_LIMIT_MS

    @property
    def aim_s(self) -> float:
        """Latency objective for the first byte."""
        return self.route.aim_ms / _MS_PER_S

    def is_late(self, now: float) -> bool:
        """Whether the objective for the first byte is already missed."""
        return now - self.started_at > self.aim_s

    def remaining_s(self, now: float) -> float:
        """Return the seconds until the deadline of the response."""
        return self.deadline_at - now

    def remaining_first_byte_s(self, now: float) -> float:
        """Return the seconds until the deadline of the first byte."""
        return self.first_byte_deadline_at - now


def find_item(request: GatewayRequest, service: Service) -> ItemKey | None:
    """Return what a target must hold; None for a plain service."""
    if service.engine is None or not request.model:
        return None
    return ItemKey(service.name, request.model, request.adapter)
