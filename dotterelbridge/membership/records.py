"""Versioned records that spread to all VMs, and the table of them.

A record carries a logical version; of two records on the same subject the
higher (version, origin) wins on every VM, in whatever order they arrive.
Tables are compared by an order-independent hash for each failure domain.
"""

from collections.abc import Iterable
from collections.abc import Iterator

import msgspec
import xxhash

from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import VmId


class Body(
    msgspec.Struct, frozen=True, kw_only=True, array_like=True, tag=True
):
    """Base of what a record says of its subject."""


class TargetBody(Body, frozen=True, kw_only=True, array_like=True, tag="t"):
    """A target as its poller last saw it."""

    state: str
    leaving: bool = False
    incarnation: str = ""
    items: tuple[str, ...] = ()
    """Ready items, NAME@VERSION, sorted."""


class VmBody(Body, frozen=True, kw_only=True, array_like=True, tag="v"):
    """A VM as its own failure domain sees it."""

    state: str
    incarnation: int


class MarkBody(Body, frozen=True, kw_only=True, array_like=True, tag="m"):
    """An operator's leaving mark on a VM or target."""

    leaving: bool


class PlatformBody(Body, frozen=True, kw_only=True, array_like=True, tag="p"):
    """What the platform list says of a VM or target."""

    leaving: bool


class DrainingBody(Body, frozen=True, kw_only=True, array_like=True, tag="d"):
    """Items that a target is about to unload; they get no new work."""

    items: tuple[str, ...]


class LoadsBody(Body, frozen=True, kw_only=True, array_like=True, tag="l"):
    """A failure domain's use of the shared weight store."""

    wanting: int
    """Loads that are planned or in transit."""
    adapters_wanting: int = 0


class PauseBody(Body, frozen=True, kw_only=True, array_like=True, tag="s"):
    """Whether operators paused the moves in a failure domain."""

    paused: bool


AnyBody = (
    TargetBody
    | VmBody
    | MarkBody
    | PlatformBody
    | DrainingBody
    | LoadsBody
    | PauseBody
)


class Record(msgspec.Struct, frozen=True, array_like=True):
    """One subject's newest known statement."""

    domain: FailureDomain
    name: str
    """VM, target or failure domain that the body speaks of."""
    version: int
    origin: VmId
    body: AnyBody

    @property
    def key(self) -> tuple[str, str]:
        return (self.body.__struct_config__.tag, self.name)

    def is_newer_than(self, other: "Record") -> bool:
        """Whether this record replaces the other one."""
        return (self.version, self.origin) > (other.version, other.origin)


class KeyVersion(msgspec.Struct, frozen=True, array_like=True):
    """A record's subject, hashed, with the version held."""

    key_hash: int
    version: int
    origin: VmId


def hash_key(key: tuple[str, str]) -> int:
    """Return a 32-bit hash of a record's subject."""
    return hash_name(f"{key[0]}:{key[1]}")


def hash_name(name: str) -> int:
    """Return a 32-bit hash that stands for a name in a message."""
    return xxhash.xxh32_intdigest(name.encode())


def _hash_record(record: Record) -> int:
    tag, name = record.key
    text = f"{tag}:{name}:{record.version}:{record.origin}"
    return xxhash.xxh32_intdigest(text.encode())


class RecordTable:
    """All records that this VM holds, by failure domain."""

    def __init__(self, own: VmId) -> None:
        self._own = own
        self._records: dict[FailureDomain, dict[tuple[str, str], Record]] = {}
        self._hashes: dict[FailureDomain, int] = {}

    def find(
        self, domain: FailureDomain, tag: str, name: str
    ) -> Record | None:
        """Return the record on a subject, or None."""
        return self._records.get(domain, {}).get((tag, name))

    def find_body(self, domain: FailureDomain, tag: str, name: str):
        """Return the body on a subject, or None."""
        record = self.find(domain, tag, name)
        return record.body if record else None

    def put(
        self, domain: FailureDomain, name: str, body: AnyBody
    ) -> Record | None:
        """State something new; returns None when it is known already."""
        tag = body.__struct_config__.tag
        known = self.find(domain, tag, name)
        if known and known.body == body:
            return None
        version = known.version + 1 if known else 1
        record = Record(domain, name, version, self._own, body)
        self._store(record)
        return record

    def merge(self, records: Iterable[Record]) -> list[Record]:
        """Take in what is newer and return it."""
        return [r for r in records if self._merge_one(r)]

    def hash_of(self, domain: FailureDomain) -> int:
        """Return the hash over one domain's records."""
        return self._hashes.get(domain, 0)

    def hash_of_others(self, domain: FailureDomain) -> int:
        """Return the hash over the records of all other domains."""
        result = 0
        for name, value in self._hashes.items():
            if name != domain:
                result ^= value
        return result

    def domains(self) -> list[FailureDomain]:
        """Return the domains that have records."""
        return sorted(self._records)

    def records(self, domain: FailureDomain) -> list[Record]:
        """Return one domain's records."""
        return list(self._records.get(domain, {}).values())

    def versions(self, domain: FailureDomain) -> list[KeyVersion]:
        """Return subject and version of one domain's records."""
        return [
            KeyVersion(hash_key(r.key), r.version, r.origin)
            for r in self.records(domain)
        ]

    def find_newer(
        self, domain: FailureDomain, held: Iterable[KeyVersion]
    ) -> Iterator[Record]:
        """Yield the records that the holder of ``held`` lacks."""
        known = {v.key_hash: (v.version, v.origin) for v in held}
        for record in self.records(domain):
            version = known.get(hash_key(record.key), (0, ""))
            if (record.version, record.origin) > version:
                yield record

    def list_wanted(
        self, domain: FailureDomain, held: Iterable[KeyVersion]
    ) -> list[int]:
        """Return the subjects on which the holder of ``held`` knows more."""
        known = {hash_key(r.key): r for r in self.records(domain)}
        return [
            v.key_hash
            for v in held
            if v.key_hash not in known
            or (v.version, v.origin)
            > (known[v.key_hash].version, known[v.key_hash].origin)
        ]

    def find_hashed(
        self, domain: FailureDomain, key_hashes: Iterable[int]
    ) -> list[Record]:
        """Return the records on hashed subjects."""
        wanted = set(key_hashes)
        return [r for r in self.records(domain) if hash_key(r.key) in wanted]

    def _merge_one(self, record: Record) -> bool:
        known = self.find(record.domain, *record.key)
        if known and not record.is_newer_than(known):
            return False
        self._store(record)
        return True

    def _store(self, record: Record) -> None:
        held = self._records.setdefault(record.domain, {})
        value = self._hashes.get(record.domain, 0)
        if record.key in held:
            value ^= _hash_record(held[record.key])
        held[record.key] = record
        self._hashes[record.domain] = value ^ _hash_record(record)
