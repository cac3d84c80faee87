"""Claims by way of the replicated log."""

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
from dotterelbridge.claims.keys import read_key_time
from dotterelbridge.claims.keys import split_home
from dotterelbridge.claims.outbox import Outbox
from dotterelbridge.claims.refusals import create_undated_refusal
from dotterelbridge.claims.refusals import raise_refusal
from dotterelbridge.claims.service import ClaimReply
from dotterelbridge.claims.service import ClaimService
from dotterelbridge.claims.service import ClaimState
from dotterelbridge.claims.service import RecordedResponse
from dotterelbridge.claims.settings import ClaimsSettings
from dotterelbridge.claims.settings import create_limits
from dotterelbridge.claims.state_machine import MACHINE_NAME
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

RETRY_PAUSE = timedelta(milliseconds=50)
BYTES_PER_KB = 1024

_log = structlog.get_logger(__name__)
_answer_decoder = msgspec.msgpack.Decoder(RecordedResponse)

_begins = metrics.meter.create_counter(
    "dotterelbridge.claims.begins",
    description="Attempts to claim a key, by verdict",
)
_outcomes = metrics.meter.create_counter(
    "dotterelbridge.claims.outcomes",
    description="Outcomes of keyed calls, by kind and verdict",
)


class ReplicatedClaimService(ClaimService, Dumpable):
    """Claims keys by commands on the log, from any VM."""

    def __init__(
        self,
        log: ReplicatedLog,
        settings: ClaimsSettings,
        clock: Clock,
        own: VmId,
        vm_count: int,
        reports_time: bool,
        volatile: bool = False,
    ) -> None:
        self._replicated = log
        self._settings = settings
        self._clock = clock
        self._own = own
        self._limits = create_limits(settings, vm_count, volatile)
        self._reports_time = reports_time
        self._tick_interval = _choose_tick_interval(settings, volatile)
        self._machine = ClaimStateMachine()
        log.add_state_machine(MACHINE_NAME, self._machine)
        self._try_timeout = _milliseconds(settings.try_timeout_ms)
        self._settle_timeout = _milliseconds(settings.settle_timeout_ms)
        self._outbox = Outbox(self._settle, settings.outbox_limit, clock)

    async def begin(
        self,
        business: Business,
        key: IdempotencyKey,
        digest: str,
        attempt: AttemptId,
    ) -> ClaimReply:
        self._check_home(key)
        key_time_ms = read_key_time(key)
        if key_time_ms is None and self._settings.require_dated_keys:
            raise create_undated_refusal()
        command = Begin(
            stamp=self._create_stamp(),
            key=hash_key(business, key),
            key_time_ms=key_time_ms,
            digest=hash_text(digest),
            attempt=attempt,
        )
        result = await self._claim(command)
        _begins.add(1, {"verdict": result.verdict.value})
        return _create_reply(result)

    async def record(
        self,
        business: Business,
        key: IdempotencyKey,
        attempt: AttemptId,
        answer: RecordedResponse,
    ) -> None:
        """Record the answer of the run.

        Returns when it is committed, or after the settle timeout; it is
        then sent on in the background. The same holds for the other
        outcomes.
        """
        packed = msgspec.msgpack.encode(answer)
        limit = self._settings.answer_limit_kb * BYTES_PER_KB
        await self._finish(
            Record(
                stamp=self._create_stamp(),
                key=hash_key(business, key),
                attempt=attempt,
                answer=packed if len(packed) <= limit else None,
            )
        )

    async def release(
        self, business: Business, key: IdempotencyKey, attempt: AttemptId
    ) -> None:
        await self._finish(
            Release(
                stamp=self._create_stamp(),
                key=hash_key(business, key),
                attempt=attempt,
            )
        )

    async def abandon(
        self, business: Business, key: IdempotencyKey, attempt: AttemptId
    ) -> None:
        await self._finish(
            Abandon(
                stamp=self._create_stamp(),
                key=hash_key(business, key),
                attempt=attempt,
            )
        )

    async def run(self) -> None:
        """Send on late outcomes and report the time until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._outbox.run)
            if self._reports_time:
                group.start_soon(self._report_time)

    async def wait_settled(self) -> None:
        """Return once all outcomes are in the log."""
        await self._outbox.wait_empty()

    async def drain(self) -> None:
        """Wait a bounded time for the outcomes, before the VM stops.

        A key whose outcome is lost becomes unknown; it never runs again.
        """
        limit = timedelta(seconds=self._settings.drain_limit_s)
        async with anyio.create_task_group() as group:
            group.start_soon(self._end_drain, group.cancel_scope, limit)
            await self.wait_settled()
            group.cancel_scope.cancel()

    async def _end_drain(
        self, scope: anyio.CancelScope, limit: timedelta
    ) -> None:
        await self._clock.sleep(limit)
        events.log(_log, ClaimEvent.OUTCOMES_LEFT, waiting=len(self._outbox))
        scope.cancel()

    def dump(self) -> dict[str, Any]:
        return {
            "table": self._machine.table.describe(),
            "outcomes_waiting": len(self._outbox),
            "limits": msgspec.structs.asdict(self._limits),
        }

    def measure_snapshot(self) -> int:
        """Return the size of the table's snapshot in bytes; it is taken."""
        return len(self._machine.take_snapshot())

    async def _claim(self, command: Begin) -> ClaimResult:
        """Commit a claim; on failure make sure that the key gets free."""
        timeout = _milliseconds(self._settings.begin_timeout_ms)
        deadline = self._clock.monotonic() + timeout.total_seconds()
        uncertain = False
        try:
            while True:
                try:
                    result = await self._propose(command, deadline)
                except CommitUnknown as error:
                    uncertain = True
                    await self._pause(deadline, error)
                except NotCommitted as error:
                    await self._pause(deadline, error)
                else:
                    raise_refusal(result.verdict)
                    return result
        except NotCommitted as error:
            if not uncertain:
                events.log(
                    _log, ClaimEvent.CLAIM_NOT_MADE, error=error.problem
                )
                raise
            self._free_in_background(command)
            raise CommitUnknown(
                f"whether the key was claimed is not known ({error.problem})",
                "the call was not run; send it again with the same key "
                "in a few seconds",
            ) from error
        except CommitUnknown:
            self._free_in_background(command)
            raise
        except BaseException:
            # Cancelled: the command may be on its way, and nobody runs.
            self._outbox.add(_create_release(command))
            raise

    async def _propose(self, command: Begin, deadline: float) -> ClaimResult:
        left = timedelta(seconds=deadline - self._clock.monotonic())
        if left <= timedelta(0):
            raise NotCommitted(
                "the key could not be claimed in time", "send the call again"
            )
        result = await self._replicated.propose(
            MACHINE_NAME, encode_command(command), min(left, self._try_timeout)
        )
        return decode_result(result)

    async def _pause(self, deadline: float, error: ReplicationError) -> None:
        """Wait before the next try; raise the error past the deadline."""
        wake_at = self._clock.monotonic() + RETRY_PAUSE.total_seconds()
        if wake_at >= deadline:
            raise error
        await self._clock.sleep(RETRY_PAUSE)

    def _free_in_background(self, command: Begin) -> None:
        events.log(_log, ClaimEvent.CLAIM_UNCERTAIN, attempt=command.attempt)
        self._outbox.add(_create_release(command))

    async def _finish(self, command: Record | Release | Abandon) -> None:
        try:
            await self._settle(command)
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

    async def _settle(self, command: AnyCommand) -> None:
        """Commit an outcome; a repetition of it changes nothing."""
        encoded = encode_command(command)
        answer = await self._replicated.propose(
            MACHINE_NAME, encoded, self._settle_timeout
        )
        verdict = decode_result(answer).verdict
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
                await self._replicated.propose(
                    MACHINE_NAME, tick, self._settle_timeout
                )
            except ReplicationError:
                await self._clock.sleep(timedelta(seconds=1))
                continue
            await self._clock.sleep(self._tick_interval)

    def _check_home(self, key: IdempotencyKey) -> None:
        """Refuse a key that names a home where none is held.

        It must not be held here: once homes are turned on, it would be
        looked for elsewhere and could run again.
        """
        domain, _ = split_home(key)
        if domain is not None and not self._limits.volatile:
            raise HomeUnknown(
                f"keys of the failure domain {domain!r} are not held here",
                "set home_keys in [claims], or send a key without '~' at "
                "its start",
            )

    def _create_stamp(self) -> Stamp:
        now_ms = int(self._clock.now().timestamp() * MS_PER_S)
        return Stamp(self._own, now_ms, self._limits)


