"""Keys under which the records of streams are kept."""

import hashlib
from typing import NewType

from dotterelbridge.ids import RequestId

StreamKey = NewType("StreamKey", bytes)
"""Digest of team, route and request id."""

KEY_BYTES = 16
_LENGTH_BYTES = 8


def compute_stream_key(
    request_id: RequestId, route: str, team: str
) -> StreamKey:
    """Return the key of a stream.

    A key has the same size whatever a caller sends as an id, and a caller
    cannot choose an id with the key of another team's stream.
    """
    digest = hashlib.blake2b(digest_size=KEY_BYTES)
    for field in (team, route, request_id):
        data = field.encode("utf-8", "surrogatepass")
        digest.update(len(data).to_bytes(_LENGTH_BYTES))
        digest.update(data)
    return StreamKey(digest.digest())
