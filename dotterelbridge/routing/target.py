"""One target as routing sees it: its view, limits and work in flight."""

from __future__ import annotations

from collections.abc import Callable
import enum
import random

from dotterelbridge import invariants
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Priority
from dotterelbridge.membership.view import TargetView
from dotterelbridge.routing.budget import RetryBudget
from dotterelbridge.routing.call import Call
from dotterelbridge.routing.concurrency import ConcurrencyLimit
from dotterelbridge.routing.ejection import Ejection
from dotterelbridge.routing.ejection import EjectionState
from dotterelbridge.routing.settings import RoutingSettings
from dotterelbridge.routing.speed import SpeedEstimate
from dotterelbridge.targets.client import TargetClient


class Distance(enum.IntEnum):
    """Where a target stands, seen from this VM."""

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
    SILENT = "silent"
    FAILED = "failed"
    """The target answered with an error of its own."""
    CANCELLED = "cancelled"
    """The caller hung up."""
    DISPLACED = "displaced"
    """The stream made room for urgent work."""


_WAIT_SHARE_LIMIT = 0.8
"""Share of an observed time that an expected wait may explain."""
_UNKNOWN_CAPACITY = 16
_UNKNOWN_HOLD_S = 2.0
_RUNNING_COST = 1 / 64
"""Slowdown by each running request, in shares of the unloaded time."""
_FAILURES = (Outcome.CONNECT_FAILED, Outcome.BROKEN, Outcome.FAILED)


class Target:
    """Aggregate: work in flight never exceeds what was taken here."""

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
        self.limit = ConcurrencyLimit(
            settings.initial_concurrency, settings.concurrency_limit
        )
        self.ejection = Ejection(
            settings.ejection_failures,
            settings.ejection_ms / 1000,
            settings.ejection_limit_ms / 1000,
            rng,
        )
        self.retries = RetryBudget(
            settings.retry_budget_percent, settings.retry_reserve
        )
        self.speed = SpeedEstimate()
        self.slots: dict[Slot, None] = {}
        self._not_ready: dict[str, float] = {}
        self._leaving_said = False
        self._capacity: int | None = None
        """Requests that the engine runs at once, once it was seen full."""

    @property
    def in_flight(self) -> int:
        """Requests of this VM that the target holds."""
        return len(self.slots)

    @property
    def takes_new_work(self) -> bool:
        """Whether new requests may be sent here."""
        return self.view.takes_new_work and not self._leaving_said

    @property
    def is_ejected(self) -> bool:
        """Whether failures keep requests away."""
        return self.ejection.state is not EjectionState.ACTIVE

    @property
    def has_room(self) -> bool:
        """Whether a request may be sent now."""
        return self.in_flight < self.limit.limit

    @property
    def is_full(self) -> bool:
        """Whether the engine has no free place in its batch."""
        if self.view.waiting:
            return True
        running = self.view.running + self.sent_since_report()
        return self._capacity is not None and running >= self._capacity

    def update(self, view: TargetView) -> None:
        """Take a new view."""
        if view.state is not self.view.state:
            self._leaving_said = False
        self.view = view
        self._learn_capacity(view)

    def _learn_capacity(self, view: TargetView) -> None:
        """Take what runs while others wait for the engine's capacity."""
        if (view.waiting and view.running) or (
            self._capacity is not None and view.running > self._capacity
        ):
            self._capacity = view.running

    def lacks(self, model: str, now: float) -> bool:
        """Whether the target just said that the item isn't ready."""
        until = self._not_ready.get(model)
        if until is None:
            return False
        if now < until:
            return True
        del self._not_ready[model]
        return False

    def sent_since_report(self) -> int:
        """Requests in flight that the last load report can't include."""
        lag_s = self._settings.report_lag_ms / 1000
        included_before = self.view.reported_at - lag_s
        return sum(1 for slot in self.slots if slot.taken_at > included_before)

    def queue_delay_s(self) -> float:
        """Return how long a new request would wait at the engine.

        From the last report, with this VM's later requests on top: each
        request beyond the engine's capacity waits for one place to be
        freed.
        """
        running = self.view.running + self.sent_since_report()
        capacity = self._capacity
        if capacity is None:
            ahead = self.view.waiting
            capacity = max(running, _UNKNOWN_CAPACITY)
        else:
            ahead = max(0, self.view.waiting + running + 1 - capacity)
        hold_s = self.speed.hold_s or _UNKNOWN_HOLD_S
        return ahead * hold_s / capacity

    def batch_factor(self) -> float:
        """Return how many times an empty engine's time the batch takes."""
        running = self.view.running + self.sent_since_report()
        return 1.0 + running * _RUNNING_COST

    def oldest_wait(self, now: float) -> float:
        """Longest current wait for a first token, in seconds."""
        return max(
            (
                now - slot.taken_at
                for slot in self.slots
                if slot.first_token_at is None
            ),
            default=0.0,
        )

    def take(self, call: Call, model: str, now: float) -> Slot:
        """Occupy a place for one attempt."""
        invariants.check(
            self.takes_new_work,
            "leaving_target_gets_no_work",
            target=self.view.info.target,
        )
        slot = Slot(self, call, model, now)
        slot.queue_delay_s = self.queue_delay_s()
        slot.batch_factor = self.batch_factor()
        self.slots[slot] = None
        return slot

    def release(self, slot: Slot, outcome: Outcome, now: float):
        """Free the place and learn; return seconds of a new ejection."""
        invariants.check(
            slot in self.slots,
            "slot_released_once",
            target=self.view.info.target,
        )
        del self.slots[slot]
        if outcome is Outcome.SUCCEEDED:
            self.ejection.record_success()
            self.speed.record_hold(now - slot.taken_at, slot.tokens)
        elif outcome is Outcome.OVERLOADED:
            self.limit.record_overload(now)
        elif outcome is Outcome.NOT_READY:
            until = now + self._settings.not_ready_ms / 1000
            self._not_ready[slot.model] = until
        elif outcome is Outcome.LEAVING:
            self._leaving_said = True
        elif outcome in _FAILURES:
            return self.ejection.record_failure(now)
        return None

    def find_displaceable(self) -> Slot | None:
        """Return the background stream that gives way with least loss."""
        chosen = None
        limit = self._settings.background_cancellations_limit
        for slot in self.slots:
            call = slot.call
            if call.priority is not Priority.BACKGROUND:
                continue
            if slot.displace is None or call.cancellations >= limit:
                continue
            chosen = slot
        return chosen


class Slot:
    """The place of one attempt at a target."""

    def __init__(
        self, target: Target, call: Call, model: str, now: float
    ) -> None:
        self.target = target
        self.call = call
        self.model = model
        """NAME@VERSION to ask for, or the service's name."""
        self.taken_at = now
        self.first_token_at: float | None = None
        self.tokens = 0
        self.bytes_relayed = 0
        """Bytes of the request and of the answer so far."""
        self.queue_delay_s = 0.0
        """Wait that was expected at the engine, in seconds."""
        self.batch_factor = 1.0
        self.displace: Callable[[], None] | None = None
        """Ends the attempt so that urgent work gets its place; set by
        serving while the stream can be resumed."""
        self.displaced = False

    def unloaded_s(self, elapsed: float) -> float:
        """Return an observed time to first token without the load's part."""
        waited_s = min(self.queue_delay_s, elapsed * _WAIT_SHARE_LIMIT)
        return (elapsed - waited_s) / self.batch_factor

    @property
    def item(self) -> ItemName:
        """Name of the model, adapter or service."""
        return self.call.item

    @property
    def client(self) -> TargetClient:
        """Client of the chosen target."""
        return self.target.client
