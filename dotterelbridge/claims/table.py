"""Claim table: grants at most one run for each key."""

from collections import OrderedDict
import enum
import heapq

import msgspec

from dotterelbridge import invariants
from dotterelbridge.claims.commands import Abandon
from dotterelbridge.claims.commands import AnyCommand
from dotterelbridge.claims.commands import Begin
from dotterelbridge.claims.commands import ClaimLimits
from dotterelbridge.claims.commands import ClaimResult
from dotterelbridge.claims.commands import Record
from dotterelbridge.claims.commands import Release
from dotterelbridge.claims.commands import Stamp
from dotterelbridge.claims.commands import Verdict
from dotterelbridge.claims.log_time import LogTime
from dotterelbridge.claims.tombstones import PackedTombstones
from dotterelbridge.claims.tombstones import TombstoneKind
from dotterelbridge.claims.tombstones import Tombstones
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import VmId

RETIRED_PER_COMMAND_LIMIT = 8
"""Expired claims that one command turns into tombstones, at most."""
RELEASED_ATTEMPTS_LIMIT = 8
"""Released attempts that are remembered for one key."""
FIRST_LOG_TIME_MARGIN_SKEWS = 2
"""A volatile table refuses keys created up to its first log time plus this
many times the permitted clock skew."""
HEAP_ENTRIES_PER_CLAIM_LIMIT = 4
"""Entries of the expiry heap per claim above which it is rebuilt."""


class ClaimPhase(enum.IntEnum):
    """Lifecycle of a claim."""

    OPEN = 0
    RECORDED = 1
    ABANDONED = 2
    FREE = 3


class Claim(msgspec.Struct, array_like=True):
    """A key that is claimed, or was used recently."""

    phase: ClaimPhase
    attempt: AttemptId
    digest: bytes
    expires_ms: int
    """Log time at which the claim leaves the table."""
    unknown_from_ms: int
    """Log time at which an open claim becomes unknown."""
    created_ms: int | None = None
    """Creation time of the key; None for an undated key."""
    response: bytes | None = None
    released: tuple[AttemptId, ...] = ()


class _Snapshot(msgspec.Struct, frozen=True, array_like=True):
    now_ms: int
    reports: dict[VmId, int]
    first_log_time_ms: int
    refused_up_to_ms: int
    open_count: int
    claims: list[tuple[bytes, Claim]]
    recorded: list[bytes]
    tombstones: PackedTombstones


_snapshot_decoder = msgspec.msgpack.Decoder(_Snapshot)


