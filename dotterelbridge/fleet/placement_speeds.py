"""What the placement of one service knows of the speeds of its engines."""

from collections.abc import Iterable

import msgspec

from dotterelbridge.fleet.engine_speeds import EngineSpeeds
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import TargetId
from dotterelbridge.routes.model import RouteSet

_EQUAL_SPEEDS = (0.83, 1.2)
"""Speeds that count as the usual one: an engine that processes six times as
many prompts as others of its speed appears as 1.2."""
_MIN_RATIO = 1.3
"""Ratio of the slowest engine's speed to the fastest one's, below which all
count as equal."""
_SPEED_LIMITS = (0.4, 2.5)
_SAFE_GAP_SHARE = 0.2
"""Usual gap, as a share of the objective for the longest one, up to which no
stream is expected to miss the objective."""
_LATE_SLOPE = 2.3
"""Growth of the share of late streams beyond it. On a hard day of T, a model
with an event in some 50 ms and an objective of 200 ms had no late stream at a
speed of 0.6, some 15% at 1.0 and 53% to 60% at 1.6."""


class PlacementSpeeds(msgspec.Struct, frozen=True, kw_only=True):
    """Speeds of engines, gaps of models, and the objective for gaps."""

    speeds: dict[TargetId, float]
    """Time of a step relative to the usual one, of the engines with lasting
    measurements; 1.0 where the difference may be chance."""
    gaps_ms: dict[str, float]
    """Gap of each measured model on an engine of usual speed."""
    gap_aim_ms: float | None
    """Strictest objective of the service's routes; None without one."""

    def find_speed(self, target: TargetId) -> float:
        """Return an engine's speed; the usual one if it is unknown."""
        return self.speeds.get(target, 1.0)

    def is_known(self, target: TargetId) -> bool:
        """Whether an engine has lasting measurements."""
        return target in self.speeds

    def find_late_share(self, model: str, speed: float) -> float:
        """Return the share of a model's streams that a speed makes late."""
        gap_ms = self.gaps_ms.get(model)
        if gap_ms is None or not self.gap_aim_ms:
            return 0.0
        gap_share = speed * gap_ms / self.gap_aim_ms
        return max(0.0, min(1.0, _LATE_SLOPE * (gap_share - _SAFE_GAP_SHARE)))


def create_placement_speeds(
    service: ItemName,
    targets: Iterable[FleetTarget],
    models: Iterable[str],
    routes: RouteSet,
    measured: EngineSpeeds,
) -> PlacementSpeeds:
    """Return what is known now of a service's engines and models."""
    speeds = {}
    for target in targets:
        speed = measured.find_lasting_speed((target.target, target.born))
        if speed is not None:
            speeds[target.target] = _round_speed(speed)
    if speeds and max(speeds.values()) < _MIN_RATIO * min(speeds.values()):
        speeds = dict.fromkeys(speeds, 1.0)
    gaps_ms = {}
    for model in models:
        gap_ms = measured.find_gap_ms(ItemKey(service, model))
        if gap_ms is not None:
            gaps_ms[model] = gap_ms
    gap_aims = [
        route.gap_aim_ms
        for route in routes.routes
        if route.gap_aim_ms
        and any(s.service == service and s.weight for s in route.shares)
    ]
    return PlacementSpeeds(
        speeds=speeds,
        gaps_ms=gaps_ms,
        gap_aim_ms=min(gap_aims, default=None),
    )


def _round_speed(speed: float) -> float:
    low, high = _EQUAL_SPEEDS
    if low <= speed <= high:
        return 1.0
    low, high = _SPEED_LIMITS
    return max(low, min(high, speed))
