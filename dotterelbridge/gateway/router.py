"""Finds a place at a target for each attempt, or refuses in time."""

from collections import Counter
from collections.abc import Callable
from collections.abc import Iterator
from datetime import timedelta
import enum
import random
from typing import Any

import anyio
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.messages import ItemDemand
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.gateway import instruments
from dotterelbridge.gateway.balance import choose_candidate
from dotterelbridge.gateway.budget import RetryShare
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.errors import NoPlace
from dotterelbridge.gateway.errors import NoPlaceReason
from dotterelbridge.gateway.events import GatewayEvent
from dotterelbridge.gateway.rates import ArrivalRates
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.gateway.target import GatewayTarget
from dotterelbridge.gateway.target import Place
from dotterelbridge.gateway.target import create_gateway_target
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Region
from dotterelbridge.ids import TargetId
from dotterelbridge.targets.settings import TargetsSettings

_log = structlog.get_logger(__name__)

_SWEEP_INTERVAL = timedelta(milliseconds=100)
_PROBE_TIMEOUT = timedelta(seconds=1)
_LOAD_MARGIN_S = 0.2
"""Time beyond a load for the news of it and for a first event."""
_FULL_RETRY = timedelta(seconds=1)
"""Time in which targets that are full end about half of their requests."""
_DISTANCE_COSTS = (0.0, 0.01, 0.06)
"""Cost of a target in the own failure domain, in the own region, and in
another one, in shares of its slots: the bytes of a stream that crosses
regions cost some hundredths of its worth, a pause in a stream at a busy
engine two thirds of it."""
_REPORT_PERIOD_S = 0.75
"""Time for which a report is acted on: the interval of reports, and for
which the feed gathers loads."""
_LACKING_LOAD_S = 1.0
_ELSEWHERE = timedelta(milliseconds=50)
"""Time after which a caller may try another VM."""


