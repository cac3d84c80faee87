"""Compares the predicted costs of requests with what was seen."""

from collections import defaultdict
from collections import deque
import enum
import statistics

import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.gateway import instruments
from dotterelbridge.gateway.events import GatewayEvent
from dotterelbridge.ids import ItemName

_log = structlog.get_logger(__name__)

_LOG_INTERVAL_S = 10.0
_SAMPLE_LIMIT = 256
"""Latest ratios that are kept for each service and quantity."""
_MIN_SAMPLES = 5


class Quantity(enum.Enum):
    """What is predicted of a request."""

    FIRST_EVENT = "first_event"
    """Time to the first event."""
    EVENTS = "events"
    """Number of events."""
    STAY = "stay"
    """Time from sending to the last event."""


class Prediction(msgspec.Struct, frozen=True, kw_only=True):
    """What is predicted of a request when it is sent."""

    first_event_ms: float
    events: float
    events_high: float
    """90th percentile."""
    stay_ms: float
    gap_ms: float
    """Time between two events at a target of usual speed."""


class Observation(msgspec.Struct, frozen=True, kw_only=True):
    """What was seen of a complete stream."""

    first_event_ms: float
    events: int
    stay_ms: float


class _Accuracy:
    """Ratios of seen to predicted values of a service."""

    def __init__(self) -> None:
        self.ratios: dict[Quantity, deque[float]] = defaultdict(
            lambda: deque(maxlen=_SAMPLE_LIMIT)
        )
        self.streams = 0
        self.beyond_high = 0
        """Streams longer than their 90th percentile."""

    def summarize(self) -> dict[str, list[float]]:
        """Return the 10th, 50th and 90th percentile of each ratio."""
        summary = {}
        for quantity, ratios in self.ratios.items():
            if len(ratios) >= _MIN_SAMPLES:
                deciles = statistics.quantiles(ratios, n=10)
                summary[quantity.value] = [
                    round(deciles[i], 2) for i in (0, 4, 8)
                ]
        return summary


class Calibration:
    """Ratios of seen to predicted values, as metrics and log events."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._accuracies: dict[ItemName, _Accuracy] = {}
        self._logged_at = clock.monotonic()

    def record(
        self, service: ItemName, predicted: Prediction, seen: Observation
    ) -> None:
        """Record a complete stream."""
        accuracy = self._accuracies.setdefault(service, _Accuracy())
        accuracy.streams += 1
        is_beyond = seen.events > predicted.events_high
        accuracy.beyond_high += is_beyond
        instruments.predicted_streams.add(
            1, {"service": service, "beyond_high": is_beyond}
        )
        for quantity, ratio in (
            (
                Quantity.FIRST_EVENT,
                seen.first_event_ms / max(1.0, predicted.first_event_ms),
            ),
            (Quantity.EVENTS, seen.events / max(1.0, predicted.events)),
            (Quantity.STAY, seen.stay_ms / max(1.0, predicted.stay_ms)),
        ):
            accuracy.ratios[quantity].append(ratio)
            instruments.prediction_ratios.record(
                ratio, {"service": service, "quantity": quantity.value}
            )
        if self._clock.monotonic() - self._logged_at >= _LOG_INTERVAL_S:
            self._log_accuracies()

    def _log_accuracies(self) -> None:
        self._logged_at = self._clock.monotonic()
        for service, accuracy in self._accuracies.items():
            if not accuracy.streams:
                continue
            events.log(
                _log,
                GatewayEvent.COST_ACCURACY,
                service=service,
                streams=accuracy.streams,
                beyond_high=accuracy.beyond_high,
                seen_to_predicted=accuracy.summarize(),
            )
            accuracy.streams = 0
            accuracy.beyond_high = 0

    def dump(self) -> dict[str, dict[str, list[float]]]:
        """Return percentiles of the ratios for each service."""
        return {
            service: accuracy.summarize()
            for service, accuracy in self._accuracies.items()
        }
