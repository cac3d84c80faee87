"""Messages of the membership part."""

import msgspec

from dotterelbridge.ids import FailureDomain
from dotterelbridge.membership.records import KeyVersion
from dotterelbridge.membership.records import Record
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of one target; the target goes by the hash of its name."""

    target_hash: int
    running: int
    waiting: int


@register_message("heartbeat")
class Heartbeat(Message, frozen=True, kw_only=True, array_like=True):
    """Sign of life to a VM of the own failure domain, and the news."""

    incarnation: int
    own_hash: int
    others_hash: int
    heard_domains: int = 0
    """Bit mask of the failure domains, sorted by name, that the sender
    hears itself; not every VM has a link to every other domain."""
    loads: tuple[LoadReport, ...] = ()
    records: tuple[Record, ...] = ()


@register_message("digest")
class Digest(Message, frozen=True, kw_only=True, array_like=True):
    """News of the sender's failure domain to a VM of another one."""

    domain: FailureDomain
    hash: int
    records: tuple[Record, ...] = ()


@register_message("hashes_request")
class HashesRequest(Message, frozen=True, kw_only=True, array_like=True):
    """Asks for the hash of every failure domain's records."""


@register_message("hashes_answer")
class HashesAnswer(Message, frozen=True, kw_only=True, array_like=True):
    """Hash of each failure domain's records."""

    hashes: dict[FailureDomain, int]


@register_message("sync_request")
class SyncRequest(Message, frozen=True, kw_only=True, array_like=True):
    """Asks for the records of a domain that are newer than these."""

    domain: FailureDomain
    versions: tuple[KeyVersion, ...]


@register_message("sync_answer")
class SyncAnswer(Message, frozen=True, kw_only=True, array_like=True):
    """The records that the asker lacked."""

    records: tuple[Record, ...]
    wanted: tuple[int, ...] = ()
    """Hashed subjects on which the asker knows more."""
