"""One target as routing sees it: its view, limits and requests in flight."""

from __future__ import annotations

from collections.abc import Callable
import enum
import random

from dotterelbridge import invariants
from dotterelbridge.ids import Incarnation
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Priority
from dotterelbridge.membership.view import TargetView
from dotterelbridge.routing.budget import RetryBudget
from dotterelbridge.routing.call import Call
from dotterelbridge.routing.concurrency import ConcurrencyLimit
from dotterelbridge.routing.ejection import Ejection
from dotterelbridge.routing.ejection import EjectionState
from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.routing.speed import LatencyEstimate
from dotterelbridge.targets.client import TargetClient


class Distance(enum.IntEnum):
    """Network distance of a target from this VM."""

    OWN_DOMAIN = 0
    OWN_REGION = 1
    OTHER_REGION = 2


class Outcome(enum.Enum):
    """How an attempt ended."""

    SUCCEEDED = "succeeded"
    OVERLOADED = "overloaded"
    NOT_READY = "not_ready"
    LEAVING = "leaving"
    CONNECT_FAILED = "connect_failed"
    BROKEN = "broken"
    CLOSED = "closed"
    """The target ended the connection before its answer was complete."""
    SILENT = "silent"
    """The target sent no data before the timeout."""
    FAILED = "failed"
    """The target responded with an error of its own."""
    CANCELLED = "cancelled"
    """The caller disconnected."""
    PREEMPTED = "displaced"
    """The stream was cancelled to free its slot for urgent work."""


_MAX_QUEUEING_SHARE = 0.8
"""Largest share of a time to first token that is attributed to queueing."""
_DEFAULT_CAPACITY_COUNT = 16
_DEFAULT_SLOT_HOLD_S = 2.0
_SLOWDOWN_PER_REQUEST_SHARE = 1 / 64
"""Slowdown per running request, as a share of the unloaded time."""
_FAILED_OUTCOMES = (
    Outcome.CONNECT_FAILED,
    Outcome.BROKEN,
    Outcome.CLOSED,
    Outcome.FAILED,
)


