"""Claims held by another failure domain, relayed to one of its VMs."""

from collections.abc import Sequence
from datetime import timedelta

from dotterelbridge.claims.errors import HomeUnreachable
from dotterelbridge.claims.messages import ClaimStep
from dotterelbridge.claims.messages import RelayedReply
from dotterelbridge.claims.messages import RelayedStep
from dotterelbridge.claims.messages import RelayFailure
from dotterelbridge.claims.outbox import Outbox
from dotterelbridge.claims.service import ClaimReply
from dotterelbridge.claims.service import ClaimService
from dotterelbridge.claims.service import RecordedResponse
from dotterelbridge.claims.settings import ClaimsSettings
from dotterelbridge.clock import Clock
from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.errors import PeerError
from dotterelbridge.errors import ReplicationError
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import Business
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import IdempotencyKey
from dotterelbridge.ids import VmId
from dotterelbridge.peers.errors import RequestNotSent
from dotterelbridge.peers.network import PeerNetwork

RELAY_TIMEOUT_MARGIN = timedelta(milliseconds=500)


class RemoteClaimService(ClaimService):
    """Client for the claims that one other failure domain holds.

    Operations are idempotent because they carry their attempt ID. When a
    reply is lost, the operation is sent again to the next VM of the domain.
    """

    def __init__(
        self,
        domain: FailureDomain,
        vms: Sequence[VmId],
        network: PeerNetwork,
        settings: ClaimsSettings,
        clock: Clock,
    ) -> None:
        self._domain = domain
        self._vms = vms
        self._network = network
        # The remote VM replies within its own begin or settle timeout.
        self._begin_timeout = RELAY_TIMEOUT_MARGIN + timedelta(
            milliseconds=settings.begin_timeout_ms
        )
        self._settle_timeout = RELAY_TIMEOUT_MARGIN + timedelta(
            milliseconds=settings.settle_timeout_ms
        )
        self.outbox = Outbox(self._send, settings.outbox_limit, clock)

    async def begin(
        self,
        business: Business,
        key: IdempotencyKey,
        digest: str,
        attempt: AttemptId,
    ) -> ClaimReply:
        step = RelayedStep(
            step=ClaimStep.BEGIN,
            business=business,
            key=key,
            attempt=attempt,
            digest=digest,
        )
        try:
            return await self._send(step)
        except NotCommitted:
            raise
        except BaseException:
            # The claim may be committed, but the call is not going to run.
            self.outbox.add(_copy_step(ClaimStep.RELEASE, step))
            raise

    async def record(
        self,
        business: Business,
        key: IdempotencyKey,
        attempt: AttemptId,
        response: RecordedResponse,
    ) -> None:
        await self._send_outcome(
            RelayedStep(
                step=ClaimStep.RECORD,
                business=business,
                key=key,
                attempt=attempt,
                answer=response,
            )
        )

    async def release(
        self, business: Business, key: IdempotencyKey, attempt: AttemptId
    ) -> None:
        await self._send_outcome(
            RelayedStep(
                step=ClaimStep.RELEASE,
                business=business,
                key=key,
                attempt=attempt,
            )
        )

    async def abandon(
        self, business: Business, key: IdempotencyKey, attempt: AttemptId
    ) -> None:
        await self._send_outcome(
            RelayedStep(
                step=ClaimStep.ABANDON,
                business=business,
                key=key,
                attempt=attempt,
            )
        )

    async def _send_outcome(self, step: RelayedStep) -> None:
        try:
            await self._send(step)
        except ReplicationError:
            self.outbox.add(step)
        except BaseException:
            self.outbox.add(step)
            raise

    async def _send(self, step: RelayedStep) -> ClaimReply | None:
        """Try the VMs of the domain in turn until one replies."""
        is_begin = step.step is ClaimStep.BEGIN
        timeout = self._begin_timeout if is_begin else self._settle_timeout
        reply_error: PeerError | None = None
        for vm in self._vms:
            if not self._network.is_connected(vm):
                continue
            try:
                reply = await self._network.request(vm, step, timeout)
            except RequestNotSent:
                continue
            except PeerError as error:
                reply_error = error
                continue
            return _unwrap_reply(reply, reply_error is not None)
        if reply_error is not None:
            raise CommitUnknown(
                f"no reply from {self._domain} ({reply_error.problem})",
                "the call was not run; send it again with the same key",
            ) from reply_error
        raise HomeUnreachable(
            f"no VM of {self._domain}, which holds the key, can be reached",
            f"send the call to a VM of {self._domain}, or try again later",
        )


class RelayedStepHandler:
    """Runs the operations that other failure domains relay to this one."""

    def __init__(
        self, network: PeerNetwork, local_claims: ClaimService
    ) -> None:
        self._local_claims = local_claims
        network.register_handler(RelayedStep, self._answer)

    async def _answer(self, sender: VmId, step: RelayedStep) -> RelayedReply:
        try:
            return RelayedReply(reply=await self._run_step(step))
        except NotCommitted as error:
            return _create_failure_reply(RelayFailure.NOT_COMMITTED, error)
        except CommitUnknown as error:
            return _create_failure_reply(RelayFailure.UNKNOWN, error)

    async def _run_step(self, step: RelayedStep) -> ClaimReply | None:
        claim_arguments = (step.business, step.key, step.attempt)
        if step.step is ClaimStep.BEGIN:
            return await self._local_claims.begin(
                step.business, step.key, step.digest, step.attempt
            )
        if step.step is ClaimStep.RECORD:
            await self._local_claims.record(*claim_arguments, step.answer)
        elif step.step is ClaimStep.RELEASE:
            await self._local_claims.release(*claim_arguments)
        else:
            await self._local_claims.abandon(*claim_arguments)
        return None


def _copy_step(kind: ClaimStep, original: RelayedStep) -> RelayedStep:
    return RelayedStep(
        step=kind,
        business=original.business,
        key=original.key,
        attempt=original.attempt,
    )


def _create_failure_reply(
    failure: RelayFailure, error: ReplicationError
) -> RelayedReply:
    return RelayedReply(
        failure=failure, problem=error.problem, remedy=error.remedy
    )


def _unwrap_reply(reply: RelayedReply, sent_before: bool):
    """Return the reply, or raise its failure.

    "Not committed" is certain only if the operation was sent once: an
    earlier copy whose reply was lost may have been committed.
    """
    if reply.failure is None:
        return reply.reply
    if reply.failure is RelayFailure.NOT_COMMITTED and not sent_before:
        raise NotCommitted(reply.problem, reply.remedy)
    raise CommitUnknown(reply.problem, reply.remedy)
