"""Idempotency keys as the claims see them.

A UUIDv7 (RFC 9562) tells when it was made, so that it can be refused for
its age alone. Any other key is only known for as long as it is kept. A
key ``~DOMAIN~REST`` names the failure domain that holds it.
"""

import hashlib
import re

from dotterelbridge.ids import Business
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import IdempotencyKey

HASH_BYTES = 16
_UUID7_TIME_DIGITS = 12
_HOME = re.compile(r"~(?P<domain>[^~]+)~(?P<rest>.+)\Z", re.DOTALL)
_UUID7 = re.compile(
    r"[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}\Z",
    re.IGNORECASE,
)


def hash_key(business: Business, key: IdempotencyKey) -> bytes:
    """Return what stands for the key of a business in the table."""
    return hash_text(f"{len(business)}:{business}{key}")


def hash_text(text: str) -> bytes:
    """Return a short hash that is the same on every VM."""
    encoded = text.encode("utf-8", "surrogatepass")
    return hashlib.blake2b(encoded, digest_size=HASH_BYTES).digest()


def read_key_time(key: IdempotencyKey) -> int | None:
    """Return when a key was made, in Unix milliseconds, if it tells."""
    _, own_part = split_home(key)
    if not _UUID7.match(own_part):
        return None
    return int(own_part.replace("-", "")[:_UUID7_TIME_DIGITS], 16)


def split_home(key: IdempotencyKey) -> tuple[FailureDomain | None, str]:
    """Return the failure domain that a key names, and the rest of it."""
    match = _HOME.match(key)
    if match is None:
        return None, key
    return FailureDomain(match["domain"]), match["rest"]
