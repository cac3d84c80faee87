"""Decides whether a request may wait for a slot, or is refused at once."""

from collections.abc import Callable
from datetime import timedelta

from dotterelbridge.clock import Clock
from dotterelbridge.fleet.fleet_state import FleetState
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.errors import NoTargetAvailable
from dotterelbridge.gateway.errors import UnavailableReason
from dotterelbridge.gateway.queued_request import QueuedRequest
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.gateway.target_table import TargetTable
from dotterelbridge.permits.limiter import RateLimiter
from dotterelbridge.resumption.recorder import StreamOrigin

_LOAD_MARGIN_S = 0.2
"""Allowance after the end of a load: time until this VM learns of it, and
until the stream's first event."""
_FULL_RETRY_AFTER = timedelta(seconds=1)
"""Full targets finish about half of their requests in this time."""
_NOT_LOADED_RETRY_AFTER_S = 1.0
_OTHER_VM_RETRY_AFTER = timedelta(milliseconds=50)
"""Delay after which a caller may retry at another VM."""
_VERSION_GONE_RETRY_AFTER = timedelta(seconds=1)
"""A crashed target may be back by then."""


class WaitPolicy:
    """Refuses requests that cannot get a slot in time."""

    def __init__(
        self,
        table: TargetTable,
        fleet_state: FleetState,
        limiter: RateLimiter,
        settings: GatewaySettings,
        clock: Clock,
        report_missing_item: Callable[[], None],
    ) -> None:
        """Create a policy.

        :param report_missing_item: called when a request waits for an item
            that no target holds.
        """
        self.is_draining = False
        """Whether this process stops, so that no request may wait."""
        self._table = table
        self._fleet_state = fleet_state
        self._limiter = limiter
        self._settings = settings
        self._clock = clock
        self._report_missing_item = report_missing_item

    def check(self, queued: QueuedRequest) -> None:
        """Check that the request can still get a slot in time.

        :raises NoTargetAvailable: waiting longer is of no use.
        """
        call = queued.call
        now = self._clock.monotonic()
        remaining_s = call.remaining_first_byte_s(now)
        if self.is_draining:
            raise NoTargetAvailable(
                UnavailableReason.DRAINING,
                "this VM is shutting down and has no free slot",
                "send it again; another VM takes it",
                _OTHER_VM_RETRY_AFTER,
            )
        self._check_version(call)
        total_s = call.first_byte_deadline_at - call.started_at
        if next(self._table.list_eligible(call), None) is not None:
            if remaining_s > 0 and self._may_wait_for_permit(queued, now):
                return
            if remaining_s < total_s * (1 - self._settings.wait_percent / 100):
                raise NoTargetAvailable(
                    UnavailableReason.FULL,
                    "every target that could take the request is full",
                    "send it again after the time in Retry-After",
                    _FULL_RETRY_AFTER,
                )
            return
        if self._may_wait_for_held_target(call, remaining_s, total_s):
            return
        if not queued.is_reported:
            queued.is_reported = True
            self._report_missing_item()
        self._check_load(queued, now, remaining_s, total_s)

    def _check_version(self, call: GatewayCall) -> None:
        """Check that a stream that has begun has a target to go on at.

        :raises NoTargetAvailable: there is none, and none is to be expected.
        """
        if call.origin is None:
            return
        if next(self._table.list_continuing(call), None) is None:
            raise _create_version_gone_error(call.origin)

    def _check_load(
        self,
        queued: QueuedRequest,
        now: float,
        remaining_s: float,
        total_s: float,
    ) -> None:
        """Check that a load of the missing item ends in time.

        :raises NoTargetAvailable: it does not, or none is announced.
        """
        load_time_left_s = self.find_load_time_left_s(queued.call)
        if load_time_left_s is None:
            origin = queued.call.origin
            if origin is not None and self._table.is_held_elsewhere(
                queued.call
            ):
                # Placement counts the item as served, so that it does not
                # load it at a target of the stream's version.
                raise _create_version_gone_error(origin)
            settings = self._settings
            percent_limit_s = total_s * settings.absent_percent / 100
            limit_s = min(settings.absent_grace_ms / 1000, percent_limit_s)
            if now - queued.queued_at > limit_s:
                raise NoTargetAvailable(
                    UnavailableReason.NOT_LOADED,
                    "no target holds what the request needs",
                    "send it again after the time in Retry-After; a load "
                    "has been requested",
                    timedelta(seconds=_NOT_LOADED_RETRY_AFTER_S),
                )
        elif load_time_left_s + _LOAD_MARGIN_S > remaining_s:
            raise NoTargetAvailable(
                UnavailableReason.LOADING,
                "the model or adapter that the request needs will be loaded "
                f"in {load_time_left_s:.1f} s",
                "send it again after the time in Retry-After",
                timedelta(seconds=load_time_left_s + _LOAD_MARGIN_S),
            )

    def _may_wait_for_held_target(
        self, call: GatewayCall, remaining_s: float, total_s: float
    ) -> bool:
        """Return whether a target that asked to wait takes requests in time.

        False if there is no such target.

        :raises NoTargetAvailable: the earliest of them returns too late.
        """
        held_back_s = min(
            (
                target.client.held_back_s
                for target in self._table.list_suitable(call)
            ),
            default=None,
        )
        if held_back_s is None:
            return False
        wait_limit_s = total_s * self._settings.wait_percent / 100
        waited_s = total_s - remaining_s
        if waited_s + held_back_s > wait_limit_s:
            raise NoTargetAvailable(
                UnavailableReason.HELD_BACK,
                "every target that could take the request asked to wait",
                "send it again after the time in Retry-After",
                timedelta(seconds=held_back_s),
            )
        return True

    def _may_wait_for_permit(self, queued: QueuedRequest, now: float) -> bool:
        """Return whether a permit for a target with a rate limit will do.

        Orders one if the free targets have a limit. False if there is no
        such target, or if another one may take the request.

        :raises NoTargetAvailable: no permit will be usable in time.
        """
        call = queued.call
        limited = [
            target.incarnation
            for target in self._table.list_free(call)
            if self._limiter.find_limit(target.incarnation) is not None
        ]
        if not limited:
            return False
        if queued.permit is not None and queued.permit.is_open(now):
            return True
        waited_s = now - call.started_at
        max_wait_s = max(0.0, self._find_wait_limit_s(call) - waited_s)
        queued.permit = self._limiter.order_permit(
            limited, timedelta(seconds=max_wait_s), call.is_interactive
        )
        if queued.permit is not None:
            return True
        if len(limited) < sum(1 for _ in self._table.list_eligible(call)):
            return False
        next_place_s = self._limiter.find_next_place_s(limited)
        if next_place_s <= max_wait_s:
            return True
        raise NoTargetAvailable(
            UnavailableReason.RATE_LIMITED,
            "every target that could take the request has reached the rate "
            "limit that it named",
            "send it again after the time in Retry-After",
            timedelta(seconds=next_place_s),
        )

    def _find_wait_limit_s(self, call: GatewayCall) -> float:
        """Return for how long a request may wait for a slot."""
        total_s = call.first_byte_deadline_at - call.started_at
        return total_s * self._settings.wait_percent / 100

    def find_load_time_left_s(self, call: GatewayCall) -> float | None:
        """Return the seconds until the item is loaded, if that is known.

        For an adapter without a pending load of its own, the pending load
        of its model counts: the adapter takes no longer.
        """
        if call.item is None:
            return None
        time_left_s = self._fleet_state.find_load_time_left_s(call.item)
        if time_left_s is None and call.item.adapter:
            return self._fleet_state.find_load_time_left_s(
                call.item.base_model
            )
        return time_left_s


def _create_version_gone_error(origin: StreamOrigin) -> NoTargetAvailable:
    """Return the error for a stream whose version is not served any more."""
    return NoTargetAvailable(
        UnavailableReason.VERSION_GONE,
        f"no target of service {origin.service!r} at software version "
        f"{origin.software or 'unknown'!r}, which began the stream, can go "
        "on with it",
        "send the request again without the last event's ID",
        _VERSION_GONE_RETRY_AFTER,
    )
