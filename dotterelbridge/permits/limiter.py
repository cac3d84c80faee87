"""Keeps a VM's requests within the rate limits that targets have named."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from datetime import timedelta
import math
import random
from typing import Any

import msgspec

from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.ids import Incarnation
from dotterelbridge.permits.issuer import PermitIssuer
from dotterelbridge.permits.messages import PermitReply
from dotterelbridge.permits.messages import PermitRequest
from dotterelbridge.permits.messages import PermitVerdict
from dotterelbridge.permits.messages import RateLimitNotice
from dotterelbridge.permits.pool import Permit
from dotterelbridge.permits.pool import PermitChannel
from dotterelbridge.permits.pool import PermitPool
from dotterelbridge.targets.statements import TargetStatement

_CLIENT_ERROR_STATUS = 400
_NOTICE_INTERVAL_S = 0.2
"""Time after which a notice that shows no effect yet is sent again."""
_MS_PER_S = 1000


class _NamedLimit(msgspec.Struct):
    """A limit that a target has named in answers to this VM."""

    requests_per_s: float
    first_named_at: float
    """Monotonic time in seconds."""
    last_named_at: float


class _SharedLimit(msgspec.Struct, frozen=True):
    """A limit that the leader of the log has told all VMs."""

    requests_per_s: float
    known_since: float
    """Monotonic time in seconds."""
    changed_at: float
    """Monotonic time at which this value was first told."""


class RateLimiter(Dumpable):
    """The limits that this VM knows, and its permits.

    A limit is in force from the first answer, to this or any other VM, that
    names it. It ends with an answer without it to a request that was sent
    after the limit was known: answers to earlier requests may be older.
    """

    def __init__(
        self,
        channel: PermitChannel,
        count_vms: Callable[[], int],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create a limiter that knows no limits.

        :param count_vms: returns the number of VMs that send requests.
        """
        self._channel = channel
        self._random = rng
        self._clock = clock
        self._count_vms = count_vms
        own_issuer = PermitIssuer(clock, rng, lambda vms: 1 / max(1, vms))
        self._pool = PermitPool(channel, own_issuer, clock, rng, self._notify)
        self._named: dict[Incarnation, _NamedLimit] = {}
        self._shared: dict[Incarnation, _SharedLimit] = {}
        self._lifted_at: dict[Incarnation, float] = {}
        """Monotonic times at which this VM learned that a shared limit has
        ended, until the leader drops it."""
        self._notified_at: dict[Incarnation, float] = {}
        self._subscribers: list[Callable[[], None]] = []

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` when requests may be sent, or were denied."""
        self._subscribers.append(callback)

    async def run(self) -> None:
        """Order permits until cancelled."""
        await self._pool.run()

    # Limits.

    def find_limit(self, incarnation: Incarnation) -> float | None:
        """Return the requests per second that a target takes, or None."""
        named = self._named.get(incarnation)
        shared = self._find_shared(incarnation)
        if named is None:
            return None if shared is None else shared.requests_per_s
        if shared is None or named.last_named_at >= shared.changed_at:
            return named.requests_per_s
        return shared.requests_per_s

    def count_limited(self) -> int:
        """Return the number of targets with a limit."""
        return len(self._list_limited())

    def _list_limited(self) -> list[Incarnation]:
        return [
            incarnation
            for incarnation in self._named.keys() | self._shared.keys()
            if self.find_limit(incarnation) is not None
        ]

    def record_answer(
        self,
        incarnation: Incarnation,
        status: int,
        statement: TargetStatement,
        sent_at: float,
    ) -> None:
        """Record whether an answer to a caller's request names a limit.

        :param sent_at: monotonic time at which the request was sent.
        """
        requests_per_s = statement.rate_limit_per_s
        if requests_per_s is not None:
            self._record_named(incarnation, requests_per_s, sent_at)
        elif (
            status < _CLIENT_ERROR_STATUS
            and not statement.unreadable
            and sent_at > self._find_known_since(incarnation)
        ):
            self._record_unlimited(incarnation, sent_at)

    def apply_shared(self, limits: Mapping[Incarnation, float]) -> None:
        """Replace the limits that the leader of the log has told all VMs."""
        if not limits and not self._shared:
            return
        now = self._clock.monotonic()
        self._drop_lifted(limits, now)
        shared = {}
        for incarnation, requests_per_s in limits.items():
            known = self._shared.get(incarnation)
            if known is None:
                known = _SharedLimit(requests_per_s, now, now)
            elif known.requests_per_s != requests_per_s:
                known = _SharedLimit(requests_per_s, known.known_since, now)
            shared[incarnation] = known
        self._shared = shared

    def _drop_lifted(
        self, limits: Mapping[Incarnation, float], now: float
    ) -> None:
        """Drop own limits that another VM has found to have ended."""
        for incarnation in self._shared.keys() - limits.keys():
            self._lifted_at.pop(incarnation, None)
            named = self._named.get(incarnation)
            if named and now - named.last_named_at < _NOTICE_INTERVAL_S:
                continue
            self.forget(incarnation)

    def _record_named(
        self, incarnation: Incarnation, requests_per_s: float, sent_at: float
    ) -> None:
        now = self._clock.monotonic()
        named = self._named.get(incarnation)
        if named is None:
            named = _NamedLimit(requests_per_s, now, now)
            self._named[incarnation] = named
        named.requests_per_s = requests_per_s
        named.last_named_at = now
        shared = self._shared.get(incarnation)
        if shared is None or shared.requests_per_s != requests_per_s:
            self._notify_leader(incarnation, requests_per_s, sent_at)

    def _record_unlimited(
        self, incarnation: Incarnation, sent_at: float
    ) -> None:
        """Record an answer without a limit to a recent request."""
        self.forget(incarnation)
        if incarnation in self._shared:
            self._lifted_at[incarnation] = self._clock.monotonic()
        self._notify_leader(incarnation, None, sent_at)
        self._notify()

    def _find_shared(self, incarnation: Incarnation) -> _SharedLimit | None:
        """Return a limit from the leader, unless it is known to have ended."""
        shared = self._shared.get(incarnation)
        lifted_at = self._lifted_at.get(incarnation, -math.inf)
        if shared is None or lifted_at >= shared.changed_at:
            return None
        return shared

    def _find_known_since(self, incarnation: Incarnation) -> float:
        """Return since when this VM has known of a limit; inf if it hasn't."""
        times = [math.inf]
        if incarnation in self._named:
            times.append(self._named[incarnation].first_named_at)
        shared = self._find_shared(incarnation)
        if shared is not None:
            times.append(shared.known_since)
        return min(times)

    def forget(self, incarnation: Incarnation) -> None:
        """Forget the limit that a target named, and the permits for it."""
        self._named.pop(incarnation, None)
        self._notified_at.pop(incarnation, None)
        self._pool.forget(incarnation)

    def _notify_leader(
        self,
        incarnation: Incarnation,
        requests_per_s: float | None,
        sent_at: float,
    ) -> None:
        now = self._clock.monotonic()
        notified_at = self._notified_at.get(incarnation, -math.inf)
        if now - notified_at < _NOTICE_INTERVAL_S:
            return
        self._notified_at[incarnation] = now
        target, born = incarnation
        self._channel.send_notice(
            RateLimitNotice(
                target=target,
                born=born,
                requests_per_s=requests_per_s,
                sent_ms_ago=max(0, int((now - sent_at) * _MS_PER_S)),
            )
        )

    # Permits.

    def allows_request(
        self, incarnation: Incarnation, is_interactive: bool
    ) -> bool:
        """Whether a request may be sent to a target now."""
        if not self._named and not self._shared:
            return True
        return (
            self.find_limit(incarnation) is None
            or self._pool.find_usable(incarnation, is_interactive) is not None
        )

    def record_request(
        self, incarnation: Incarnation, is_interactive: bool
    ) -> None:
        """Spend a permit, if the target has a limit."""
        if self.find_limit(incarnation) is None:
            return
        permit = self._pool.find_usable(incarnation, is_interactive)
        if permit is not None:
            self._pool.spend(permit)

    def order_permit(
        self,
        incarnations: Collection[Incarnation],
        max_wait: timedelta,
        is_interactive: bool,
    ) -> Permit | None:
        """Order a permit for the target that is likely to have one first.

        Interactive requests queue at the issuer; others get only permits for
        which none of these waits.

        :param max_wait: longest time until the permit may become usable.
        :returns: None if no permit is likely in time, or none could be
            ordered now.
        """
        if not is_interactive:
            max_wait = timedelta()
        soonest = min(
            incarnations,
            key=lambda i: (
                self._pool.find_next_place_s(i),
                self._random.random(),
            ),
        )
        next_place_s = self._pool.find_next_place_s(soonest)
        if next_place_s > max_wait.total_seconds():
            return None
        if not self._pool.can_order(soonest):
            return None
        return self._pool.order(
            soonest,
            self.find_limit(soonest),
            max_wait,
            self._count_vms(),
            is_interactive,
        )

    def prefetch_permit(self, incarnation: Incarnation) -> None:
        """Order a permit for a later request, unless one is on its way."""
        if not self._pool.has_open(incarnation):
            self.order_permit([incarnation], timedelta(), is_interactive=False)

    def find_next_place_s(self, incarnations: Iterable[Incarnation]) -> float:
        """Return the seconds until one has a permit; 0 if unknown."""
        return min(self._pool.find_next_place_s(i) for i in incarnations)

    def dump(self) -> dict[str, Any]:
        return {
            "open_permits": self._pool.count_open(),
            "limits": {
                target: self.find_limit((target, born))
                for target, born in sorted(self._list_limited())
            },
        }

    def _notify(self) -> None:
        for callback in self._subscribers:
            callback()


def create_rate_limiter(
    channel: PermitChannel,
    count_vms: Callable[[], int],
    clock: Clock,
    rng: random.Random,
) -> RateLimiter:
    """Return the limiter of one VM.

    :param count_vms: returns the number of VMs that send requests.
    """
    return RateLimiter(channel, count_vms, clock, rng)


def create_lone_rate_limiter(clock: Clock, rng: random.Random) -> RateLimiter:
    """Return the limiter of a VM that shares targets with no other VM."""
    return RateLimiter(_NoChannel(), lambda: 1, clock, rng)


class _NoChannel(PermitChannel):
    """Leaves a VM to its own issuer."""

    is_cut_off = True

    async def request(self, request: PermitRequest) -> PermitReply:
        return PermitReply(verdict=PermitVerdict.UNAVAILABLE)

    def send_notice(self, notice: RateLimitNotice) -> None:
        pass
