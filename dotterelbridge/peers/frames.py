"""Wire format of a link: CBOR arrays of kind, request id, name and body."""

import enum

import cbor2
import msgspec

from dotterelbridge.peers.errors import MessageNotEncodable
from dotterelbridge.peers.errors import ProtocolViolation
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import find_message_name
from dotterelbridge.peers.messages import find_message_type

_REMEDY = "run the same release on all VMs"
_CODEC_ERRORS = (
    cbor2.CBORError,
    msgspec.ValidationError,
    ValueError,
    OverflowError,
    RecursionError,
)


class FrameKind(enum.IntEnum):
    """Type of a frame."""

    PING = 0
    MESSAGE = 1
    REQUEST = 2
    ANSWER = 3
    ERROR = 4
    BUSY = 5
    """The peer is overloaded and did not handle the request."""


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One decoded frame."""

    kind: FrameKind
    request_id: int = 0
    name: str = ""
    body: dict | list | None = None


PING = cbor2.dumps([int(FrameKind.PING)])


def encode_message(
    kind: FrameKind, message: Message, request_id: int = 0
) -> bytes:
    """Return a message encoded as a frame.

    :raises MessageNotEncodable: a value in it cannot be encoded.
    """
    name = find_message_name(type(message))
    try:
        body = msgspec.to_builtins(message, builtin_types=(bytes,))
        return cbor2.dumps([int(kind), request_id, name, body])
    except (*_CODEC_ERRORS, TypeError) as error:
        raise MessageNotEncodable(
            f"message {name!r} cannot be encoded: {error}",
            "read what the message was made from, and report a bug",
        ) from error


def encode_error(request_id: int, problem: str) -> bytes:
    """Return the frame that reports an error to the requesting peer."""
    return cbor2.dumps([int(FrameKind.ERROR), request_id, problem])


def encode_busy(request_id: int) -> bytes:
    """Return the frame that rejects a request without handling it."""
    return cbor2.dumps([int(FrameKind.BUSY), request_id])


def decode_frame(data: bytes | str) -> Frame:
    """Decode a frame and check its structure.

    :raises ProtocolViolation: the data is not a valid frame.
    """
    if isinstance(data, str):
        raise ProtocolViolation(
            "received a text frame instead of a binary one", _REMEDY
        )
    try:
        return msgspec.convert(cbor2.loads(data), Frame)
    except _CODEC_ERRORS as error:
        raise ProtocolViolation(f"malformed frame: {error}", _REMEDY) from None


def decode_message(frame: Frame) -> Message:
    """Return the message in a frame, with the types of its fields checked.

    :raises ProtocolViolation: unknown name, or fields of wrong types.
    """
    message_type = find_message_type(frame.name)
    if message_type is None:
        raise ProtocolViolation(f"unknown message {frame.name!r}", _REMEDY)
    try:
        return msgspec.convert(
            frame.body, message_type, builtin_types=(bytes,)
        )
    except _CODEC_ERRORS as error:
        raise ProtocolViolation(
            f"message {frame.name!r}: {error}", _REMEDY
        ) from None
