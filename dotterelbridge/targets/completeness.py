"""Decides whether a response that ended normally is complete.

A body with a length or in chunks is complete once HTTP says so. One that ends
with its connection may have been cut off anywhere: only its content can show
that.
"""

import msgspec

from dotterelbridge.targets.client import Exchange
from dotterelbridge.targets.connection import BodyFraming
from dotterelbridge.targets.errors import ResponseTruncated
from dotterelbridge.targets.media_types import read_media_type

_JSON_TYPE = b"application/json"
_JSON_SUFFIX = b"+json"
_SELF_DELIMITING_JSON = (b"{", b"[", b'"')
"""First bytes of JSON values of which no proper prefix is valid."""


def verify_body_end(exchange: Exchange, body: bytes) -> bool:
    """Return whether a body is certainly complete.

    False means that its end cannot be told from a cut: it is then passed on
    as it came, ended by the connection.

    :param body: all bytes that were received before the response ended.
    :raises ResponseTruncated: the body is certainly incomplete.
    """
    if exchange.framing is not BodyFraming.CONNECTION:
        return True
    if not _is_json(exchange):
        return False
    try:
        msgspec.json.decode(body)
    except RecursionError:
        # Valid as far as it was read, but nested too deeply to be checked.
        return False
    except (msgspec.DecodeError, UnicodeDecodeError):
        raise ResponseTruncated(
            "the connection ended within the JSON document of the response, "
            f"after {len(body)} bytes",
            "retry if the call is idempotent",
        ) from None
    return body.lstrip().startswith(_SELF_DELIMITING_JSON)


def _is_json(exchange: Exchange) -> bool:
    media_type = read_media_type(exchange.headers)
    return media_type == _JSON_TYPE or media_type.endswith(_JSON_SUFFIX)
