"""Commands of the claim state machine, and their results.

A replicated state machine must not read the clock or the settings: its
result would differ between VMs. Each command therefore carries the
proposer's time and limits, so VMs whose settings differ for a while, as
during a rolling change, still compute the same state.
"""

import enum

import msgspec

from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import VmId

MS_PER_S = 1000


class ClaimLimits(msgspec.Struct, frozen=True, array_like=True):
    """Limits that apply to one command."""

    attempt_limit_ms: int
    answer_age_ms: int
    answers_bytes: int
    answers: int
    attempts: int
    dated_key_age_ms: int
    undated_key_age_ms: int
    remembered: int
    clock_quorum: int
    key_skew_ms: int
    """How far the time in a UUIDv7 key may be ahead of log time."""
    volatile: bool
    """Whether the table is in memory only and lost with all its members."""


class Stamp(msgspec.Struct, frozen=True, array_like=True):
    """Proposer, time and limits of a command."""

    proposer: VmId
    now_ms: int
    """The proposer's wall-clock time, Unix milliseconds."""
    limits: ClaimLimits


class Command(msgspec.Struct, frozen=True, array_like=True):
    """Base class of the commands."""

    stamp: Stamp


class Begin(Command, tag="begin"):
    """Claims a key for one attempt to run the call."""

    key: bytes
    key_time_ms: int | None
    digest: bytes
    attempt: AttemptId


class Record(Command, tag="record"):
    """Records the response of an attempt."""

    key: bytes
    attempt: AttemptId
    response: bytes | None
    """The encoded RecordedResponse; None when it is too large to keep."""


class Release(Command, tag="release"):
    """Makes a key available again: the attempt certainly did not run."""

    key: bytes
    attempt: AttemptId


class Abandon(Command, tag="abandon"):
    """Marks a key as unknown: the attempt may or may not have run."""

    key: bytes
    attempt: AttemptId


class Tick(Command, tag="tick"):
    """Reports the proposer's time when there is no other command."""


AnyCommand = Begin | Record | Release | Abandon | Tick


class Verdict(enum.Enum):
    """Result code of a command."""

    GRANTED = "granted"
    RECORDED = "recorded"
    IN_PROGRESS = "in_progress"
    UNKNOWN = "unknown"
    EXPIRED = "expired"
    MISMATCH = "mismatch"
    RELEASED = "released"
    """This attempt released the key earlier; it must not run."""
    FULL = "full"
    NOT_READY = "not_ready"
    """Log time is not known: too few VMs reported theirs."""
    UNDATED = "undated"
    """A volatile table accepts only keys that contain their creation time."""
    AHEAD = "ahead"
    """A volatile table refuses keys whose creation time is in the future."""
    DONE = "done"
    NOT_OWNER = "not_owner"


class ClaimResult(msgspec.Struct, frozen=True, array_like=True):
    """A verdict, with the recorded response if there is one."""

    verdict: Verdict
    response: bytes | None = None


_command_decoder = msgspec.msgpack.Decoder(AnyCommand)
_result_decoder = msgspec.msgpack.Decoder(ClaimResult)


def encode_command(command: AnyCommand) -> bytes:
    """Encode a command for the log."""
    return msgspec.msgpack.encode(command)


def decode_command(encoded: bytes) -> AnyCommand:
    """Decode a command from the log."""
    return _command_decoder.decode(encoded)


def decode_result(encoded: bytes) -> ClaimResult:
    """Decode the result of a command."""
    return _result_decoder.decode(encoded)