class Target:
    """A target and its slots; every request in flight holds one of them."""

    def __init__(
        self,
        view: TargetView,
        client: TargetClient,
        distance: Distance,
        settings: RoutingSettings,
        rng: random.Random,
    ) -> None:
        self.view = view
        self.client = client
        self.distance = distance
        self._settings = settings
        self.concurrency = ConcurrencyLimit(
            settings.initial_concurrency, settings.concurrency_limit
        )
        self.ejection = Ejection(
            settings.ejection_failures,
            settings.ejection_ms / 1000,
            settings.ejection_limit_ms / 1000,
            rng,
        )
        self.retry_budget = RetryBudget(
            settings.retry_budget_percent, settings.retry_reserve
        )
        self.latency = LatencyEstimate()
        self.slots: dict[Slot, None] = {}
        self._not_ready_until: dict[str, float] = {}
        self._reported_leaving = False
        self._capacity: int | None = None
        """Batch size of the engine; None until it was seen full."""

    @property
    def incarnation(self) -> Incarnation:
        """The target's name; the time of its start is not known here."""
        return get_incarnation(self.view)

    @property
    def in_flight(self) -> int:
        """Number of this VM's requests in flight at the target."""
        return len(self.slots)

    @property
    def takes_new_work(self) -> bool:
        """Whether the target takes new requests; false once it is leaving."""
        return (
            self.view.takes_new_work
            and not self._reported_leaving
            and not self.client.is_leaving
        )

    @property
    def is_ejected(self) -> bool:
        """Whether the target is ejected after failures."""
        return self.ejection.state is not EjectionState.ACTIVE

    @property
    def has_free_slot(self) -> bool:
        """Whether the concurrency limit allows another request."""
        return self.in_flight < self.concurrency.limit

    @property
    def is_batch_full(self) -> bool:
        """Whether a new request would wait for a place in the batch."""
        if self.view.waiting:
            return True
        running = self.view.running + self.count_sent_since_report()
        return self._capacity is not None and running >= self._capacity

    def update_view(self, view: TargetView) -> None:
        """Replace the target's view."""
        if view.state is not self.view.state:
            self._reported_leaving = False
        self.view = view
        self._update_capacity(view)

    def _update_capacity(self, view: TargetView) -> None:
        """Derive the batch size: what runs while other requests wait."""
        if (view.waiting and view.running) or (
            self._capacity is not None and view.running > self._capacity
        ):
            self._capacity = view.running

    def lacks_item(self, model: str, now: float) -> bool:
        """Whether the target recently reported the item as not ready."""
        until = self._not_ready_until.get(model)
        if until is None:
            return False
        if now < until:
            return True
        del self._not_ready_until[model]
        return False

    def count_sent_since_report(self) -> int:
        """Return the requests in flight that the last report can't include."""
        lag_s = self._settings.report_lag_ms / 1000
        included_before = self.view.reported_at - lag_s
        return sum(
            1 for slot in self.slots if slot.acquired_at > included_before
        )

    def estimate_queue_delay_s(self) -> float:
        """Return how long a new request would wait at the engine.

        Based on the last load report plus this VM's later requests. Each
        request beyond the engine's capacity waits for one running request
        to finish.
        """
        running = self.view.running + self.count_sent_since_report()
        capacity = self._capacity
        if capacity is None:
            ahead = self.view.waiting
            capacity = max(running, _DEFAULT_CAPACITY_COUNT)
        else:
            ahead = max(0, self.view.waiting + running + 1 - capacity)
        slot_hold_s = self.latency.slot_hold_s or _DEFAULT_SLOT_HOLD_S
        return ahead * slot_hold_s / capacity

    def estimate_batch_slowdown(self) -> float:
        """Return the factor by which the batch delays a first token."""
        running = self.view.running + self.count_sent_since_report()
        return 1.0 + running * _SLOWDOWN_PER_REQUEST_SHARE

    def find_longest_wait_s(self, now: float) -> float:
        """Return the longest current wait for a first token, in seconds."""
        return max(
            (
                now - slot.acquired_at
                for slot in self.slots
                if slot.first_token_at is None
            ),
            default=0.0,
        )

    def acquire_slot(self, call: Call, model: str, now: float) -> Slot:
        """Reserve a slot for one attempt."""
        invariants.check(
            self.takes_new_work,
            "leaving_target_gets_no_work",
            target=self.view.info.target,
        )
        slot = Slot(self, call, model, now)
        slot.expected_queue_delay_s = self.estimate_queue_delay_s()
        slot.batch_slowdown = self.estimate_batch_slowdown()
        self.slots[slot] = None
        return slot

    def release_slot(self, slot: Slot, outcome: Outcome, now: float):
        """Free a slot and record the attempt's outcome.

        Returns the duration in seconds if the outcome ejects the target.
        """
        invariants.check(
            slot in self.slots,
            "slot_released_once",
            target=self.view.info.target,
        )
        del self.slots[slot]
        if outcome is Outcome.SUCCEEDED:
            self.ejection.record_success()
            self.latency.record_slot_hold(now - slot.acquired_at, slot.tokens)
        elif outcome is Outcome.OVERLOADED:
            self.concurrency.record_overload(now)
        elif outcome is Outcome.NOT_READY:
            until = now + self._settings.not_ready_ms / 1000
            self._not_ready_until[slot.model] = until
        elif outcome is Outcome.LEAVING:
            self._reported_leaving = True
        elif outcome in _FAILED_OUTCOMES:
            return self.ejection.record_failure(now)
        return None

    def find_preemptible_slot(self) -> Slot | None:
        """Return the newest preemptible background stream.

        It has progressed least, so that its cancellation wastes the least.
        """
        chosen = None
        limit = self._settings.background_cancellations_limit
        for slot in self.slots:
            call = slot.call
            if call.priority is not Priority.BACKGROUND:
                continue
            if slot.preempt is None or call.preemptions >= limit:
                continue
            chosen = slot
        return chosen


def get_incarnation(view: TargetView) -> Incarnation:
    """Return the key by which VMs share what a target has said of itself."""
    return view.info.target, 0


class Slot:
    """Capacity for one attempt, reserved at a target."""

    def __init__(
        self, target: Target, call: Call, model: str, now: float
    ) -> None:
        self.target = target
        self.call = call
        self.model = model
        """NAME@VERSION to request, or the name of the service."""
        self.acquired_at = now
        self.first_token_at: float | None = None
        self.tokens = 0
        self.bytes_relayed = 0
        """Bytes of the request and of the response so far."""
        self.expected_queue_delay_s = 0.0
        """Estimated queueing delay at the engine, in seconds."""
        self.batch_slowdown = 1.0
        self.preempt: Callable[[], None] | None = None
        """Cancels the attempt to free the slot for urgent work; set by
        serving while the stream can be resumed."""
        self.preempted = False

    def compute_unloaded_first_token_s(self, elapsed: float) -> float:
        """Return an observed time to first token, corrected for load."""
        waited_s = min(
            self.expected_queue_delay_s, elapsed * _MAX_QUEUEING_SHARE
        )
        return (elapsed - waited_s) / self.batch_slowdown

    @property
    def item(self) -> ItemName:
        """Name of the model, adapter or service."""
        return self.call.item

    @property
    def model_version(self) -> str | None:
        """Version of the model to request; None for a service."""
        return self.model.partition("@")[2] or None

    @property
    def client(self) -> TargetClient:
        """Client of the chosen target."""
        return self.target.client
