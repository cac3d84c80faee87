"""What the head of a response says of the kind of its body."""

from collections.abc import Iterable

EVENT_STREAM_TYPE = b"text/event-stream"
_CONTENT_TYPE_HEADER = b"content-type"
_CONTENT_ENCODING_HEADER = b"content-encoding"
_NO_ENCODING = b"identity"


def read_media_type(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return the media type in lower case; empty if there is none."""
    for name, value in headers:
        if name == _CONTENT_TYPE_HEADER:
            return value.partition(b";")[0].strip().lower()
    return b""


def has_content_encoding(headers: Iterable[tuple[bytes, bytes]]) -> bool:
    """Return whether the body has to be decoded before it can be read."""
    return any(
        name == _CONTENT_ENCODING_HEADER
        and value.strip().lower() != _NO_ENCODING
        for name, value in headers
    )
