"""Keys that name the failure domain that holds them.

A key ``~DOMAIN~UUIDV7`` is held by a group of that domain's own VMs, so
a domain that is cut off goes on taking the keyed calls of its own
callers. The group needs no disks: it takes only keys that tell when they
were made, and a group formed anew refuses those made before its birth.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import random as random_module
from typing import Any

import anyio

from dotterelbridge.claims.errors import HomeUnknown
from dotterelbridge.claims.keys import split_home
from dotterelbridge.claims.relay import RelayedStepHandler
from dotterelbridge.claims.relay import RemoteClaimService
from dotterelbridge.claims.replicated_service import ReplicatedClaimService
from dotterelbridge.claims.replicated_service import create_claim_service
from dotterelbridge.claims.service import ClaimReply
from dotterelbridge.claims.service import ClaimService
from dotterelbridge.claims.service import RecordedResponse
from dotterelbridge.claims.settings import ClaimsSettings
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import Business
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import IdempotencyKey
from dotterelbridge.ids import MemberId
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.replication.client import LogClient
from dotterelbridge.replication.factory import create_replicated_log
from dotterelbridge.replication.member import LogMember
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.replication.storage import create_memory_storage

HOME_VOTERS = 3
ELECTION_HEARTBEATS = 4
_LIFE_BITS = 64


class ClaimRouter(ClaimService, Dumpable):
    """Hands each key to the service that holds it."""

    def __init__(
        self,
        main: ReplicatedClaimService,
        domain: FailureDomain,
        log: LogMember | LogClient,
        home: ReplicatedClaimService,
        others: Mapping[FailureDomain, RemoteClaimService],
    ) -> None:
        self.main = main
        """Holds the keys that name no failure domain."""
        self._domain = domain
        self._log = log
        self._home = home
        self._others = others

    async def begin(
        self,
        business: Business,
        key: IdempotencyKey,
        digest: str,
        attempt: AttemptId,
    ) -> ClaimReply:
        service = self._find_service(key)
        return await service.begin(business, key, digest, attempt)

    async def record(
        self,
        business: Business,
        key: IdempotencyKey,
        attempt: AttemptId,
        answer: RecordedResponse,
    ) -> None:
        service = self._find_service(key)
        await service.record(business, key, attempt, answer)

    async def release(
        self, business: Business, key: IdempotencyKey, attempt: AttemptId
    ) -> None:
        await self._find_service(key).release(business, key, attempt)

    async def abandon(
        self, business: Business, key: IdempotencyKey, attempt: AttemptId
    ) -> None:
        await self._find_service(key).abandon(business, key, attempt)

    async def run(self) -> None:
        """Run all that holds claims until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._log.run)
            group.start_soon(self.main.run)
            group.start_soon(self._home.run)
            for relayed in self._others.values():
                group.start_soon(relayed.outbox.run)

    async def drain(self) -> None:
        """Wait a bounded time for the outcomes, before the VM stops."""
        await self.main.drain()
        await self._home.drain()

    def dump(self) -> dict[str, Any]:
        return {
            **self.main.dump(),
            "home": {
                "failure_domain": self._domain,
                "log": self._log.dump(),
                **self._home.dump(),
            },
            "relayed_outcomes_waiting": {
                domain: len(relayed.outbox)
                for domain, relayed in self._others.items()
            },
        }

    def _find_service(self, key: IdempotencyKey) -> ClaimService:
        domain, _ = split_home(key)
        if domain is None:
            return self.main
        if domain == self._domain:
            return self._home
        if domain not in self._others:
            raise HomeUnknown(
                f"the key names no failure domain: {domain!r}",
                "name one of the settings between the two '~', or send a "
                "key without '~' at its start",
            )
        return self._others[domain]


def create_claim_router(
    main: ReplicatedClaimService,
    settings: ClaimsSettings,
    network: PeerNetwork,
    own: VmInfo,
    vms: Sequence[VmInfo],
    clock: Clock,
    random: random_module.Random,
) -> ClaimRouter:
    """Return the claims of all keys, those with a home included.

    :param main: holds the keys that name no failure domain.
    :param vms: all VMs of the deployment, this one included.
    """
    by_domain = _group_by_domain(vms)
    neighbours = by_domain.pop(own.failure_domain)
    voters = _choose_voters(neighbours)
    votes = own.vm in voters
    storage = None
    if votes:
        life = f"{own.vm}-{random.getrandbits(_LIFE_BITS):016x}"
        storage = create_memory_storage(MemberId(life))
    log = create_replicated_log(
        _create_group_settings(settings),
        network,
        storage,
        clock,
        voters,
        random,
        f"claims-{own.failure_domain}",
    )
    home = create_claim_service(
        log, settings, clock, own.vm, len(voters), votes, volatile=True
    )
    RelayedStepHandler(network, home)
    others = {
        domain: RemoteClaimService(domain, names, network, settings, clock)
        for domain, names in by_domain.items()
    }
    return ClaimRouter(main, own.failure_domain, log, home, others)


def _create_group_settings(settings: ClaimsSettings) -> ReplicationSettings:
    """Return settings of a group that is idle most of the time."""
    return ReplicationSettings(
        heartbeat_ms=settings.home_heartbeat_ms,
        election_timeout_ms=ELECTION_HEARTBEATS * settings.home_heartbeat_ms,
    )


def _group_by_domain(
    vms: Sequence[VmInfo],
) -> dict[FailureDomain, list[VmId]]:
    grouped: dict[FailureDomain, list[VmId]] = {}
    for info in sorted(vms, key=lambda info: info.vm):
        grouped.setdefault(info.failure_domain, []).append(info.vm)
    return grouped


def _choose_voters(names: Sequence[VmId]) -> list[VmId]:
    """Return an odd number of a domain's VMs, the same on all of them."""
    count = HOME_VOTERS if len(names) >= HOME_VOTERS else 1
    return list(names[:count])
