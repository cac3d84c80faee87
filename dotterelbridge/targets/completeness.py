"""Decides whether a response that ended normally is complete.

A body with a length or in chunks is complete once HTTP says so. One that ends
with its connection may have been cut off anywhere: its content has to show
that it was not, or else the target, which has to run on.
"""

import msgspec

from dotterelbridge.targets.client import Exchange
from dotterelbridge.targets.client import TargetClient
from dotterelbridge.targets.connection import BodyFraming
from dotterelbridge.targets.errors import ResponseTruncated
from dotterelbridge.targets.liveness import LivenessProbe
from dotterelbridge.targets.media_types import read_media_type

_JSON_TYPE = b"application/json"
_JSON_SUFFIX = b"+json"
_SELF_DELIMITING_JSON = (b"{", b"[", b'"')
"""First bytes of JSON values of which no proper prefix is valid."""


async def verify_body_end(
    exchange: Exchange,
    body: bytes,
    client: TargetClient,
    probe: LivenessProbe,
) -> None:
    """Check that a body is complete.

    :param body: all bytes that were received before the response ended.
    :raises ResponseTruncated: it is incomplete, or may be.
    """
    if exchange.framing is not BodyFraming.CONNECTION:
        return
    if not _has_visible_end(exchange, body):
        await verify_running(client, probe)


async def verify_running(client: TargetClient, probe: LivenessProbe) -> None:
    """Check that a target has outlived the connection of its response.

    A target that runs on has ended the connection by itself, as the end of
    its response.

    :raises ResponseTruncated: it may have ended, and cut the response off.
    """
    if not await client.confirm_running(probe):
        raise ResponseTruncated(
            "the response ended with its connection, and the target did not "
            "show that it still runs",
            "retry if the call is idempotent",
        )


def _has_visible_end(exchange: Exchange, body: bytes) -> bool:
    """Return whether the content of a body shows that it is complete.

    :raises ResponseTruncated: it shows that it is not.
    """
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
