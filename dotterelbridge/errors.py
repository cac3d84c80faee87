"""Base classes of all exceptions.

Each subpackage derives its own errors from these. Every error has a remedy,
which says how to solve the problem.
"""


class DotterelbridgeError(Exception):
    """Base of all errors raised by dotterelbridge."""

    def __init__(self, problem: str, remedy: str) -> None:
        super().__init__(f"{problem}; {remedy}")
        self.problem = problem
        self.remedy = remedy


class InvariantViolation(DotterelbridgeError):
    """An invariant would have been violated."""


class SettingsError(DotterelbridgeError):
    """The settings, or a file that they name, cannot be used."""


class DocumentMalformed(DotterelbridgeError):
    """A document from outside is not valid, or lacks or mistypes fields."""


class SheetError(DotterelbridgeError):
    """A sheet was rejected."""


class PeerError(DotterelbridgeError):
    """Another daemon could not be reached or violated the protocol."""


class PeerUnreachable(PeerError):
    """There is no connection to the peer, or the request timed out."""


class ReplicationError(DotterelbridgeError):
    """A command could not be replicated."""


class NotCommitted(ReplicationError):
    """The command is not in the log and never will be."""


class CommitUnknown(ReplicationError):
    """The command may or may not be committed."""


class StorageError(ReplicationError):
    """Durable storage is corrupt, full or failing."""


class ClaimError(DotterelbridgeError):
    """A request with an idempotency key cannot proceed."""


class PlacementError(DotterelbridgeError):
    """A placement decision or a load or unload order failed."""


class LeaseLost(PlacementError):
    """The lease expired or could not be renewed."""


class TargetError(DotterelbridgeError):
    """A call to a target failed or was rejected by it."""


class TargetConnectFailed(TargetError):
    """The connection failed; no byte of the request reached the target."""


class TargetRefused(TargetError):
    """The target responded that it did not run the request."""


class TargetExchangeFailed(TargetError):
    """The call failed after bytes of the request may have been sent."""


class RequestRefused(DotterelbridgeError):
    """A caller's request was rejected and did not run."""
