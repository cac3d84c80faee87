"""The frames on a link: a CBOR array of kind, request id, name and body."""

import enum

import cbor2
import msgspec

from dotterelbridge.peers.errors import ProtocolViolation
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import find_message_name
from dotterelbridge.peers.messages import find_message_type

_REMEDY = "run the same release on all VMs"


class FrameKind(enum.IntEnum):
    """What a frame carries."""

    PING = 0
    MESSAGE = 1
    REQUEST = 2
    ANSWER = 3
    ERROR = 4
    BUSY = 5
    """The request was certainly not handled."""


class Frame(msgspec.Struct, frozen=True, array_like=True):
    """One frame as it stands on the wire."""

    kind: FrameKind
    request_id: int = 0
    name: str = ""
    body: dict | list | None = None


PING = cbor2.dumps([int(FrameKind.PING)])


def encode_message(
    kind: FrameKind, message: Message, request_id: int = 0
) -> bytes:
    """Return the frame of a message."""
    name = find_message_name(type(message))
    body = msgspec.to_builtins(message, builtin_types=(bytes,))
    return cbor2.dumps([int(kind), request_id, name, body])


def encode_error(request_id: int, problem: str) -> bytes:
    """Return the frame that tells a requester of an error."""
    return cbor2.dumps([int(FrameKind.ERROR), request_id, problem])


def encode_busy(request_id: int) -> bytes:
    """Return the frame that refuses a request unhandled."""
    return cbor2.dumps([int(FrameKind.BUSY), request_id])


def decode_frame(data: bytes | str) -> Frame:
    """Check a frame's form.

    :raises ProtocolViolation: it is no frame.
    """
    if isinstance(data, str):
        raise ProtocolViolation("a text frame arrived", _REMEDY)
    try:
        return msgspec.convert(cbor2.loads(data), Frame)
    except (cbor2.CBORError, msgspec.ValidationError, ValueError) as error:
        raise ProtocolViolation(f"malformed frame: {error}", _REMEDY) from None


def decode_message(frame: Frame) -> Message:
    """Return the message in a frame, with its types checked.

    :raises ProtocolViolation: unknown name, or fields of wrong types.
    """
    message_type = find_message_type(frame.name)
    if message_type is None:
        raise ProtocolViolation(f"unknown message {frame.name!r}", _REMEDY)
    try:
        return msgspec.convert(
            frame.body, message_type, builtin_types=(bytes,)
        )
    except msgspec.ValidationError as error:
        raise ProtocolViolation(
            f"message {frame.name!r}: {error}", _REMEDY
        ) from None