class ClaimTable:
    """Deterministic state of all claims; changed by commands only."""

    def __init__(self) -> None:
        self._log_time = LogTime()
        self._claims: dict[bytes, Claim] = {}
        self._recorded: OrderedDict[bytes, None] = OrderedDict()
        self._expiry_heap: list[tuple[int, bytes]] = []
        self._tombstones = Tombstones()
        self._first_log_time_ms = 0
        """The first known log time."""
        self._refused_up_to_ms = 0
        """UUIDv7 keys created up to this time are refused."""
        self._open_count = 0
        self._response_bytes = 0

    def apply(self, command: AnyCommand) -> ClaimResult:
        """Apply one command."""
        limits = command.stamp.limits
        self._advance_log_time(command.stamp)
        if isinstance(command, Begin):
            result = self._begin(command, limits)
        elif isinstance(command, Record):
            result = ClaimResult(self._record(command, limits))
        elif isinstance(command, Release):
            result = ClaimResult(self._release(command, limits))
        elif isinstance(command, Abandon):
            result = ClaimResult(self._abandon(command, limits))
        else:
            result = ClaimResult(Verdict.DONE)
        self._retire_expired(limits)
        self._evict_oldest_responses(limits)
        self._tombstones.sweep(self._log_time.now_ms, self._refused_up_to_ms)
        return result

    def describe(self) -> dict[str, int]:
        """Return counts and sizes for the state dump."""
        return {
            "log_time_ms": self._log_time.now_ms,
            "claims": len(self._claims),
            "open": self._open_count,
            "recorded": len(self._recorded),
            "answer_bytes": self._response_bytes,
            "remembered": len(self._tombstones),
            "refused_up_to_ms": self._refused_up_to_ms,
        }

    def take_snapshot(self) -> bytes:
        """Return the whole table."""
        snapshot = _Snapshot(
            now_ms=self._log_time.now_ms,
            reports=self._log_time.reports,
            first_log_time_ms=self._first_log_time_ms,
            refused_up_to_ms=self._refused_up_to_ms,
            open_count=self._open_count,
            claims=list(self._claims.items()),
            recorded=list(self._recorded),
            tombstones=self._tombstones.pack(),
        )
        return msgspec.msgpack.encode(snapshot)

    def restore_snapshot(self, encoded: bytes) -> None:
        """Replace the table with a snapshot."""
        snapshot = _snapshot_decoder.decode(encoded)
        self._log_time = LogTime(snapshot.now_ms, snapshot.reports)
        self._claims = dict(snapshot.claims)
        self._recorded = OrderedDict.fromkeys(snapshot.recorded)
        self._rebuild_expiry_heap()
        self._tombstones = Tombstones.unpack(snapshot.tombstones)
        self._first_log_time_ms = snapshot.first_log_time_ms
        self._refused_up_to_ms = snapshot.refused_up_to_ms
        self._open_count = snapshot.open_count
        self._response_bytes = sum(
            len(claim.response or b"") for claim in self._claims.values()
        )

    def _advance_log_time(self, stamp: Stamp) -> None:
        limits = stamp.limits
        self._log_time.add_report(
            stamp.proposer, stamp.now_ms, limits.clock_quorum
        )
        self._first_log_time_ms = (
            self._first_log_time_ms or self._log_time.now_ms
        )
        # This limit never goes back, even when dated_key_age_ms is raised:
        # the tombstones of keys before it may already be removed.
        self._refused_up_to_ms = max(
            self._refused_up_to_ms,
            self._log_time.now_ms - limits.dated_key_age_ms,
        )

    def _begin(self, command: Begin, limits: ClaimLimits) -> ClaimResult:
        if self._log_time.now_ms == 0:
            return ClaimResult(Verdict.NOT_READY)
        claim = self._claims.get(command.key)
        if claim is None:
            return ClaimResult(self._claim_unowned_key(command, limits))
        if command.attempt in claim.released:
            return ClaimResult(Verdict.RELEASED)
        if claim.phase is ClaimPhase.FREE:
            return ClaimResult(self._claim_unowned_key(command, limits))
        if claim.digest != command.digest:
            return ClaimResult(Verdict.MISMATCH)
        if claim.phase is ClaimPhase.RECORDED:
            return ClaimResult(Verdict.RECORDED, claim.response)
        if self._is_unknown(claim):
            return ClaimResult(Verdict.UNKNOWN)
        if claim.attempt == command.attempt:
            return ClaimResult(Verdict.GRANTED)
        return ClaimResult(Verdict.IN_PROGRESS)

    def _claim_unowned_key(
        self, command: Begin, limits: ClaimLimits
    ) -> Verdict:
        kind = self._tombstones.find(command.key)
        if kind is TombstoneKind.RAN:
            return Verdict.EXPIRED
        if kind is TombstoneKind.UNKNOWN:
            return Verdict.UNKNOWN
        refusal = self._check_key_time(command.key_time_ms, limits)
        return refusal or self._grant(command, limits)

    def _check_key_time(
        self, created_ms: int | None, limits: ClaimLimits
    ) -> Verdict | None:
        """Refuse a key that may have run without a tombstone left of it."""
        if created_ms is not None and created_ms <= self._refused_up_to_ms:
            return Verdict.EXPIRED
        if not limits.volatile:
            return None
        if created_ms is None:
            return Verdict.UNDATED
        if created_ms > self._log_time.now_ms + limits.key_skew_ms:
            return Verdict.AHEAD
        # A table that was lost with its group may have granted the key. Its
        # log time may have been ahead of this one by the clock skew, and it
        # accepted keys ahead of its log time by as much again.
        margin_ms = FIRST_LOG_TIME_MARGIN_SKEWS * limits.key_skew_ms
        if created_ms <= self._first_log_time_ms + margin_ms:
            return Verdict.UNKNOWN
        return None

    def _grant(self, command: Begin, limits: ClaimLimits) -> Verdict:
        if (
            self._open_count >= limits.attempts
            or len(self._tombstones) + len(self._claims) >= limits.remembered
        ):
            return Verdict.FULL
        earlier = self._claims.get(command.key)
        invariants.check(
            (earlier is None or earlier.phase is ClaimPhase.FREE)
            and self._tombstones.find(command.key) is None,
            "claim_granted_once",
            key=command.key.hex(),
            attempt=command.attempt,
        )
        unknown_from_ms = self._log_time.now_ms + limits.attempt_limit_ms
        self._store_claim(
            command.key,
            Claim(
                phase=ClaimPhase.OPEN,
                attempt=command.attempt,
                digest=command.digest,
                expires_ms=unknown_from_ms + limits.answer_age_ms,
                unknown_from_ms=unknown_from_ms,
                created_ms=self._get_trusted_key_time(command, limits),
                released=earlier.released if earlier else (),
            ),
        )
        return Verdict.GRANTED

    def _get_trusted_key_time(
        self, command: Begin, limits: ClaimLimits
    ) -> int | None:
        """Return a key's creation time unless it is in the future.

        A key from the future counts as undated: judged by its date, it
        would still be accepted after the tombstone of its run is removed.
        """
        created_ms = command.key_time_ms
        if created_ms is None:
            return None
        ahead_ms = created_ms - self._log_time.now_ms
        return None if ahead_ms > limits.key_skew_ms else created_ms

    def _record(self, command: Record, limits: ClaimLimits) -> Verdict:
        claim = self._claims.get(command.key)
        if claim is None:
            has_run = self._tombstones.find(command.key) is TombstoneKind.RAN
            return Verdict.DONE if has_run else Verdict.NOT_OWNER
        if claim.attempt != command.attempt or claim.phase is ClaimPhase.FREE:
            return Verdict.NOT_OWNER
        if claim.phase is ClaimPhase.RECORDED:
            return Verdict.DONE
        expires_ms = self._log_time.now_ms + limits.answer_age_ms
        self._store_claim(
            command.key,
            msgspec.structs.replace(
                claim,
                phase=ClaimPhase.RECORDED,
                response=command.response,
                expires_ms=expires_ms,
            ),
        )
        if command.response is None:
            self._replace_by_tombstone(command.key, limits)
        return Verdict.DONE

    def _release(self, command: Release, limits: ClaimLimits) -> Verdict:
        claim = self._claims.get(command.key)
        if claim is None:
            if self._tombstones.find(command.key) is not None:
                return Verdict.NOT_OWNER
            # The attempt's claim may be committed after its release.
            return self._mark_free(command, (), limits)
        if claim.phase is ClaimPhase.FREE:
            return self._mark_free(command, claim.released, limits)
        if claim.phase is ClaimPhase.OPEN and claim.attempt == command.attempt:
            return self._mark_free(command, claim.released, limits)
        return Verdict.NOT_OWNER

    def _mark_free(
        self,
        command: Release,
        released: tuple[AttemptId, ...],
        limits: ClaimLimits,
    ) -> Verdict:
        if command.attempt not in released:
            released = (*released, command.attempt)
        expires_ms = self._log_time.now_ms + limits.attempt_limit_ms
        self._store_claim(
            command.key,
            Claim(
                phase=ClaimPhase.FREE,
                attempt=command.attempt,
                digest=b"",
                expires_ms=expires_ms,
                unknown_from_ms=expires_ms,
                released=released[-RELEASED_ATTEMPTS_LIMIT:],
            ),
        )
        return Verdict.DONE

    def _abandon(self, command: Abandon, limits: ClaimLimits) -> Verdict:
        claim = self._claims.get(command.key)
        if claim is None or claim.attempt != command.attempt:
            return Verdict.NOT_OWNER
        if claim.phase is ClaimPhase.ABANDONED:
            return Verdict.DONE
        if claim.phase is not ClaimPhase.OPEN:
            return Verdict.NOT_OWNER
        expires_ms = self._log_time.now_ms + limits.answer_age_ms
        self._store_claim(
            command.key,
            msgspec.structs.replace(
                claim, phase=ClaimPhase.ABANDONED, expires_ms=expires_ms
            ),
        )
        return Verdict.DONE

    def _is_unknown(self, claim: Claim) -> bool:
        if claim.phase is ClaimPhase.ABANDONED:
            return True
        return self._log_time.now_ms >= claim.unknown_from_ms

    def _store_claim(self, key: bytes, claim: Claim) -> None:
        """Replace a key's claim and update the counts and orders."""
        self._remove_claim(key)
        self._claims[key] = claim
        self._open_count += claim.phase is ClaimPhase.OPEN
        self._response_bytes += len(claim.response or b"")
        if claim.phase is ClaimPhase.RECORDED:
            self._recorded[key] = None
        heapq.heappush(self._expiry_heap, (claim.expires_ms, key))

    def _remove_claim(self, key: bytes) -> Claim | None:
        claim = self._claims.pop(key, None)
        if claim is None:
            return None
        self._open_count -= claim.phase is ClaimPhase.OPEN
        self._response_bytes -= len(claim.response or b"")
        self._recorded.pop(key, None)
        return claim

    def _replace_by_tombstone(self, key: bytes, limits: ClaimLimits) -> None:
        """Turn a claim into a tombstone; a free key does not need one."""
        claim = self._remove_claim(key)
        if claim.phase is ClaimPhase.FREE:
            return
        has_run = claim.phase is ClaimPhase.RECORDED
        kind = TombstoneKind.RAN if has_run else TombstoneKind.UNKNOWN
        if claim.created_ms is not None:
            self._tombstones.add_dated(key, kind, claim.created_ms)
            return
        expires_ms = self._log_time.now_ms + limits.undated_key_age_ms
        self._tombstones.add_undated(key, kind, expires_ms)

    def _retire_expired(self, limits: ClaimLimits) -> None:
        retired = 0
        while self._expiry_heap and retired < RETIRED_PER_COMMAND_LIMIT:
            expires_ms, key = self._expiry_heap[0]
            if expires_ms > self._log_time.now_ms:
                break
            heapq.heappop(self._expiry_heap)
            claim = self._claims.get(key)
            if claim is not None and claim.expires_ms == expires_ms:
                self._replace_by_tombstone(key, limits)
                retired += 1
        if len(self._expiry_heap) > HEAP_ENTRIES_PER_CLAIM_LIMIT * (
            len(self._claims) + 1
        ):
            self._rebuild_expiry_heap()

    def _rebuild_expiry_heap(self) -> None:
        """Rebuild the heap from the claims, without outdated entries."""
        self._expiry_heap = [
            (claim.expires_ms, key) for key, claim in self._claims.items()
        ]
        heapq.heapify(self._expiry_heap)

    def _evict_oldest_responses(self, limits: ClaimLimits) -> None:
        while self._recorded and (
            len(self._recorded) > limits.answers
            or self._response_bytes > limits.answers_bytes
        ):
            self._replace_by_tombstone(next(iter(self._recorded)), limits)
