"""One target as the gateway of one VM sees it."""

import random

from dotterelbridge import invariants
from dotterelbridge.clock import Clock
from dotterelbridge.fleet.records import FleetTarget
from dotterelbridge.fleet.records import ItemKey
from dotterelbridge.gateway.balance import Candidate
from dotterelbridge.gateway.call import GatewayCall
from dotterelbridge.gateway.settings import GatewaySettings
from dotterelbridge.ids import Business
from dotterelbridge.ids import Region
from dotterelbridge.membership.view import TargetInfo
from dotterelbridge.membership.view import TargetKind
from dotterelbridge.routing.ejection import Ejection
from dotterelbridge.routing.ejection import EjectionState
from dotterelbridge.targets.client import TargetClient
from dotterelbridge.targets.client import create_target_client
from dotterelbridge.targets.settings import TargetsSettings

_LACK_DOUBLINGS = 4
"""Together 4.6 s: the platform's list shows a restart within some 4 s."""


class _Lack:
    """What a target said that it does not hold."""

    def __init__(self) -> None:
        self.ends_at = 0.0
        self.times = 0


class GatewayTarget:
    """Aggregate: no new work goes to a target that is leaving."""

    def __init__(
        self,
        target: FleetTarget,
        client: TargetClient,
        distance: int,
        settings: GatewaySettings,
        rng: random.Random,
    ) -> None:
        self.target = target
        self.client = client
        self.distance = distance
        """0 in the own failure domain, 1 in the own region, 2 beyond."""
        self.in_flight = 0
        self.health_path = ""
        """Where it answers probes, by the service that used it last."""
        self.ejection = Ejection(
            settings.ejection_failures,
            settings.ejection_ms / 1000,
            settings.ejection_limit_ms / 1000,
            rng,
        )
        self._settings = settings
        self._lacking: dict[ItemKey, _Lack] = {}
        self._has_report = False
        self._reported = 0
        self._in_flight_then = 0

    def update(self, target: FleetTarget, now: float) -> None:
        """Take a newer view of the same life."""
        if target.load is not self.target.load:
            self._has_report = True
            self._reported = target.load.running + target.load.waiting
            self._in_flight_then = self.in_flight
        for item in list(self._lacking):
            held_before = self.target.holds(item.model, item.adapter)
            if not held_before and target.holds(item.model, item.adapter):
                del self._lacking[item]
        if target.is_silent and not self.target.is_silent:
            self.ejection.schedule_probe(now)
        self.target = target

    @property
    def takes_new_work(self) -> bool:
        """Whether requests may be sent here."""
        return self.target.takes_new_work

    @property
    def is_unreachable(self) -> bool:
        """Whether it failed, and a probe of it too: it gets no request.

        What is sent there may count as run, so that its caller is lost;
        a refusal leaves the caller the time to come back.
        """
        return self.ejection.has_failed_probe

    @property
    def is_ejected(self) -> bool:
        """Whether failures keep requests away while others have room."""
        return self.ejection.state is not EjectionState.ACTIVE

    def estimate_load(self) -> int:
        """Return how many requests the target has, as far as is known.

        The last report, and what this VM has sent and got back since.
        """
        if not self._has_report:
            return self.in_flight
        return max(self.in_flight, self._reported + self._sent_since)

    @property
    def _sent_since(self) -> int:
        return self.in_flight - self._in_flight_then

    def describe_load(self, distance_cost: float) -> Candidate:
        """Return the target as one that a request may go to.

        :param distance_cost: in shares of its slots.
        """
        level = distance_cost * self.target.slots
        if not self._has_report:
            return Candidate(level + self.in_flight)
        return Candidate(
            level + max(self._in_flight_then, self._reported),
            self._sent_since,
        )

    def has_room(self) -> bool:
        """Whether one more request would soon be worked on."""
        limit = self.target.slots + self._settings.overfill_requests
        return self.estimate_load() < limit

    def lacks(self, item: ItemKey | None, now: float) -> bool:
        """Whether the target does not hold an item, or just said so."""
        if item is None:
            return False
        if not self.target.holds(item.model, item.adapter):
            return True
        lack = self._lacking.get(item)
        return lack is not None and now < lack.ends_at

    def note_lacking(self, item: ItemKey, now: float) -> None:
        """Take the target's word that it does not hold an item.

        Each time that it says so again, and no news say that the item has
        come since, it is believed for twice as long: it may have restarted,
        which the platform's list does not show yet.
        """
        lack = self._lacking.setdefault(item, _Lack())
        pause_s = self._settings.lacking_ms / 1000
        lack.ends_at = now + pause_s * 2 ** min(lack.times, _LACK_DOUBLINGS)
        lack.times += 1

    def note_held(self, item: ItemKey) -> None:
        """Note that it ran a request for an item."""
        self._lacking.pop(item, None)

    def take(self, call: GatewayCall) -> "Place":
        """Occupy a place for one attempt."""
        invariants.check(
            self.takes_new_work,
            "leaving_target_gets_no_work",
            target=self.target.target,
        )
        self.in_flight += 1
        self.health_path = call.service.health_path
        return Place(self, call)


class Place:
    """The place of one attempt at a target."""

    def __init__(self, holder: GatewayTarget, call: GatewayCall) -> None:
        self.holder = holder
        self.call = call

    @property
    def target(self) -> FleetTarget:
        """The target as it is known now."""
        return self.holder.target

    @property
    def client(self) -> TargetClient:
        """Connections to the target."""
        return self.holder.client


def create_gateway_target(
    target: FleetTarget,
    distance: int,
    settings: GatewaySettings,
    targets_settings: TargetsSettings,
    clock: Clock,
    rng: random.Random,
) -> GatewayTarget:
    """Return the gateway's view of a target, with a client of its own."""
    info = TargetInfo(
        target=target.target,
        kind=TargetKind.SERVICE,
        business=Business(""),
        failure_domain=target.failure_domain,
        region=Region(""),
        host=target.host,
        port=target.port,
        service=target.service,
    )
    client = create_target_client(info, targets_settings, clock)
    return GatewayTarget(target, client, distance, settings, rng)
