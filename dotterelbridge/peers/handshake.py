"""Mutual authentication of the two ends of a link.

Each end proves that it knows the shared secret by an HMAC over both ends'
names, incarnations and fresh challenges, prefixed with its own role, which
prevents replay and reflection attacks. The secret itself is never sent.
Frames after the handshake are neither encrypted nor signed: use the links
on a private network.
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
    """First frame of the client (the dialling end)."""

    version: int
    vm: VmId
    incarnation: str
    expected_vm: VmId
    """The VM that the client intends to reach."""
    challenge: bytes
    failure_domain: FailureDomain = FailureDomain("")
    region: Region = Region("")


class ServerProof(msgspec.Struct, frozen=True, array_like=True):
    """Reply of the server (the accepting end)."""

    vm: VmId
    incarnation: str
    challenge: bytes
    proof: bytes
    failure_domain: FailureDomain = FailureDomain("")
    region: Region = Region("")


class ClientProof(msgspec.Struct, frozen=True, array_like=True):
    """Last frame of the client."""

    proof: bytes


class Welcome(msgspec.Struct, frozen=True, array_like=True):
    """Last frame of the server: the link is up."""

    vm: VmId


class Identity(msgspec.Struct, frozen=True):
    """Identity of a VM; after the handshake, the authenticated peer's."""

    vm: VmId
    incarnation: str
    failure_domain: FailureDomain = FailureDomain("")
    region: Region = Region("")


def create_incarnation() -> str:
    """Return a random id for this run of the process."""
    return secrets.token_hex(8)


async def run_client_handshake(
    connection, own_identity: Identity, expected_vm: VmId, secret: bytes
) -> Identity:
    """Authenticate as the client and return the server's identity.

    :raises AuthenticationFailed: the server does not know the secret or is
        not the expected VM.
    """
    hello = Hello(
        version=PROTOCOL_VERSION,
        vm=own_identity.vm,
        incarnation=own_identity.incarnation,
        expected_vm=expected_vm,
        challenge=secrets.token_bytes(CHALLENGE_BYTES),
        failure_domain=own_identity.failure_domain,
        region=own_identity.region,
    )
    await _send(connection, hello)
    server_proof = await _receive(connection, ServerProof)
    _check_proof(
        server_proof.proof,
        _compute_proof(secret, _SERVER, hello, server_proof),
    )
    if server_proof.vm != expected_vm:
        raise AuthenticationFailed(
            f"VM {server_proof.vm!r} answered at the address of "
            f"{expected_vm!r}",
            "correct the VM addresses in the settings",
        )
    proof = _compute_proof(secret, _CLIENT, hello, server_proof)
    await _send(connection, ClientProof(proof=proof))
    await _receive(connection, Welcome)
    return Identity(
        vm=server_proof.vm,
        incarnation=server_proof.incarnation,
        failure_domain=server_proof.failure_domain,
        region=server_proof.region,
    )


async def run_server_handshake(
    connection,
    own_identity: Identity,
    allowed_vms: set[VmId] | None,
    secret: bytes,
) -> Identity:
    """Authenticate as the server and return the client's identity.

    :param allowed_vms: the VMs that may connect; None allows all that know
        the secret, for deployments with discovery through seeds.
    :raises AuthenticationFailed: the client does not know the secret, is
        not allowed, or intends to reach another VM.
    """
    hello = await _receive(connection, Hello)
    if hello.version != PROTOCOL_VERSION:
        raise ProtocolViolation(
            f"unsupported protocol version {hello.version}",
            "run the same release on all VMs",
        )
    server_proof = ServerProof(
        vm=own_identity.vm,
        incarnation=own_identity.incarnation,
        challenge=secrets.token_bytes(CHALLENGE_BYTES),
        proof=b"",
        failure_domain=own_identity.failure_domain,
        region=own_identity.region,
    )
    proof = _compute_proof(secret, _SERVER, hello, server_proof)
    server_proof = msgspec.structs.replace(server_proof, proof=proof)
    await _send(connection, server_proof)
    client = await _receive(connection, ClientProof)
    _check_proof(
        client.proof, _compute_proof(secret, _CLIENT, hello, server_proof)
    )
    is_allowed = allowed_vms is None or hello.vm in allowed_vms
    if not is_allowed or hello.expected_vm != own_identity.vm:
        raise AuthenticationFailed(
            f"VM {hello.vm!r} dialled {hello.expected_vm!r}; "
            f"this is {own_identity.vm!r}",
            "list the same VMs and addresses in all settings",
        )
    await _send(connection, Welcome(vm=own_identity.vm))
    return Identity(
        vm=hello.vm,
        incarnation=hello.incarnation,
        failure_domain=hello.failure_domain,
        region=hello.region,
    )


def _compute_proof(
    secret: bytes, role: bytes, hello: Hello, server_proof: ServerProof
) -> bytes:
    transcript = cbor2.dumps(
        [
            role,
            hello.version,
            hello.vm,
            hello.incarnation,
            hello.expected_vm,
            hello.challenge,
            hello.failure_domain,
            hello.region,
            server_proof.vm,
            server_proof.incarnation,
            server_proof.challenge,
            server_proof.failure_domain,
            server_proof.region,
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
    except (
        cbor2.CBORError,
        msgspec.ValidationError,
        ValueError,
        OverflowError,
        RecursionError,
    ) as error:
        raise ProtocolViolation(
            f"malformed handshake: {error}", "run the same release on all VMs"
        ) from None