class Outcome(enum.Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    REFUSED = "refused"
    """Not run: full."""
    LACKING = "lacking"
    """Not run: another target, or without the item."""
    CONNECT_FAILED = "connect_failed"
    BROKEN = "broken"
    CANCELLED = "cancelled"


_FAILURES = (Outcome.CONNECT_FAILED, Outcome.BROKEN)


class _Waiter:
    """A request that waits for a place."""

    def __init__(self, call: GatewayCall, since: float) -> None:
        self.call = call
        self.since = since
        self.place: Place | None = None
        self.changed = anyio.Event()

    def rate_order(self, now: float) -> tuple[bool, int, float]:
        """Return what sorts those first that are not late yet.

        Of these the most urgent, then the one with least time.
        """
        return (self.call.is_late(now), self.call.urgency, self.call.begins_by)

    def grant(self, place: Place) -> None:
        self.place = place
        self.changed.set()


class GatewayRouter(Dumpable):
    """All targets as this VM sees them, and the requests that wait."""

    def __init__(
        self,
        board: FleetState,
        clock: Clock,
        settings: GatewaySettings,
        targets_settings: TargetsSettings,
        rng: random.Random,
        failure_domain: FailureDomain,
        regions: dict[FailureDomain, Region],
        count_entry_vms: Callable[[], int],
    ) -> None:
        self._board = board
        self._clock = clock
        self._settings = settings
        self._targets_settings = targets_settings
        self._random = rng
        self._domain = failure_domain
        self._regions = regions
        self._count_entry_vms = count_entry_vms
        self._targets: dict[TargetId, GatewayTarget] = {}
        self._waiters: list[_Waiter] = []
        self._shares: dict[ItemName, RetryShare] = {}
        self._arrivals: Counter[ItemKey] = Counter()
        self._running: Counter[ItemKey] = Counter()
        self._rates = ArrivalRates(clock)
        self._is_draining = False
        self.missing_item_event = anyio.Event()
        """Set while a request waits for an item that nothing holds."""
        board.subscribe(self._refresh)
        self._refresh()

    # Requests.

    def record_arrival(self, call: GatewayCall) -> None:
        """Count a request that arrived."""
        self.share_of(call).count_request()
        if call.item is not None:
            self._arrivals[call.item] += 1
            self._rates.count(call.item)

    def start_draining(self) -> None:
        """Refuse those who wait, and all that would have to.

        They have not run, and another VM may have the time that this one
        has not: its process is ended after a while, answered or not.
        """
        self._is_draining = True
        for waiter in self._waiters:
            waiter.changed.set()

    def share_of(self, call: GatewayCall) -> RetryShare:
        """Return the retry budget of the call's service."""
        name = call.service.name
        if name not in self._shares:
            self._shares[name] = RetryShare(
                self._settings, self._clock, self._count_entry_vms
            )
        return self._shares[name]

    async def acquire(self, call: GatewayCall) -> Place:
        """Return a place for one attempt.

        :raises NoPlace: there is none in time; nothing was sent.
        """
        now = self._clock.monotonic()
        waiter = _Waiter(call, now)
        place = self._try_take(call)
        if place is not None:
            return place
        self._check_hope(waiter)
        self._log_waiting(call)
        self._waiters.append(waiter)
        try:
            while True:
                waiter.changed = anyio.Event()
                with anyio.move_on_after(_SWEEP_INTERVAL.total_seconds()):
                    await waiter.changed.wait()
                if waiter.place is not None:
                    break
                self._check_hope(waiter)
            self._measure_wait(waiter, "placed")
            return waiter.place
        except NoPlace:
            self._measure_wait(waiter, "refused")
            raise
        except BaseException:
            if waiter.place is not None:
                self.release(waiter.place, Outcome.CANCELLED)
            raise
        finally:
            self._waiters.remove(waiter)

    def _measure_wait(self, waiter: _Waiter, outcome: str) -> None:
        instruments.waits.record(
            self._clock.monotonic() - waiter.since,
            {"service": waiter.call.service.name, "outcome": outcome},
        )

    def count_waiting_requests(self) -> int:
        """Return the requests that wait for a place."""
        return len(self._waiters)

    def release(self, place: Place, outcome: Outcome) -> None:
        """Give a place back and learn from how the attempt ended."""
        holder = place.holder
        holder.in_flight -= 1
        instruments.attempts.add(
            1,
            {
                "service": place.call.service.name,
                "outcome": outcome.value,
            },
        )
        now = self._clock.monotonic()
        if place.call.item is not None:
            self._running[place.call.item] -= 1
        if outcome is Outcome.ANSWERED:
            holder.ejection.record_success()
            if place.call.item is not None:
                holder.note_held(place.call.item)
        elif outcome is Outcome.LACKING and place.call.item is not None:
            holder.note_lacking(place.call.item, now)
        elif outcome in _FAILURES:
            ejected_s = holder.ejection.record_failure(now)
            if ejected_s is not None:
                events.log(
                    _log,
                    GatewayEvent.TARGET_EJECTED,
                    target=holder.target.target,
                    duration_s=round(ejected_s, 3),
                    outcome=outcome.value,
                )
        self._dispatch()

    # Demand.

    def read_demand(self) -> tuple[ItemDemand, ...]:
        """Return the demand since the last reading."""
        waiting = Counter(
            waiter.call.item
            for waiter in self._waiters
            if waiter.call.item is not None
        )
        arrivals, self._arrivals = self._arrivals, Counter()
        self._running = +self._running
        items = {*waiting, *arrivals, *self._running}
        return tuple(
            ItemDemand(
                item, arrivals[item], self._running[item], waiting[item]
            )
            for item in sorted(items)
        )

    # The daemon's part.

    async def run(self) -> None:
        """Tend the connections and the ejected targets until cancelled."""
        async with anyio.create_task_group() as group:
            while True:
                await self._clock.sleep(_SWEEP_INTERVAL)
                now = self._clock.monotonic()
                for target in list(self._targets.values()):
                    target.client.sweep()
                    if target.ejection.is_probe_due(now):
                        target.ejection.start_probe()
                        group.start_soon(self._probe, target)

    def dump(self) -> dict[str, Any]:
        return {
            "waiting": len(self._waiters),
            "targets": {
                name: {
                    "service": target.target.service,
                    "phase": target.target.phase.value,
                    "in_flight": target.in_flight,
                    "estimated_load": target.estimate_load(),
                    "ejection": target.ejection.state.value,
                    "is_unreachable": target.is_unreachable,
                    "connections": target.client.counts(),
                }
                for name, target in self._targets.items()
            },
        }

    async def _probe(self, target: GatewayTarget) -> None:
        answered = await target.client.probe(
            _PROBE_TIMEOUT, target.health_path
        )
        target.ejection.finish_probe(answered, self._clock.monotonic())
        self._dispatch()

    def _refresh(self) -> None:
        """Take what changed on the board."""
        for name, known in list(self._targets.items()):
            target = self._board.targets.get(name)
            if target is None or target.born != known.target.born:
                self._targets.pop(name).client.close()
        for name, target in self._board.targets.items():
            known = self._targets.get(name)
            if known is not None and known.target is target:
                continue
            if known is not None:
                known.update(target, self._clock.monotonic())
            else:
                self._targets[name] = create_gateway_target(
                    target,
                    self._find_distance(target),
                    self._settings,
                    self._targets_settings,
                    self._clock,
                    self._random,
                )
        self._dispatch()

    def _find_distance(self, target: FleetTarget) -> int:
        if target.failure_domain == self._domain:
            return 0
        own = self._regions.get(self._domain)
        same = self._regions.get(target.failure_domain) == own
        return 1 if same else 2

    def _dispatch(self) -> None:
        """Give places to those who wait, the most urgent first."""
        if not self._waiters:
            return
        now = self._clock.monotonic()
        for waiter in sorted(
            self._waiters, key=lambda waiter: waiter.rate_order(now)
        ):
            if waiter.place is None:
                place = self._try_take(waiter.call)
                if place is not None:
                    waiter.grant(place)

    def _list_holders(self, call: GatewayCall) -> Iterator[GatewayTarget]:
        now = self._clock.monotonic()
        for target in self._targets.values():
            if (
                target.target.service == call.service.name
                and target.takes_new_work
                and not target.is_unreachable
                and not target.lacks(call.item, now)
            ):
                yield target

    def _try_take(self, call: GatewayCall) -> Place | None:
        targets = [t for t in self._list_holders(call) if t.has_room()]
        if not targets:
            return None
        targets = self._list_preferred(call, targets)
        chosen = choose_candidate(
            [t.describe_load(_DISTANCE_COSTS[t.distance]) for t in targets],
            self._count_entry_vms(),
            self._expect_requests(call),
            self._random,
        )
        if call.item is not None:
            self._running[call.item] += 1
        return targets[chosen].take(call)

    def _list_preferred(
        self, call: GatewayCall, targets: list[GatewayTarget]
    ) -> list[GatewayTarget]:
        """Leave out those that failed, unless all of them did."""
        sound = [t for t in targets if not t.is_ejected] or targets
        fresh = [t for t in sound if t.target.target not in call.avoided]
        return fresh or sound

    def _expect_requests(self, call: GatewayCall) -> float:
        """Return such requests of all VMs until the next report."""
        if call.item is None:
            return 0.0
        per_s = self._rates.read(call.item) * self._count_entry_vms()
        return per_s * _REPORT_PERIOD_S

    def _check_hope(self, waiter: _Waiter) -> None:
        """Raise NoPlace once waiting on would be of no use."""
        call = waiter.call
        now = self._clock.monotonic()
        left_s = call.patience_s(now)
        if self._is_draining:
            raise NoPlace(
                NoPlaceReason.DRAINING,
                "this VM is shutting down and has no place at once",
                "send it again; another VM takes it",
                _ELSEWHERE,
            )
        total_s = call.begins_by - call.started_at
        if next(self._list_holders(call), None) is not None:
            if left_s < total_s * (1 - self._settings.wait_percent / 100):
                raise NoPlace(
                    NoPlaceReason.FULL,
                    "every target that could take the request is full",
                    "send it again after the time in Retry-After",
                    _FULL_RETRY,
                )
            return
        self.missing_item_event.set()
        expected_s = self._find_expected(call)
        if expected_s is None:
            settings = self._settings
            share_s = total_s * settings.absent_percent / 100
            limit_s = min(settings.absent_grace_ms / 1000, share_s)
            if now - waiter.since > limit_s:
                raise NoPlace(
                    NoPlaceReason.ABSENT,
                    "no target holds what the request needs",
                    "send it again after the time in Retry-After; its load "
                    "has been asked for",
                    timedelta(seconds=_LACKING_LOAD_S),
                )
        elif expected_s + _LOAD_MARGIN_S > left_s:
            raise NoPlace(
                NoPlaceReason.LOADING,
                f"what the request needs is loaded in {expected_s:.1f} s",
                "send it again after the time in Retry-After",
                timedelta(seconds=expected_s + _LOAD_MARGIN_S),
            )

    def _find_expected(self, call: GatewayCall) -> float | None:
        """Return when the item will be there, if that is known.

        An adapter of a model that is still to come takes no longer.
        """
        if call.item is None:
            return None
        expected_s = self._board.find_load_time_left_s(call.item)
        if expected_s is None and call.item.adapter:
            return self._board.find_load_time_left_s(call.item.base_model)
        return expected_s

    def _log_waiting(self, call: GatewayCall) -> None:
        holders = list(self._list_holders(call))
        events.log(
            _log,
            GatewayEvent.REQUEST_WAITS,
            request=call.request.request,
            service=call.service.name,
            model=call.request.model,
            adapter=call.request.adapter,
            holders=len(holders),
            loads=[target.estimate_load() for target in holders],
            expected_in_s=self._find_expected(call),
        )


def create_gateway_router(
    board: FleetState,
    clock: Clock,
    settings: GatewaySettings,
    targets_settings: TargetsSettings,
    rng: random.Random,
    failure_domain: FailureDomain,
    regions: dict[FailureDomain, Region],
    count_entry_vms: Callable[[], int],
) -> GatewayRouter:
    """Return the router of a VM that stands in the given domain."""
    return GatewayRouter(
        board,
        clock,
        settings,
        targets_settings,
        rng,
        failure_domain,
        regions,
        count_entry_vms,
    )
