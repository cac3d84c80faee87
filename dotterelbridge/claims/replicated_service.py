"""Claim service on the replicated log."""

from datetime import timedelta
from typing import Any

import anyio
import msgspec
import structlog

from dotterelbridge import events
from dotterelbridge import metrics
from dotterelbridge.claims.commands import MS_PER_S
from dotterelbridge.claims.commands import Abandon
from dotterelbridge.claims.commands import AnyCommand
from dotterelbridge.claims.commands import Begin
from dotterelbridge.claims.commands import ClaimResult
from dotterelbridge.claims.commands import Record
from dotterelbridge.claims.commands import Release
from dotterelbridge.claims.commands import Stamp
from dotterelbridge.claims.commands import Tick
from dotterelbridge.claims.commands import Verdict
from dotterelbridge.claims.commands import decode_result
from dotterelbridge.claims.commands import encode_command
from dotterelbridge.claims.errors import HomeUnknown
from dotterelbridge.claims.events import ClaimEvent
from dotterelbridge.claims.keys import hash_key
from dotterelbridge.claims.keys import hash_text
from dotterelbridge.claims.keys import parse_key_time_ms
from dotterelbridge.claims.keys import split_home_domain
from dotterelbridge.claims.outbox import Outbox
from dotterelbridge.claims.refusals import create_undated_key_error
from dotterelbridge.claims.refusals import raise_if_refused
from dotterelbridge.claims.service import ClaimReply
from dotterelbridge.claims.service import ClaimService
from dotterelbridge.claims.service import ClaimState
from dotterelbridge.claims.service import RecordedResponse
from dotterelbridge.claims.settings import ClaimsSettings
from dotterelbridge.claims.settings import create_limits
from dotterelbridge.claims.state_machine import STATE_MACHINE_NAME
from dotterelbridge.claims.state_machine import ClaimStateMachine
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.errors import ReplicationError
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import Business
from dotterelbridge.ids import IdempotencyKey
from dotterelbridge.ids import VmId
from dotterelbridge.replication.log import ReplicatedLog

RETRY_DELAY = timedelta(milliseconds=50)
BYTES_PER_KB = 1024

_log = structlog.get_logger(__name__)
_response_decoder = msgspec.msgpack.Decoder(RecordedResponse)

_begins = metrics.meter.create_counter(
    "dotterelbridge.claims.begins",
    description="Attempts to claim a key, by verdict",
)
_outcomes = metrics.meter.create_counter(
    "dotterelbridge.claims.outcomes",
    description="Outcomes of keyed calls, by kind and verdict",
)


