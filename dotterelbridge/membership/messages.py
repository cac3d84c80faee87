"""Messages by which VMs exchange liveness, load and records."""

import msgspec

from dotterelbridge.ids import FailureDomain
from dotterelbridge.membership.records import KeyVersion
from dotterelbridge.membership.records import Record
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of one target, which is identified by the hash of its name."""

    target_hash: int
    running: int
    waiting: int


@register_message("heartbeat")
class Heartbeat(Message, frozen=True, kw_only=True, array_like=True):
    """Heartbeat to a VM of the same failure domain, with new records."""

    incarnation: int
    own_hash: int
    """Hash of the records of the sender's failure domain."""
    others_hash: int
    """Hash of the records of all other failure domains."""
    reachable_domains: int = 0
    """Bit mask of the failure domains, sorted by name, whose digests reach
    the sender directly. Not every VM has a link to every other domain."""
    loads: tuple[LoadReport, ...] = ()
    records: tuple[Record, ...] = ()


@register_message("digest")
class Digest(Message, frozen=True, kw_only=True, array_like=True):
    """Hash and new records of the sender's domain, to another domain."""

    domain: FailureDomain
    hash: int
    records: tuple[Record, ...] = ()


@register_message("hashes_request")
class HashesRequest(Message, frozen=True, kw_only=True, array_like=True):
    """Request for the hash of each failure domain's records."""


@register_message("hashes_answer")
class HashesAnswer(Message, frozen=True, kw_only=True, array_like=True):
    """Hash of each failure domain's records."""

    hashes: dict[FailureDomain, int]


@register_message("sync_request")
class SyncRequest(Message, frozen=True, kw_only=True, array_like=True):
    """Request for the records of a domain newer than these versions."""

    domain: FailureDomain
    versions: tuple[KeyVersion, ...]


@register_message("sync_answer")
class SyncAnswer(Message, frozen=True, kw_only=True, array_like=True):
    """The records that the requesting VM lacked."""

    records: tuple[Record, ...]
    missing_key_hashes: tuple[int, ...] = ()
    """Hashes of the keys whose newer record the requesting VM holds."""
