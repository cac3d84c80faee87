"""All targets as one entry VM sees them."""

from collections import defaultdict
from collections.abc import Callable
from collections.abc import Iterator
from datetime import timedelta
import random
import statistics

from anyio.abc import TaskGroup
import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.error_watch import ErrorWatch
from dotterelbridge.gateway.events import GatewayEvent
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.gateway.target import GatewayTarget
from dotterelbridge.gateway.target import create_gateway_target
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Region
from dotterelbridge.ids import TargetId
from dotterelbridge.permits.limiter import RateLimiter
from dotterelbridge.quarantine.crash_watch import CrashWatch
from dotterelbridge.targets.buffer_budget import BufferBudget
from dotterelbridge.targets.client import ProbeOutcome
from dotterelbridge.targets.settings import TargetsSettings

_log = structlog.get_logger(__name__)

_PROBE_TIMEOUT = timedelta(seconds=1)
_MIN_MEASURED_TARGETS = 3
"""Targets whose speed is known, from which a usual speed can be told."""
_SLOW_RATIO = 2.0
"""Ratio to the usual time between events from which a target counts as slow;
models and batches of different sizes differ by less."""


class TargetTable:
    """Keeps the state of each target in step with the fleet state."""

    def __init__(
        self,
        fleet_state: FleetState,
        clock: Clock,
        settings: GatewaySettings,
        targets_settings: TargetsSettings,
        rng: random.Random,
        failure_domain: FailureDomain,
        regions: dict[FailureDomain, Region],
        limiter: RateLimiter,
        buffer_budget: BufferBudget,
        crash_watch: CrashWatch,
        error_watch: ErrorWatch | None,
        count_entry_vms: Callable[[], int],
    ) -> None:
        """Create an empty table.

        :param error_watch: finds targets that answer with errors; None if
            these get requests like any other.
        """
        self.targets: dict[TargetId, GatewayTarget] = {}
        self._fleet_state = fleet_state
        self._clock = clock
        self._settings = settings
        self._targets_settings = targets_settings
        self._random = rng
        self._failure_domain = failure_domain
        self._regions = regions
        self._limiter = limiter
        self._buffer_budget = buffer_budget
        self._crash_watch = crash_watch
        self._error_watch = error_watch
        self._count_entry_vms = count_entry_vms
        self._highest_error_percent = 0
        """The highest share of errors that is published."""
        self._versioned_services: set[ItemName] = set()
        """Services of which a target has stated its software version. In
        these, targets that state none may run any version."""

    def update(self) -> None:
        """Apply changes of the fleet state."""
        for name, known in list(self.targets.items()):
            target = self._fleet_state.targets.get(name)
            if target is None or target.born != known.view.born:
                if known.takes_new_work:
                    self._crash_watch.record_crash(known.incarnation)
                self.targets.pop(name).client.close()
                self._limiter.forget(known.incarnation)
                if self._error_watch is not None:
                    self._error_watch.forget(known.incarnation)
        for name, target in self._fleet_state.targets.items():
            known = self.targets.get(name)
            if known is not None and known.view is target:
                continue
            if target.software:
                self._versioned_services.add(target.service)
            if known is not None:
                known.update(target, self._clock.monotonic())
            else:
                self.targets[name] = create_gateway_target(
                    target,
                    self._find_distance(target),
                    self._settings,
                    self._targets_settings,
                    self._clock,
                    self._random,
                    self._limiter,
                    self._buffer_budget,
                )
        self._update_slowness()
        if self._error_watch is not None:
            self._highest_error_percent = max(
                (t.view.load.error_percent for t in self.targets.values()),
                default=0,
            )

    def list_suitable(self, call: GatewayCall) -> Iterator[GatewayTarget]:
        """Yield the eligible targets, and those that asked to wait."""
        if not self._has_error_evidence():
            yield from self._list_holders(call)
            return
        for target in self._list_holders(call):
            if not self._is_failing(target):
                yield target

    def _has_error_evidence(self) -> bool:
        return (
            self._error_watch is not None
            and self._error_watch.has_evidence(self._highest_error_percent)
        )

    def _list_holders(self, call: GatewayCall) -> Iterator[GatewayTarget]:
        """Yield the reachable targets that can run the request."""
        now = self._clock.monotonic()
        for target in self.list_continuing(call):
            if not target.lacks_item(call.item, now):
                yield target

    def _list_reachable(self, call: GatewayCall) -> Iterator[GatewayTarget]:
        for target in self.targets.values():
            if (
                target.view.service == call.service.name
                and target.takes_new_work
                and not target.is_unreachable
            ):
                yield target

    def _can_continue(self, target: GatewayTarget, call: GatewayCall) -> bool:
        """Whether a target fits what the caller already has of a stream.

        Where no target of the service states a version, all count as one.
        """
        if call.origin is None:
            return True
        software = call.origin.software
        return target.view.software == software and (
            bool(software) or call.service.name not in self._versioned_services
        )

    def list_continuing(self, call: GatewayCall) -> Iterator[GatewayTarget]:
        """Yield the reachable targets that fit the stream that has begun.

        They may not hold the item, or be busy.
        """
        for target in self._list_reachable(call):
            if self._can_continue(target, call):
                yield target

    def is_held_elsewhere(self, call: GatewayCall) -> bool:
        """Whether only targets that do not fit the stream hold the item."""
        item = call.item
        holders = [
            target
            for target in self._list_reachable(call)
            if item is None or target.view.holds(item.model, item.adapter)
        ]
        return bool(holders) and not any(
            self._can_continue(target, call) for target in holders
        )

    def _is_failing(self, target: GatewayTarget) -> bool:
        """Whether a target would probably answer with an error."""
        return self._error_watch is not None and self._error_watch.is_failing(
            target, self.targets.values()
        )

    def list_eligible(self, call: GatewayCall) -> Iterator[GatewayTarget]:
        """Yield the targets that can take the request, busy ones included."""
        for target in self.list_suitable(call):
            if not target.client.is_held_back:
                yield target

    def list_free(self, call: GatewayCall) -> list[GatewayTarget]:
        """Return the targets with a free slot, without those that failed."""
        targets = [t for t in self.list_eligible(call) if t.has_free_slot()]
        targets = self._filter_failed(call, targets)
        if self._error_watch is None or not self._has_error_evidence():
            return targets
        trial = self._find_trial(call, self._error_watch)
        return [trial] if trial else self._error_watch.prefer_sound(targets)

    def _find_trial(
        self, call: GatewayCall, error_watch: ErrorWatch
    ) -> GatewayTarget | None:
        """Return a failing target that the request is to try, if any."""
        for target in self._list_holders(call):
            if (
                self._is_failing(target)
                and target.has_free_slot()
                and not target.client.is_held_back
                and not target.is_ejected
                and error_watch.takes_trial(
                    call, target, self._count_entry_vms()
                )
            ):
                return target
        return None

    def _filter_failed(
        self, call: GatewayCall, targets: list[GatewayTarget]
    ) -> list[GatewayTarget]:
        """Leave out targets that failed, unless all of them did."""
        healthy = [t for t in targets if not t.is_ejected] or targets
        not_excluded = [
            t for t in healthy if t.view.target not in call.excluded_targets
        ]
        return not_excluded or healthy

    def _update_slowness(self) -> None:
        """Compare how fast the streams of each service's targets advance."""
        gaps_ms: dict[ItemName, list[int]] = defaultdict(list)
        for target in self.targets.values():
            if target.view.load.event_gap_ms:
                gaps_ms[target.view.service].append(
                    target.view.load.event_gap_ms
                )
        usual_ms = {
            service: statistics.median_low(gaps)
            for service, gaps in gaps_ms.items()
            if len(gaps) >= _MIN_MEASURED_TARGETS
        }
        for target in self.targets.values():
            usual = usual_ms.get(target.view.service)
            ratio = target.view.load.event_gap_ms / usual if usual else 0.0
            slowness = ratio if ratio > _SLOW_RATIO else 1.0
            if (slowness > 1.0) != target.is_slow:
                self._log_speed(target, ratio, usual)
            target.slowness = slowness

    def _log_speed(
        self, target: GatewayTarget, ratio: float, usual_ms: int | None
    ) -> None:
        events.log(
            _log,
            GatewayEvent.TARGET_NOT_SLOW
            if target.is_slow
            else GatewayEvent.TARGET_SLOW,
            target=target.view.target,
            event_gap_ms=target.view.load.event_gap_ms,
            usual_gap_ms=usual_ms,
            ratio=round(ratio, 1),
        )

    def _find_distance(self, target: FleetTarget) -> int:
        if target.failure_domain == self._failure_domain:
            return 0
        own_region = self._regions.get(self._failure_domain)
        is_same_region = self._regions.get(target.failure_domain) == own_region
        return 1 if is_same_region else 2

    # Probes.

    def start_probes(
        self, group: TaskGroup, on_probed: Callable[[], None]
    ) -> None:
        """Close idle connections, and probe the ejected targets that are due.

        :param on_probed: called after each probe.
        """
        now = self._clock.monotonic()
        for target in list(self.targets.values()):
            if target.client.has_connections:
                target.client.enforce_timeouts()
            if target.is_ejected and target.ejection.is_probe_due(now):
                target.ejection.start_probe()
                group.start_soon(self._probe, target, on_probed)

    async def _probe(
        self, target: GatewayTarget, on_probed: Callable[[], None]
    ) -> None:
        """Probe a target's health, or only connect to one with a rate limit.

        A request for its health takes a slot there, like any other.
        """
        path = target.health_path
        if self._limiter.find_limit(target.incarnation) is not None:
            path = ""
        outcome = await target.client.probe(_PROBE_TIMEOUT, path)
        target.ejection.finish_probe(
            outcome is ProbeOutcome.UP, self._clock.monotonic()
        )
        if outcome is ProbeOutcome.REFUSED and target.takes_new_work:
            self._crash_watch.record_crash(target.incarnation)
        on_probed()