class ReplicatedClaimService(ClaimService, Dumpable):
    """Claims keys by proposing commands to the log; runs on any VM."""

    def __init__(
        self,
        log: ReplicatedLog,
        settings: ClaimsSettings,
        clock: Clock,
        own_vm: VmId,
        vm_count: int,
        reports_time: bool,
        volatile: bool = False,
    ) -> None:
        self._replicated_log = log
        self._settings = settings
        self._clock = clock
        self._own_vm = own_vm
        self._limits = create_limits(settings, vm_count, volatile)
        self._reports_time = reports_time
        self._tick_interval = _choose_tick_interval(settings, volatile)
        self._state_machine = ClaimStateMachine()
        log.add_state_machine(STATE_MACHINE_NAME, self._state_machine)
        self._try_timeout = _create_timedelta(settings.try_timeout_ms)
        self._settle_timeout = _create_timedelta(settings.settle_timeout_ms)
        self._outbox = Outbox(
            self._commit_outcome, settings.outbox_limit, clock
        )

    async def begin(
        self,
        business: Business,
        key: IdempotencyKey,
        digest: str,
        attempt: AttemptId,
    ) -> ClaimReply:
        self._check_home_domain(key)
        key_time_ms = parse_key_time_ms(key)
        if key_time_ms is None and self._settings.require_dated_keys:
            raise create_undated_key_error()
        command = Begin(
            stamp=self._create_stamp(),
            key=hash_key(business, key),
            key_time_ms=key_time_ms,
            digest=hash_text(digest),
            attempt=attempt,
        )
        result = await self._commit_claim(command)
        _begins.add(1, {"verdict": result.verdict.value})
        return _create_reply(result)

    async def record(
        self,
        business: Business,
        key: IdempotencyKey,
        attempt: AttemptId,
        response: RecordedResponse,
    ) -> None:
        """Record the response of the run.

        Returns when it is committed or the settle timeout has passed; in
        the second case it is retried in the background. ``release`` and
        ``abandon`` do the same.
        """
        encoded_response = msgspec.msgpack.encode(response)
        limit = self._settings.answer_limit_kb * BYTES_PER_KB
        await self._submit_outcome(
            Record(
                stamp=self._create_stamp(),
                key=hash_key(business, key),
                attempt=attempt,
                response=encoded_response
                if len(encoded_response) <= limit
                else None,
            )
        )

    async def release(
        self, business: Business, key: IdempotencyKey, attempt: AttemptId
    ) -> None:
        await self._submit_outcome(
            Release(
                stamp=self._create_stamp(),
                key=hash_key(business, key),
                attempt=attempt,
            )
        )

    async def abandon(
        self, business: Business, key: IdempotencyKey, attempt: AttemptId
    ) -> None:
        await self._submit_outcome(
            Abandon(
                stamp=self._create_stamp(),
                key=hash_key(business, key),
                attempt=attempt,
            )
        )

    async def run(self) -> None:
        """Retry queued outcomes and report the time until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._outbox.run)
            if self._reports_time:
                group.start_soon(self._report_time)

    async def wait_outcomes_committed(self) -> None:
        """Wait until no outcome is queued."""
        await self._outbox.wait_empty()

    async def drain(self) -> None:
        """Wait a limited time for outcomes to be recorded before the VM stops.

        A key whose outcome is lost becomes unknown and never runs again.
        """
        limit = timedelta(seconds=self._settings.drain_limit_s)
        async with anyio.create_task_group() as group:
            group.start_soon(
                self._stop_drain_at_limit, group.cancel_scope, limit
            )
            await self.wait_outcomes_committed()
            group.cancel_scope.cancel()

    async def _stop_drain_at_limit(
        self, scope: anyio.CancelScope, limit: timedelta
    ) -> None:
        await self._clock.sleep(limit)
        events.log(_log, ClaimEvent.OUTCOMES_LEFT, waiting=len(self._outbox))
        scope.cancel()

    def dump(self) -> dict[str, Any]:
        return {
            "table": self._state_machine.table.describe(),
            "outcomes_waiting": len(self._outbox),
            "limits": msgspec.structs.asdict(self._limits),
        }

    def measure_snapshot(self) -> int:
        """Take a snapshot of the table and return its size in bytes."""
        return len(self._state_machine.take_snapshot())

    async def _commit_claim(self, command: Begin) -> ClaimResult:
        """Commit a claim; release the key if the call is not going to run."""
        timeout = _create_timedelta(self._settings.begin_timeout_ms)
        deadline = self._clock.monotonic() + timeout.total_seconds()
        may_be_committed = False
        try:
            while True:
                try:
                    result = await self._propose(command, deadline)
                except CommitUnknown as error:
                    may_be_committed = True
                    await self._wait_before_retry(deadline, error)
                except NotCommitted as error:
                    await self._wait_before_retry(deadline, error)
                else:
                    raise_if_refused(result.verdict)
                    return result
        except NotCommitted as error:
            if not may_be_committed:
                events.log(
                    _log, ClaimEvent.CLAIM_NOT_MADE, error=error.problem
                )
                raise
            self._release_in_background(command)
            raise CommitUnknown(
                f"whether the key was claimed is not known ({error.problem})",
                "the call was not run; send it again with the same key "
                "in a few seconds",
            ) from error
        except CommitUnknown:
            self._release_in_background(command)
            raise
        except BaseException:
            # Cancelled: the claim may still be committed, but the call is not
            # going to run.
            self._outbox.add(_create_release(command))
            raise

    async def _propose(self, command: Begin, deadline: float) -> ClaimResult:
        remaining = timedelta(seconds=deadline - self._clock.monotonic())
        if remaining <= timedelta(0):
            raise NotCommitted(
                "the key could not be claimed in time", "send the call again"
            )
        result = await self._replicated_log.propose(
            STATE_MACHINE_NAME,
            encode_command(command),
            min(remaining, self._try_timeout),
        )
        return decode_result(result)

    async def _wait_before_retry(
        self, deadline: float, error: ReplicationError
    ) -> None:
        """Wait before the next try, or raise the error at the deadline."""
        wake_at = self._clock.monotonic() + RETRY_DELAY.total_seconds()
        if wake_at >= deadline:
            raise error
        await self._clock.sleep(RETRY_DELAY)

    def _release_in_background(self, command: Begin) -> None:
        events.log(_log, ClaimEvent.CLAIM_UNCERTAIN, attempt=command.attempt)
        self._outbox.add(_create_release(command))

    async def _submit_outcome(
        self, command: Record | Release | Abandon
    ) -> None:
        try:
            await self._commit_outcome(command)
        except ReplicationError as error:
            events.log(
                _log,
                ClaimEvent.OUTCOME_DELAYED,
                attempt=command.attempt,
                error=error.problem,
            )
            self._outbox.add(command)
        except BaseException:
            self._outbox.add(command)
            raise

    async def _commit_outcome(self, command: AnyCommand) -> None:
        """Commit an outcome; committing it twice has no further effect."""
        encoded = encode_command(command)
        result = await self._replicated_log.propose(
            STATE_MACHINE_NAME, encoded, self._settle_timeout
        )
        verdict = decode_result(result).verdict
        kind = type(command).__name__.lower()
        _outcomes.add(1, {"kind": kind, "verdict": verdict.value})
        if verdict is Verdict.NOT_OWNER:
            events.log(
                _log,
                ClaimEvent.OUTCOME_NOT_OWNED,
                kind=kind,
                attempt=command.attempt,
            )

    async def _report_time(self) -> None:
        while True:
            tick = encode_command(Tick(stamp=self._create_stamp()))
            try:
                await self._replicated_log.propose(
                    STATE_MACHINE_NAME, tick, self._settle_timeout
                )
            except ReplicationError:
                await self._clock.sleep(timedelta(seconds=1))
                continue
            await self._clock.sleep(self._tick_interval)

    def _check_home_domain(self, key: IdempotencyKey) -> None:
        """Refuse a key with a home domain unless this service is its home.

        If the key were claimed here and ``home_keys`` were turned on later,
        its home domain would not know it and the call could run again.
        """
        domain, _ = split_home_domain(key)
        if domain is not None and not self._limits.volatile:
            raise HomeUnknown(
                f"keys of the failure domain {domain!r} are not held here",
                "set home_keys in [claims], or send a key that does not start "
                "with '~'",
            )

    def _create_stamp(self) -> Stamp:
        now_ms = int(self._clock.now().timestamp() * MS_PER_S)
        return Stamp(self._own_vm, now_ms, self._limits)


def create_claim_service(
    log: ReplicatedLog,
    settings: ClaimsSettings,
    clock: Clock,
    own_vm: VmId,
    vm_count: int,
    reports_time: bool,
    volatile: bool = False,
) -> ReplicatedClaimService:
    """Create the claim service of the daemon.

    :param vm_count: number of VMs in the deployment.
    :param reports_time: whether this VM reports its time when idle; true
        on the VMs that hold the log.
    :param volatile: whether the log is in memory only and lost together
        with all its members; keys that a lost table may have held are then
        refused.
    """
    return ReplicatedClaimService(
        log, settings, clock, own_vm, vm_count, reports_time, volatile
    )


def _create_reply(result: ClaimResult) -> ClaimReply:
    response = None
    if result.response is not None:
        response = _response_decoder.decode(result.response)
    return ClaimReply(state=ClaimState(result.verdict.value), answer=response)


def _create_timedelta(value: int) -> timedelta:
    return timedelta(milliseconds=value)


def _create_release(command: Begin) -> Release:
    return Release(
        stamp=command.stamp, key=command.key, attempt=command.attempt
    )


def _choose_tick_interval(
    settings: ClaimsSettings, volatile: bool
) -> timedelta:
    """Return the interval between two time reports of this VM.

    A volatile table refuses keys from the future, so its log time must lag
    behind the clocks by a fraction of the permitted skew only.
    """
    interval = timedelta(seconds=settings.tick_interval_s)
    if not volatile:
        return interval
    return min(interval, timedelta(seconds=settings.key_skew_s) / 4)
