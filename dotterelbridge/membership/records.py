"""Versioned records that are replicated to all VMs, and their table.

Each record carries a logical version. Of two records with the same key the
one with the higher (version, origin) wins on every VM, in whatever order
they arrive. VMs compare their tables by an order-independent hash of each
failure domain's records.
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
    """Base class of the contents of a record."""


class TargetBody(Body, frozen=True, kw_only=True, array_like=True, tag="t"):
    """State of a target according to its last poll."""

    state: str
    leaving: bool = False
    incarnation: str = ""
    items: tuple[str, ...] = ()
    """Keys (NAME@VERSION) of the items that are ready, sorted."""


class VmBody(Body, frozen=True, kw_only=True, array_like=True, tag="v"):
    """State of a VM according to its own failure domain."""

    state: str
    incarnation: int


class MarkBody(Body, frozen=True, kw_only=True, array_like=True, tag="m"):
    """Whether an operator marked a VM or target as leaving."""

    leaving: bool


class PlatformBody(Body, frozen=True, kw_only=True, array_like=True, tag="p"):
    """Whether the platform lists a VM or target as leaving."""

    leaving: bool


class DrainingBody(Body, frozen=True, kw_only=True, array_like=True, tag="d"):
    """Items that a target is about to unload; they get no new requests."""

    items: tuple[str, ...]


class LoadsBody(Body, frozen=True, kw_only=True, array_like=True, tag="l"):
    """Loads from the shared weight store by one failure domain."""

    wanting: int
    """Model loads that are planned or in progress."""
    adapters_wanting: int = 0
    """Adapter loads that are planned or in progress."""


class PauseBody(Body, frozen=True, kw_only=True, array_like=True, tag="s"):
    """Whether operators paused the moves of a failure domain.

    Moves are the planned loads and unloads of models and adapters.
    """

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
    """Newest known state under one key."""

    domain: FailureDomain
    name: str
    """VM, target or failure domain that the body describes."""
    version: int
    origin: VmId
    body: AnyBody

    @property
    def key(self) -> tuple[str, str]:
        """Tag of the body's type, and the name."""
        return (self.body.__struct_config__.tag, self.name)

    def is_newer_than(self, other: "Record") -> bool:
        """Return whether this record replaces the other one."""
        return (self.version, self.origin) > (other.version, other.origin)


class KeyVersion(msgspec.Struct, frozen=True, array_like=True):
    """Hash of a record's key, with the version that a VM holds."""

    key_hash: int
    version: int
    origin: VmId


def hash_key(key: tuple[str, str]) -> int:
    """Return a 32-bit hash of a record's key."""
    return hash_name(f"{key[0]}:{key[1]}")


def hash_name(name: str) -> int:
    """Return the 32-bit hash that replaces a name in messages."""
    return xxhash.xxh32_intdigest(name.encode())


def _hash_record(record: Record) -> int:
    tag, name = record.key
    text = f"{tag}:{name}:{record.version}:{record.origin}"
    return xxhash.xxh32_intdigest(text.encode())


class RecordTable:
    """All records that this VM holds, by failure domain."""

    def __init__(self, own_vm: VmId) -> None:
        self._own_vm = own_vm
        self._records: dict[FailureDomain, dict[tuple[str, str], Record]] = {}
        self._hashes: dict[FailureDomain, int] = {}

    def find(
        self, domain: FailureDomain, tag: str, name: str
    ) -> Record | None:
        """Return the record of a key, or None."""
        return self._records.get(domain, {}).get((tag, name))

    def find_body(self, domain: FailureDomain, tag: str, name: str):
        """Return the body of a key's record, or None."""
        record = self.find(domain, tag, name)
        return record.body if record else None

    def put(
        self, domain: FailureDomain, name: str, body: AnyBody
    ) -> Record | None:
        """Store a new version of a record.

        Returns None when the newest version has the same body already.
        """
        tag = body.__struct_config__.tag
        known = self.find(domain, tag, name)
        if known and known.body == body:
            return None
        version = known.version + 1 if known else 1
        record = Record(domain, name, version, self._own_vm, body)
        self._store(record)
        return record

    def merge(self, records: Iterable[Record]) -> list[Record]:
        """Store and return the records that are newer than the known ones."""
        return [r for r in records if self._merge_one(r)]

    def get_domain_hash(self, domain: FailureDomain) -> int:
        """Return the hash over one domain's records."""
        return self._hashes.get(domain, 0)

    def compute_other_domains_hash(self, domain: FailureDomain) -> int:
        """Return the hash over the records of all other domains."""
        result = 0
        for name, value in self._hashes.items():
            if name != domain:
                result ^= value
        return result

    def list_domains(self) -> list[FailureDomain]:
        """Return the domains that have records, sorted."""
        return sorted(self._records)

    def list_records(self, domain: FailureDomain) -> list[Record]:
        """Return the records of one domain."""
        return list(self._records.get(domain, {}).values())

    def list_versions(self, domain: FailureDomain) -> list[KeyVersion]:
        """Return key hash and version of each of one domain's records."""
        return [
            KeyVersion(hash_key(r.key), r.version, r.origin)
            for r in self.list_records(domain)
        ]

    def find_newer(
        self, domain: FailureDomain, held: Iterable[KeyVersion]
    ) -> Iterator[Record]:
        """Yield the records that a VM with the versions ``held`` lacks."""
        known = {v.key_hash: (v.version, v.origin) for v in held}
        for record in self.list_records(domain):
            version = known.get(hash_key(record.key), (0, ""))
            if (record.version, record.origin) > version:
                yield record

    def list_missing_key_hashes(
        self, domain: FailureDomain, held: Iterable[KeyVersion]
    ) -> list[int]:
        """Return the hashes of the keys with newer versions in ``held``."""
        known = {hash_key(r.key): r for r in self.list_records(domain)}
        return [
            v.key_hash
            for v in held
            if v.key_hash not in known
            or (v.version, v.origin)
            > (known[v.key_hash].version, known[v.key_hash].origin)
        ]

    def find_by_key_hashes(
        self, domain: FailureDomain, key_hashes: Iterable[int]
    ) -> list[Record]:
        """Return the records whose keys have the given hashes."""
        wanted = set(key_hashes)
        return [
            r for r in self.list_records(domain) if hash_key(r.key) in wanted
        ]

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
