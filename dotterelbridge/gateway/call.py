"""One request of a caller, over all of its attempts."""

import msgspec

from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.gateway.request import GatewayRequest
from dotterelbridge.ids import TargetId
from dotterelbridge.routes.model import Repeatability
from dotterelbridge.routes.model import Route
from dotterelbridge.routes.model import Service

_URGENCY_STEPS = 2
"""Urgencies between two ranks: a slow aim goes behind its rank's others."""
_LEAST_URGENT = 9
_MS = 1000
_PATIENT_AIM_MS = 1000
"""Aim from which nobody is taken to be waiting at the other end."""


class GatewayCall(msgspec.Struct, kw_only=True, eq=False):
    """What decides where a request goes and how long it may take."""

    request: GatewayRequest
    route: Route
    service: Service
    item: ItemKey | None
    """What a target must hold; None at a plain service."""
    started_at: float
    """Monotonic seconds."""
    ends_at: float
    """Monotonic seconds by which it gets its final answer."""
    begins_by: float
    """Monotonic seconds from which its caller waits for no first byte."""
    attempts: int = 0
    """Times that it was sent to a target."""
    ran_at: set[TargetId] = set()
    """Targets where it may have run."""
    avoided: set[TargetId] = set()
    """Targets that failed it or refused it lately."""
    is_delivering: bool = False
    """Whether part of an answer went to the caller."""

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a stream of events."""
        return self.route.repeatability is Repeatability.STREAM

    @property
    def labels(self) -> dict[str, str | int]:
        """What tells kinds of calls apart in metrics."""
        return {"service": self.service.name, "rank": self.route.rank}

    @property
    def urgency(self) -> int:
        """0 goes first, 9 last."""
        patient = self.route.aim_ms > _PATIENT_AIM_MS
        step = self.route.rank * _URGENCY_STEPS + 1 + patient
        return min(_LEAST_URGENT, step)

    def is_late(self, now: float) -> bool:
        """Whether the aim for its first byte is missed already."""
        return now - self.started_at > self.route.aim_ms / _MS

    def left_s(self, now: float) -> float:
        """Return the seconds left for an answer."""
        return self.ends_at - now

    def patience_s(self, now: float) -> float:
        """Return the seconds left in which an answer has to begin."""
        return self.begins_by - now
