"""Links between daemons over WebSocket connections.

A VM dials only its configured peers; the others dial it. Each pair of VMs
keeps one link: when both ends dialled, the link dialled by the VM with the
lower name stays, and the VM that dialled the other link closes it.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
import contextlib
from datetime import timedelta
import random as random_module
from typing import Any

import anyio
from anyio import get_cancelled_exc_class
import structlog
from websockets.asyncio.client import connect
from websockets.asyncio.server import serve
from websockets.exceptions import ConnectionClosed
from websockets.exceptions import WebSocketException

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.errors import PeerError
from dotterelbridge.ids import Business
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers import frames
from dotterelbridge.peers import handshake
from dotterelbridge.peers.dial_history import DialHistory
from dotterelbridge.peers.dial_history import compute_longest_handshake
from dotterelbridge.peers.errors import MessageNotEncodable
from dotterelbridge.peers.errors import RequestNotSent
from dotterelbridge.peers.events import PeerEvent
from dotterelbridge.peers.frames import FrameKind
from dotterelbridge.peers.handshake import Identity
from dotterelbridge.peers.handshake_limit import LimitedClientConnection
from dotterelbridge.peers.handshake_limit import LimitedServerConnection
from dotterelbridge.peers.handshake_monitor import Handshake
from dotterelbridge.peers.handshake_monitor import HandshakeMonitor
from dotterelbridge.peers.handshake_monitor import HandshakeOutcome
from dotterelbridge.peers.handshake_monitor import LinkEnd
from dotterelbridge.peers.link import Link
from dotterelbridge.peers.link import compute_backoff
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.network import Handler
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.peers.settings import PeersSettings
from dotterelbridge.peers.traffic import TrafficCounter
from dotterelbridge.sockets import bind_when_free
from dotterelbridge.sockets import create_listening_socket
from dotterelbridge.sockets import open_socket

_log = structlog.get_logger(__name__)

_BYTES_PER_MIB = 1024 * 1024
_POLICY_VIOLATION_CODE = 1008
_CLOSE_TIMEOUT_S = 1
_IDLE_POLL_INTERVAL = timedelta(milliseconds=5)
_BACKLOG = 1024
"""Connections that wait to be accepted. The kernel drops what asks for more,
and the dialling VM's kernel tries again only after a second: each VM of a
large deployment may dial more than once while this one is suspended."""
_HANDSHAKES_LIMIT = 16
"""Handshakes in progress at once with VMs that this one does not dial. With
all of them in progress, each would take as long as all together."""
_FAILURES_LOGGED = 8
"""Failed dials in a row after which a peer is logged as unreachable. A VM
that restarts fails fewer."""


class WebsocketNetwork(PeerNetwork, Dumpable):
    """All links of one VM."""

    def __init__(
        self,
        settings: PeersSettings,
        own_info: VmInfo,
        vms: Sequence[VmInfo],
        clock: Clock,
        secret: bytes,
        dial: Collection[VmId],
        random: random_module.Random,
        accept_unknown: bool = False,
    ) -> None:
        self._settings = settings
        self._accept_unknown = accept_unknown
        self._dial_scopes: dict[VmId, anyio.CancelScope] = {}
        self._dialled_peers_changed = anyio.Event()
        self._own_info = own_info
        self._vms = {info.vm: info for info in vms if info.vm != own_info.vm}
        self._clock = clock
        self._secret = secret
        self._dialled_peers = sorted(set(dial) & set(self._vms))
        self._random = random
        self._identity = Identity(
            vm=own_info.vm,
            incarnation=handshake.create_incarnation(),
            failure_domain=own_info.failure_domain,
            region=own_info.region,
        )
        self._handlers: dict[type[Message], Handler] = {}
        self._links: dict[VmId, list[Link]] = {}
        self._handshakes = HandshakeMonitor(clock)
        self._handshake_slots = anyio.Semaphore(_HANDSHAKES_LIMIT)
        self._traffic = {
            vm: TrafficCounter(own_info, info)
            for vm, info in self._vms.items()
        }
        self.listening = anyio.Event()

    @property
    def own_id(self) -> VmId:
        return self._own_info.vm

    def list_peers(self) -> list[VmId]:
        return sorted(self._vms)

    def set_dialled_peers(self, peers: Iterable[VmInfo]) -> None:
        """Replace the set of peers that this VM dials.

        Links that a peer dialled stay. For deployments where VMs find each
        other through seeds, so that the set of peers changes.
        """
        wanted = {
            info.vm: info for info in peers if info.vm != self._own_info.vm
        }
        for info in wanted.values():
            self._add_vm(info)
        if sorted(wanted) == self._dialled_peers:
            return
        self._dialled_peers = sorted(wanted)
        self._dialled_peers_changed.set()

    def _add_vm(self, info: VmInfo) -> None:
        self._vms[info.vm] = info
        if info.vm not in self._traffic:
            self._traffic[info.vm] = TrafficCounter(self._own_info, info)

    def is_connected(self, peer: VmId) -> bool:
        return bool(self._links.get(peer))

    def get_peer_identity(self, peer: VmId) -> Identity | None:
        """Return the identity that a peer sent; None without a link."""
        link = self._find_link(peer)
        return None if link is None else link.identity

    def register_handler(
        self, message_type: type[Message], handler: Handler
    ) -> None:
        self._handlers[message_type] = handler

    def send(self, peer: VmId, message: Message) -> bool:
        link = self._find_link(peer)
        if link is None:
            return False
        try:
            frame = frames.encode_message(FrameKind.MESSAGE, message)
        except MessageNotEncodable as error:
            events.log(
                _log,
                PeerEvent.MESSAGE_NOT_SENT,
                peer=peer,
                message=type(message).__name__,
                error=str(error),
            )
            return False
        return link.queue_frame(frame)

    async def request(
        self, peer: VmId, message: Message, timeout: timedelta
    ) -> Message:
        link = self._find_link(peer)
        if link is None:
            raise RequestNotSent(
                f"no link to {peer!r} is up",
                "check that the peer runs and that the network reaches it",
            )
        return await link.request(message, timeout)

    async def run(self) -> None:
        """Accept and dial links until cancelled."""
        own = self._own_info
        listening = await bind_when_free(
            f"{own.host}:{own.port}",
            lambda: create_listening_socket(own.host, own.port),
            self._clock,
        )
        server = await serve(
            self._handle_connection,
            sock=listening,
            backlog=_BACKLOG,
            compression=None,
            ping_interval=None,
            open_timeout=compute_longest_handshake(
                self._settings
            ).total_seconds(),
            create_connection=LimitedServerConnection,
            max_size=self._settings.message_limit_mb * _BYTES_PER_MIB,
        )
        self.listening.set()
        try:
            async with anyio.create_task_group() as group:
                await self._run_dial_tasks(group)
        finally:
            self._close_all()
            server.close()
            with anyio.move_on_after(_CLOSE_TIMEOUT_S, shield=True):
                await server.wait_closed()

    async def wait_until_idle(self, timeout: timedelta) -> None:
        """Wait until all answers and queued frames are sent, or the timeout.

        For the end of a graceful shutdown, when no new requests are
        expected.
        """
        with anyio.move_on_after(timeout.total_seconds()):
            while any(link.is_busy for link in self._list_links()):
                await self._clock.sleep(_IDLE_POLL_INTERVAL)

    def dump(self) -> dict[str, Any]:
        return {
            "incarnation": self._identity.incarnation,
            "dials": list(self._dialled_peers),
            "open_handshakes": self._handshakes.describe(),
            "links": {
                vm: [link.describe() for link in links]
                for vm, links in self._links.items()
                if links
            },
            "traffic": {
                vm: {
                    "distance": traffic.distance.value,
                    "sent_bytes": traffic.sent_bytes,
                    "received_bytes": traffic.received_bytes,
                }
                for vm, traffic in self._traffic.items()
            },
        }

    def _find_link(self, peer: VmId) -> Link | None:
        links = self._links.get(peer)
        return links[-1] if links else None

    async def _run_dial_tasks(self, group) -> None:
        """Run one task for each peer that this VM dials."""
        while True:
            self._dialled_peers_changed = anyio.Event()
            for peer in set(self._dial_scopes) - set(self._dialled_peers):
                self._dial_scopes.pop(peer).cancel()
            for peer in self._dialled_peers:
                if peer not in self._dial_scopes:
                    scope = self._dial_scopes[peer] = anyio.CancelScope()
                    group.start_soon(self._run_dial_task, peer, scope)
            await self._dialled_peers_changed.wait()

    async def _run_dial_task(
        self, peer: VmId, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await self._maintain_link(peer)

    async def _maintain_link(self, peer: VmId) -> None:
        history = DialHistory()
        while True:
            if self.is_connected(peer):
                await self._links[peer][-1].closed.wait()
                continue
            link = await self._try_dial(peer, history)
            if link is not None:
                await self._run_link(link)
            fraction = self._random.random()
            await self._clock.sleep(
                compute_backoff(history.failures, self._settings, fraction)
            )

    async def _try_dial(self, peer: VmId, history: DialHistory) -> Link | None:
        """Return an authenticated link; None if the attempt failed."""
        limit = history.compute_handshake_limit(self._settings)
        with self._handshakes.measure(LinkEnd.DIALLING) as attempt:
            link = None
            try:
                link = await self._dial(peer, attempt, limit)
                attempt.outcome = HandshakeOutcome.AUTHENTICATED
            except PeerError as error:
                attempt.outcome = HandshakeOutcome.REFUSED
                self._log_refusal(peer, error)
            except TimeoutError as error:
                attempt.outcome = HandshakeOutcome.TIMED_OUT
                self._log_failed_dial(peer, error, attempt, history)
            except (
                OSError,
                ValueError,
                EOFError,
                WebSocketException,
            ) as error:
                attempt.outcome = HandshakeOutcome.UNREACHABLE
                self._log_failed_dial(peer, error, attempt, history)
            except get_cancelled_exc_class():
                events.log(
                    _log,
                    PeerEvent.DIAL_STOPPED,
                    peer=peer,
                    duration_ms=attempt.duration_ms,
                )
                raise
        history.record(attempt)
        return link

    async def _dial(
        self, peer: VmId, attempt: Handshake, handshake_limit: timedelta
    ) -> Link:
        """Return an authenticated link.

        :param handshake_limit: time from the open connection on.
        :raises PeerError: the handshake failed.
        :raises TimeoutError: the connection was not open after
            handshake_timeout_ms, or the handshake took too long.
        """
        info = self._vms[peer]
        with anyio.fail_after(self._settings.handshake_timeout_ms / 1000):
            connected = await open_socket(info.host, info.port)
        attempt.is_connected = True
        limit_s = handshake_limit.total_seconds()
        with anyio.fail_after(limit_s):
            connection = await connect(
                f"ws://{info.host}:{info.port}",
                sock=connected,
                compression=None,
                ping_interval=None,
                open_timeout=limit_s,
                create_connection=LimitedClientConnection,
                proxy=None,
                max_size=self._settings.message_limit_mb * _BYTES_PER_MIB,
            )
            try:
                identity = await handshake.run_client_handshake(
                    connection, self._identity, peer, self._secret
                )
                connection.is_authenticated = True
            except BaseException:
                connection.transport.abort()
                raise
        return self._create_link(connection, identity, self._own_info.vm)

    async def _handle_connection(self, connection) -> None:
        """Serve one incoming connection; called by the WebSocket server."""
        waited_s = connection.loop.time() - connection.opened_at
        with self._handshakes.measure(LinkEnd.ACCEPTING, waited_s) as attempt:
            identity = await self._accept(connection, attempt)
        if identity is None:
            return
        if identity.vm not in self._vms:
            self._add_vm(_create_vm_info(identity, connection.remote_address))
        await self._run_link(
            self._create_link(connection, identity, identity.vm)
        )

    def _choose_handshake_slots(self, connection):
        """Return what limits the handshakes that are in progress at once.

        Peers that this VM dials itself do not wait for others: without links
        between them, control VMs elect no leader.
        """
        host = connection.remote_address[0]
        if any(self._vms[vm].host == host for vm in self._dialled_peers):
            return contextlib.nullcontext()
        return self._handshake_slots

    async def _accept(self, connection, attempt: Handshake) -> Identity | None:
        """Return the authenticated peer; None if there is none."""
        limit = compute_longest_handshake(self._settings)
        address = str(connection.remote_address)
        try:
            async with self._choose_handshake_slots(connection):
                with anyio.fail_after(limit.total_seconds()):
                    identity = await handshake.run_server_handshake(
                        connection,
                        self._identity,
                        None if self._accept_unknown else set(self._vms),
                        self._secret,
                    )
                connection.is_authenticated = True
        except PeerError as error:
            attempt.outcome = HandshakeOutcome.REFUSED
            self._log_refusal(address, error)
            await connection.close(_POLICY_VIOLATION_CODE, "refused")
            return None
        except TimeoutError:
            attempt.outcome = HandshakeOutcome.TIMED_OUT
            self._log_ended_handshake(
                PeerEvent.HANDSHAKE_TIMED_OUT, address, attempt
            )
            connection.transport.abort()
            return None
        except ConnectionClosed:
            self._log_ended_handshake(
                PeerEvent.HANDSHAKE_ABANDONED, address, attempt
            )
            connection.transport.abort()
            return None
        attempt.outcome = HandshakeOutcome.AUTHENTICATED
        return identity

    def _create_link(
        self, connection, identity: Identity, dialled_by: VmId
    ) -> Link:
        return Link(
            connection,
            identity,
            dialled_by,
            self._handlers,
            self._settings,
            self._traffic[identity.vm],
            self._clock,
        )

    async def _run_link(self, link: Link) -> None:
        peer = link.identity.vm
        links = self._links.setdefault(peer, [])
        if self._is_duplicate(link, links):
            link.abort()
            return
        self._close_replaced_links(link, links)
        links.append(link)
        events.log(
            _log, PeerEvent.LINK_UP, peer=peer, dialled_by=link.dialled_by
        )
        try:
            await link.run()
        finally:
            if link in links:
                links.remove(link)
            events.log(_log, PeerEvent.LINK_DOWN, peer=peer)

    def _close_replaced_links(self, new: Link, links: list[Link]) -> None:
        """Close the links that the new one replaces.

        A link to an earlier process of the peer is dead. An earlier link
        dialled by the same end as the new one was abandoned by that end.
        When each end dialled one, only the VM with the higher name closes
        the link that it dialled; otherwise each could close a different one.
        """
        lower_vm = min(self._own_info.vm, new.identity.vm)
        for old in list(links):
            is_restarted = old.identity.incarnation != new.identity.incarnation
            if is_restarted:
                events.log(
                    _log, PeerEvent.PEER_RESTARTED, peer=new.identity.vm
                )
            is_own_duplicate = (
                old.dialled_by == self._own_info.vm
                and new.dialled_by == lower_vm
            )
            if (
                is_restarted
                or old.dialled_by == new.dialled_by
                or is_own_duplicate
            ):
                links.remove(old)
                old.abort()

    def _is_duplicate(self, new: Link, links: list[Link]) -> bool:
        """Whether the peer's link came up while this VM dialled and takes
        precedence over the new one.
        """
        peer = new.identity.vm
        return new.dialled_by == self._own_info.vm > peer and any(
            old.dialled_by == peer
            and old.identity.incarnation == new.identity.incarnation
            for old in links
        )

    def _close_all(self) -> None:
        for link in self._list_links():
            link.close()

    def _list_links(self) -> list[Link]:
        return [link for links in self._links.values() for link in links]

    def _log_ended_handshake(
        self, event: PeerEvent, address: str, attempt: Handshake
    ) -> None:
        events.log(
            _log,
            event,
            peer=address,
            duration_ms=attempt.duration_ms,
            open_handshakes=self._handshakes.open_counts[LinkEnd.ACCEPTING],
        )

    def _log_failed_dial(
        self,
        peer: VmId,
        error: Exception,
        attempt: Handshake,
        history: DialHistory,
    ) -> None:
        fields = {
            "peer": peer,
            "reason": attempt.outcome.value,
            "error": repr(error),
            "duration_ms": attempt.duration_ms,
        }
        events.log(_log, PeerEvent.DIAL_FAILED, **fields)
        attempts = history.failures + 1
        is_power_of_two = attempts & (attempts - 1) == 0
        if attempts >= _FAILURES_LOGGED and is_power_of_two:
            events.log(
                _log, PeerEvent.PEER_UNREACHABLE, attempts=attempts, **fields
            )

    def _log_refusal(self, peer: str, error: Exception) -> None:
        events.log(
            _log,
            PeerEvent.AUTHENTICATION_REFUSED,
            peer=peer,
            error=str(error) or repr(error),
        )


def _create_vm_info(identity: Identity, address) -> VmInfo:
    """Return the VmInfo of an unlisted VM that connected through seeds."""
    return VmInfo(
        vm=identity.vm,
        business=Business(""),
        failure_domain=identity.failure_domain,
        region=identity.region,
        host=address[0],
        port=0,
    )


def choose_peers_to_dial(
    own_info: VmInfo, vms: Sequence[VmInfo], voters: Collection[VmId]
) -> set[VmId]:
    """Return the peers of the same failure domain, voters and counterparts."""
    domain_peers = {
        info.vm
        for info in vms
        if info.failure_domain == own_info.failure_domain
    }
    counterparts = choose_counterparts(own_info, vms)
    return (domain_peers | counterparts | set(voters)) - {own_info.vm}


def choose_counterparts(own_info: VmInfo, vms: Sequence[VmInfo]) -> set[VmId]:
    """Return one VM of each other domain, at this VM's index in its own.

    Without them, two domains that have no voter would have no link. The
    index spreads the links over the VMs of the other domain.
    """
    domains: dict[str, list[VmId]] = {}
    for info in sorted(vms, key=lambda info: info.vm):
        domains.setdefault(info.failure_domain, []).append(info.vm)
    rank = domains[own_info.failure_domain].index(own_info.vm)
    return {
        names[rank % len(names)]
        for domain, names in domains.items()
        if domain != own_info.failure_domain
    }


def create_peer_network(
    settings: PeersSettings,
    own_info: VmInfo,
    vms: Sequence[VmInfo],
    clock: Clock,
    secret: bytes,
    dial: Collection[VmId] | None = None,
    random: random_module.Random | None = None,
    accept_unknown: bool = False,
) -> WebsocketNetwork:
    """Return the peer network of a VM.

    :param secret: shared by all VMs of the deployment.
    :param dial: the peers that this VM dials; by default those of its
        failure domain and one VM of each other domain.
    :param accept_unknown: whether VMs that are not listed may connect
        if they know the secret.
    :raises PeerError: the secret is empty.
    """
    if not secret:
        raise PeerError(
            "the shared secret of the VMs is empty",
            "put the same random secret into the file on all VMs",
        )
    if dial is None:
        dial = choose_peers_to_dial(own_info, vms, ())
    return WebsocketNetwork(
        settings,
        own_info,
        vms,
        clock,
        secret,
        dial,
        random or random_module.Random(),
        accept_unknown,
    )
