"""Parses and hashes idempotency keys.

A UUIDv7 (RFC 9562) contains its creation time, so an old one can be
refused by age alone ("dated" key). Any other ("undated") key is recognised
only for as long as it is remembered. A key ``~DOMAIN~REST`` names its home,
the failure domain that holds it.
"""

import hashlib
import re

from dotterelbridge.ids import Business
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import IdempotencyKey

HASH_BYTES = 16
_UUID7_TIME_HEX_DIGITS = 12
_HOME_KEY_PATTERN = re.compile(r"~(?P<domain>[^~]+)~(?P<rest>.+)\Z", re.DOTALL)
_UUID7_PATTERN = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}\Z",
    re.IGNORECASE,
)


def hash_key(business: Business, key: IdempotencyKey) -> bytes:
    """Return the hash that identifies a business's key in the table."""
    return hash_text(f"{len(business)}:{business}{key}")


def hash_text(text: str) -> bytes:
    """Return a 16-byte BLAKE2b hash, which is the same on every VM."""
    encoded = text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(encoded, digest_size=HASH_BYTES).digest()


def parse_key_time_ms(key: IdempotencyKey) -> int | None:
    """Return the creation time of a UUIDv7 key in Unix ms, else None."""
    _, uuid_part = split_home_domain(key)
    if not _UUID7_PATTERN.match(uuid_part):
        return None
    return int(uuid_part.replace("-", "")[:_UUID7_TIME_HEX_DIGITS], 16)


def split_home_domain(key: IdempotencyKey) -> tuple[FailureDomain | None, str]:
    """Split a key into its home domain, None without one, and the rest."""
    match = _HOME_KEY_PATTERN.match(key)
    if match is None:
        return None, key
    return FailureDomain(match["domain"]), match["rest"]
