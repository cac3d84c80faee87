"""Mutual authentication of the two ends of a link.

Each end proves that it knows the shared secret by an HMAC over both ends'
names, incarnations and fresh challenges, with its own role in front, so
that neither a recorded nor a reflected proof is accepted. The secret
itself never travels. Frames after the handshake are neither encrypted nor
signed: use the links on a private network.
"""

import hashlib
import hmac
import secrets

import cbor2
import msgspec

from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import Region
from dotterelbridge.ids import VmId
from dotterelbridge.peers.errors import AuthenticationFailed
from dotterelbridge.peers.errors import ProtocolViolation

PROTOCOL_VERSION = 1
CHALLENGE_BYTES = 32
_CLIENT = b"client"
_SERVER = b"server"


class Hello(msgspec.Struct, frozen=True, array_like=True):
    """First frame of the dialling end."""

    version: int
    vm: VmId
    incarnation: str
    wanted: VmId
    """The VM that the dialling end means to reach."""
    challenge: bytes
    failure_domain: FailureDomain = FailureDomain("")
    region: Region = Region("")


class ServerProof(msgspec.Struct, frozen=True, array_like=True):
    """Answer of the accepting end."""

    vm: VmId
    incarnation: str
    challenge: bytes
    proof: bytes
    failure_domain: FailureDomain = FailureDomain("")
    region: Region = Region("")


class ClientProof(msgspec.Struct, frozen=True, array_like=True):
    """Last frame of the dialling end."""

    proof: bytes


class Welcome(msgspec.Struct, frozen=True, array_like=True):
    """Last frame of the accepting end: the link is up."""

    vm: VmId


class Identity(msgspec.Struct, frozen=True):
    """What an end knows of the other end after the handshake."""

    vm: VmId
    incarnation: str
    failure_domain: FailureDomain = FailureDomain("")
    region: Region = Region("")


def create_incarnation() -> str:
    """Return a new id for one life of this process."""
    return secrets.token_hex(8)


async def dial_handshake(
    connection, own: Identity, wanted: VmId, secret: bytes
) -> Identity:
    """Authenticate as the dialling end.

    :raises AuthenticationFailed: the other end lacks the secret or is not
        the wanted VM.
    """
    hello = Hello(
        version=PROTOCOL_VERSION,
        vm=own.vm,
        incarnation=own.incarnation,
        wanted=wanted,
        challenge=secrets.token_bytes(CHALLENGE_BYTES),
        failure_domain=own.failure_domain,
        region=own.region,
    )
    await _send(connection, hello)
    answer = await _receive(connection, ServerProof)
    _check_proof(answer.proof, _prove(secret, _SERVER, hello, answer))
    if answer.vm != wanted:
        raise AuthenticationFailed(
            f"VM {answer.vm!r} answered at the address of {wanted!r}",
            "correct the VM addresses in the settings",
        )
    proof = _prove(secret, _CLIENT, hello, answer)
    await _send(connection, ClientProof(proof=proof))
    await _receive(connection, Welcome)
    return Identity(
        vm=answer.vm,
        incarnation=answer.incarnation,
        failure_domain=answer.failure_domain,
        region=answer.region,
    )


async def accept_handshake(
    connection, own: Identity, known: set[VmId] | None, secret: bytes
) -> Identity:
    """Authenticate as the accepting end.

    :param known: the VMs that may connect; None for all that know the
        secret, where VMs find each other by seeds.
    :raises AuthenticationFailed: the other end lacks the secret, is not
        among the known VMs, or means to reach another VM.
    """
    hello = await _receive(connection, Hello)
    if hello.version != PROTOCOL_VERSION:
        raise ProtocolViolation(
            f"protocol version {hello.version}",
            "run the same release on all VMs",
        )
    answer = ServerProof(
        vm=own.vm,
        incarnation=own.incarnation,
        challenge=secrets.token_bytes(CHALLENGE_BYTES),
        proof=b"",
        failure_domain=own.failure_domain,
        region=own.region,
    )
    proof = _prove(secret, _SERVER, hello, answer)
    answer = msgspec.structs.replace(answer, proof=proof)
    await _send(connection, answer)
    client = await _receive(connection, ClientProof)
    _check_proof(client.proof, _prove(secret, _CLIENT, hello, answer))
    is_known = known is None or hello.vm in known
    if not is_known or hello.wanted != own.vm:
        raise AuthenticationFailed(
            f"VM {hello.vm!r} dialled {hello.wanted!r}; this is {own.vm!r}",
            "list the same VMs and addresses in all settings",
        )
    await _send(connection, Welcome(vm=own.vm))
    return Identity(
        vm=hello.vm,
        incarnation=hello.incarnation,
        failure_domain=hello.failure_domain,
        region=hello.region,
    )


def _prove(
    secret: bytes, role: bytes, hello: Hello, answer: ServerProof
) -> bytes:
    transcript = cbor2.dumps(
        [
            role,
            hello.version,
            hello.vm,
            hello.incarnation,
            hello.wanted,
            hello.challenge,
            hello.failure_domain,
            hello.region,
            answer.vm,
            answer.incarnation,
            answer.challenge,
            answer.failure_domain,
            answer.region,
        ]
    )
    return hmac.new(secret, transcript, hashlib.sha256).digest()


def _check_proof(found: bytes, expected: bytes) -> None:
    if not hmac.compare_digest(found, expected):
        raise AuthenticationFailed(
            "wrong proof of the shared secret",
            "put the same secret file on all VMs",
        )


async def _send(connection, frame: msgspec.Struct) -> None:
    await connection.send(
        cbor2.dumps(msgspec.to_builtins(frame, builtin_types=(bytes,)))
    )


async def _receive(connection, frame_type: type):
    data = await connection.recv(decode=False)
    try:
        return msgspec.convert(
            cbor2.loads(data), frame_type, builtin_types=(bytes,)
        )
    except (cbor2.CBORError, msgspec.ValidationError, ValueError) as error:
        raise ProtocolViolation(
            f"malformed handshake: {error}", "run the same release on all VMs"
        ) from None
