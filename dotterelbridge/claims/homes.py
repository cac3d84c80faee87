"""Claims on keys that name their home, the failure domain that holds them.

A key ``~DOMAIN~UUIDV7`` is held by a replication group of that domain's
own VMs, so that a domain that is partitioned from the others can still
serve the keyed calls of its own callers. The group keeps its log in
memory: it accepts only keys that contain their creation time, and a group
that has lost its state refuses all keys created before it started again.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import random as random_module
from typing import Any

import anyio

from dotterelbridge.claims.errors import HomeUnknown
from dotterelbridge.claims.keys import split_home_domain
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

HOME_VOTER_COUNT = 3
ELECTION_TIMEOUT_HEARTBEATS = 4
_MEMBER_ID_BITS = 64


class ClaimRouter(ClaimService, Dumpable):
    """Routes each key to the claim service that holds it."""

    def __init__(
        self,
        default_claims: ReplicatedClaimService,
        domain: FailureDomain,
        log: LogMember | LogClient,
        local_claims: ReplicatedClaimService,
        remote_claims: Mapping[FailureDomain, RemoteClaimService],
    ) -> None:
        self.default_claims = default_claims
        """Holds the keys without a home domain."""
        self._domain = domain
        self._log = log
        self._local_claims = local_claims
        self._remote_claims = remote_claims

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
        response: RecordedResponse,
    ) -> None:
        service = self._find_service(key)
        await service.record(business, key, attempt, response)

    async def release(
        self, business: Business, key: IdempotencyKey, attempt: AttemptId
    ) -> None:
        await self._find_service(key).release(business, key, attempt)

    async def abandon(
        self, business: Business, key: IdempotencyKey, attempt: AttemptId
    ) -> None:
        await self._find_service(key).abandon(business, key, attempt)

    async def run(self) -> None:
        """Run the log, the local services and the outboxes until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._log.run)
            group.start_soon(self.default_claims.run)
            group.start_soon(self._local_claims.run)
            for remote in self._remote_claims.values():
                group.start_soon(remote.outbox.run)

    async def drain(self) -> None:
        """Wait a limited time for outcomes to be recorded; then stop."""
        await self.default_claims.drain()
        await self._local_claims.drain()

    def dump(self) -> dict[str, Any]:
        return {
            **self.default_claims.dump(),
            "home": {
                "failure_domain": self._domain,
                "log": self._log.dump(),
                **self._local_claims.dump(),
            },
            "relayed_outcomes_waiting": {
                domain: len(remote.outbox)
                for domain, remote in self._remote_claims.items()
            },
        }

    def _find_service(self, key: IdempotencyKey) -> ClaimService:
        domain, _ = split_home_domain(key)
        if domain is None:
            return self.default_claims
        if domain == self._domain:
            return self._local_claims
        if domain not in self._remote_claims:
            raise HomeUnknown(
                f"the key names an unknown failure domain: {domain!r}",
                "put a failure domain from the settings between the two '~', "
                "or send a key that does not start with '~'",
            )
        return self._remote_claims[domain]


def create_claim_router(
    default_claims: ReplicatedClaimService,
    settings: ClaimsSettings,
    network: PeerNetwork,
    own: VmInfo,
    vms: Sequence[VmInfo],
    clock: Clock,
    random: random_module.Random,
) -> ClaimRouter:
    """Create the claim service for keys with and without a home domain.

    :param default_claims: holds the keys without a home domain.
    :param vms: all VMs of the deployment, this one included.
    """
    by_domain = _group_by_domain(vms)
    domain_vms = by_domain.pop(own.failure_domain)
    voters = _choose_voters(domain_vms)
    is_voter = own.vm in voters
    storage = None
    if is_voter:
        member_id = f"{own.vm}-{random.getrandbits(_MEMBER_ID_BITS):016x}"
        storage = create_memory_storage(MemberId(member_id))
    log = create_replicated_log(
        _create_group_settings(settings),
        network,
        storage,
        clock,
        voters,
        random,
        f"claims-{own.failure_domain}",
    )
    local_claims = create_claim_service(
        log, settings, clock, own.vm, len(voters), is_voter, volatile=True
    )
    RelayedStepHandler(network, local_claims)
    remote_claims = {
        domain: RemoteClaimService(domain, vm_ids, network, settings, clock)
        for domain, vm_ids in by_domain.items()
    }
    return ClaimRouter(
        default_claims, own.failure_domain, log, local_claims, remote_claims
    )


def _create_group_settings(settings: ClaimsSettings) -> ReplicationSettings:
    """Return replication settings for a group that is mostly idle."""
    return ReplicationSettings(
        heartbeat_ms=settings.home_heartbeat_ms,
        election_timeout_ms=ELECTION_TIMEOUT_HEARTBEATS
        * settings.home_heartbeat_ms,
    )


def _group_by_domain(
    vms: Sequence[VmInfo],
) -> dict[FailureDomain, list[VmId]]:
    grouped: dict[FailureDomain, list[VmId]] = {}
    for info in sorted(vms, key=lambda info: info.vm):
        grouped.setdefault(info.failure_domain, []).append(info.vm)
    return grouped


def _choose_voters(vm_ids: Sequence[VmId]) -> list[VmId]:
    """Choose an odd number of a domain's VMs, the same on every VM."""
    count = HOME_VOTER_COUNT if len(vm_ids) >= HOME_VOTER_COUNT else 1
    return list(vm_ids[:count])