def create_claim_service(
    log: ReplicatedLog,
    settings: ClaimsSettings,
    clock: Clock,
    own: VmId,
    vm_count: int,
    reports_time: bool,
    volatile: bool = False,
) -> ReplicatedClaimService:
    """Return the claims' part of the daemon.

    :param vm_count: number of VMs in the deployment.
    :param reports_time: whether this VM reports its time when idle; true
        on the VMs that hold the log.
    :param volatile: whether the log is lost when all its members are;
        keys that an earlier table may have held are then refused.
    """
    return ReplicatedClaimService(
        log, settings, clock, own, vm_count, reports_time, volatile
    )


def _create_reply(result: ClaimResult) -> ClaimReply:
    answer = None
    if result.answer is not None:
        answer = _answer_decoder.decode(result.answer)
    return ClaimReply(state=ClaimState(result.verdict.value), answer=answer)


def _milliseconds(value: int) -> timedelta:
    return timedelta(milliseconds=value)


def _create_release(command: Begin) -> Release:
    return Release(
        stamp=command.stamp, key=command.key, attempt=command.attempt
    )


def _choose_tick_interval(
    settings: ClaimsSettings, volatile: bool
) -> timedelta:
    """Return the time between two reports of this VM's time.

    A volatile table refuses keys from the future, so its log time may
    lag by a part of the skew only.
    """
    interval = timedelta(seconds=settings.tick_interval_s)
    if not volatile:
        return interval
    return min(interval, timedelta(seconds=settings.key_skew_s) / 4)
