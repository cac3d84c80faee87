"""Claims that another failure domain holds, by way of one of its VMs."""

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

RELAY_GRACE = timedelta(milliseconds=500)


class RemoteClaimService(ClaimService):
    """The claims of one other failure domain.

    Steps carry their attempt, so a step whose answer is lost is sent
    again, to the next VM of the domain.
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
        # The VM there answers within its own time to claim or to settle.
        self._begin_timeout = RELAY_GRACE + timedelta(
            milliseconds=settings.begin_timeout_ms
        )
        self._settle_timeout = RELAY_GRACE + timedelta(
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
            # It may stand, and nobody runs it.
            self.outbox.add(_create_step(ClaimStep.RELEASE, step))
            raise

    async def record(
        self,
        business: Business,
        key: IdempotencyKey,
        attempt: AttemptId,
        answer: RecordedResponse,
    ) -> None:
        await self._finish(
            RelayedStep(
                step=ClaimStep.RECORD,
                business=business,
                key=key,
                attempt=attempt,
                answer=answer,
            )
        )

    async def release(
        self, business: Business, key: IdempotencyKey, attempt: AttemptId
    ) -> None:
        await self._finish(
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
        await self._finish(
            RelayedStep(
                step=ClaimStep.ABANDON,
                business=business,
                key=key,
                attempt=attempt,
            )
        )

    async def _finish(self, step: RelayedStep) -> None:
        try:
            await self._send(step)
        except ReplicationError:
            self.outbox.add(step)
        except BaseException:
            self.outbox.add(step)
            raise

    async def _send(self, step: RelayedStep) -> ClaimReply | None:
        """Send a step to the VMs of the domain until one answers."""
        begins = step.step is ClaimStep.BEGIN
        timeout = self._begin_timeout if begins else self._settle_timeout
        lost: PeerError | None = None
        for vm in self._vms:
            if not self._network.is_connected(vm):
                continue
            try:
                answer = await self._network.request(vm, step, timeout)
            except RequestNotSent:
                continue
            except PeerError as error:
                lost = error
                continue
            return _read_answer(answer, lost is not None)
        if lost is not None:
            raise CommitUnknown(
                f"no answer from {self._domain} ({lost.problem})",
                "the call was not run; send it again with the same key",
            ) from lost
        raise HomeUnreachable(
            f"no VM of {self._domain} can be reached, which holds the key",
            f"send the call to a VM of {self._domain}, or again later",
        )


class RelayedStepHandler:
    """Takes the steps that other failure domains relay to this one."""

    def __init__(self, network: PeerNetwork, own: ClaimService) -> None:
        self._own = own
        network.register_handler(RelayedStep, self._answer)

    async def _answer(self, sender: VmId, step: RelayedStep) -> RelayedReply:
        try:
            return RelayedReply(reply=await self._take(step))
        except NotCommitted as error:
            return _describe(RelayFailure.NOT_COMMITTED, error)
        except CommitUnknown as error:
            return _describe(RelayFailure.UNKNOWN, error)

    async def _take(self, step: RelayedStep) -> ClaimReply | None:
        names = (step.business, step.key, step.attempt)
        if step.step is ClaimStep.BEGIN:
            return await self._own.begin(
                step.business, step.key, step.digest, step.attempt
            )
        if step.step is ClaimStep.RECORD:
            await self._own.record(*names, step.answer)
        elif step.step is ClaimStep.RELEASE:
            await self._own.release(*names)
        else:
            await self._own.abandon(*names)
        return None


def _create_step(kind: ClaimStep, other: RelayedStep) -> RelayedStep:
    return RelayedStep(
        step=kind,
        business=other.business,
        key=other.key,
        attempt=other.attempt,
    )


def _describe(failure: RelayFailure, error: ReplicationError) -> RelayedReply:
    return RelayedReply(
        failure=failure, problem=error.problem, remedy=error.remedy
    )


def _read_answer(answer: RelayedReply, sent_before: bool):
    """Return the reply; a refusal is certain only of the first copy."""
    if answer.failure is None:
        return answer.reply
    if answer.failure is RelayFailure.NOT_COMMITTED and not sent_before:
        raise NotCommitted(answer.problem, answer.remedy)
    raise CommitUnknown(answer.problem, answer.remedy)
