"""Links between daemons over websockets.

A VM dials only the peers it was told to; the others reach it. One link is
kept for a pair: when both ends dialled, the one dialled by the lower name
stays and the dialling end of the other closes it.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Sequence
from datetime import timedelta
import random as random_module
from typing import Any

import anyio
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
from dotterelbridge.peers.errors import RequestNotSent
from dotterelbridge.peers.events import PeerEvent
from dotterelbridge.peers.frames import FrameKind
from dotterelbridge.peers.handshake import Identity
from dotterelbridge.peers.link import Link
from dotterelbridge.peers.link import compute_backoff
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.network import Handler
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.peers.settings import PeersSettings
from dotterelbridge.peers.traffic import Traffic

_log = structlog.get_logger(__name__)

_BYTES_PER_MB = 1024 * 1024
_REFUSED_CODE = 1008
_CLOSE_LIMIT_S = 1
_FLUSH_POLL = timedelta(milliseconds=5)


class WebsocketNetwork(PeerNetwork, Dumpable):
    """The links of one VM."""

    def __init__(
        self,
        settings: PeersSettings,
        own: VmInfo,
        vms: Sequence[VmInfo],
        clock: Clock,
        secret: bytes,
        dial: Collection[VmId],
        random: random_module.Random,
        accept_unknown: bool = False,
    ) -> None:
        self._settings = settings
        self._accept_unknown = accept_unknown
        self._dialling: dict[VmId, anyio.CancelScope] = {}
        self._dial_changed = anyio.Event()
        self._own = own
        self._vms = {info.vm: info for info in vms if info.vm != own.vm}
        self._clock = clock
        self._secret = secret
        self._dial = sorted(set(dial) & set(self._vms))
        self._random = random
        self._identity = Identity(
            vm=own.vm,
            incarnation=handshake.create_incarnation(),
            failure_domain=own.failure_domain,
            region=own.region,
        )
        self._handlers: dict[type[Message], Handler] = {}
        self._links: dict[VmId, list[Link]] = {}
        self._traffic = {
            vm: Traffic(own, info) for vm, info in self._vms.items()
        }
        self.listening = anyio.Event()

    @property
    def own_id(self) -> VmId:
        return self._own.vm

    def list_peers(self) -> list[VmId]:
        return sorted(self._vms)

    def set_dialled_peers(self, peers: Iterable[VmInfo]) -> None:
        """Keep links to these peers, and give up dialling any other.

        Links that a peer dialled stay. Used where VMs find each other by
        seeds, so that the set of peers changes.
        """
        wanted = {info.vm: info for info in peers if info.vm != self._own.vm}
        for info in wanted.values():
            self._introduce(info)
        if sorted(wanted) == self._dial:
            return
        self._dial = sorted(wanted)
        self._dial_changed.set()

    def _introduce(self, info: VmInfo) -> None:
        self._vms[info.vm] = info
        if info.vm not in self._traffic:
            self._traffic[info.vm] = Traffic(self._own, info)

    def is_connected(self, peer: VmId) -> bool:
        return bool(self._links.get(peer))

    def get_peer_identity(self, peer: VmId) -> Identity | None:
        """Return what a linked peer said of itself; None without a link."""
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
        return link.queue(frames.encode_message(FrameKind.MESSAGE, message))

    async def request(
        self, peer: VmId, message: Message, timeout: timedelta
    ) -> Message:
        link = self._find_link(peer)
        if link is None:
            raise RequestNotSent(
                f"no link to {peer!r} is up",
                "check that the peer runs and the network carries",
            )
        return await link.request(message, timeout)

    async def run(self) -> None:
        """Listen and dial until cancelled."""
        server = await serve(
            self._accept,
            self._own.host,
            self._own.port,
            compression=None,
            ping_interval=None,
            max_size=self._settings.message_limit_mb * _BYTES_PER_MB,
        )
        self.listening.set()
        try:
            async with anyio.create_task_group() as group:
                await self._keep_links(group)
        finally:
            self._close_all()
            server.close()
            with anyio.move_on_after(_CLOSE_LIMIT_S, shield=True):
                await server.wait_closed()

    async def wait_until_idle(self, timeout: timedelta) -> None:
        """Wait until all requests of peers are answered, or the timeout.

        For the end of a graceful shutdown, when no new ones are expected.
        """
        with anyio.move_on_after(timeout.total_seconds()):
            while any(link.is_busy for link in self._list_links()):
                await self._clock.sleep(_FLUSH_POLL)

    def dump(self) -> dict[str, Any]:
        return {
            "incarnation": self._identity.incarnation,
            "dials": list(self._dial),
            "links": {
                vm: [link.describe() for link in links]
                for vm, links in self._links.items()
                if links
            },
            "traffic": {
                vm: {
                    "distance": traffic.distance.value,
                    "sent_bytes": traffic.sent,
                    "received_bytes": traffic.received,
                }
                for vm, traffic in self._traffic.items()
            },
        }

    def _find_link(self, peer: VmId) -> Link | None:
        links = self._links.get(peer)
        return links[-1] if links else None

    async def _keep_links(self, group) -> None:
        """Run one task for each peer that is to be dialled."""
        while True:
            self._dial_changed = anyio.Event()
            for peer in set(self._dialling) - set(self._dial):
                self._dialling.pop(peer).cancel()
            for peer in self._dial:
                if peer not in self._dialling:
                    scope = self._dialling[peer] = anyio.CancelScope()
                    group.start_soon(self._keep_link, peer, scope)
            await self._dial_changed.wait()

    async def _keep_link(self, peer: VmId, scope: anyio.CancelScope) -> None:
        with scope:
            await self._dial_again_and_again(peer)

    async def _dial_again_and_again(self, peer: VmId) -> None:
        failures = 0
        while True:
            if self.is_connected(peer):
                await self._links[peer][-1].closed.wait()
                continue
            if await self._dial_once(peer):
                failures = 0
            else:
                failures += 1
            fraction = self._random.random()
            await self._clock.sleep(
                compute_backoff(failures, self._settings, fraction)
            )

    async def _dial_once(self, peer: VmId) -> bool:
        """Open a link and carry it to its end; False if it never was up."""
        info = self._vms[peer]
        limit_s = self._settings.handshake_timeout_ms / 1000
        link = None
        try:
            with anyio.fail_after(limit_s):
                connection = await connect(
                    f"ws://{info.host}:{info.port}",
                    compression=None,
                    ping_interval=None,
                    open_timeout=limit_s,
                    proxy=None,
                    max_size=self._settings.message_limit_mb * _BYTES_PER_MB,
                )
                try:
                    identity = await handshake.dial_handshake(
                        connection, self._identity, peer, self._secret
                    )
                except BaseException:
                    connection.transport.abort()
                    raise
            link = self._create_link(connection, identity, self._own.vm)
        except PeerError as error:
            self._log_refusal(peer, error)
        except (OSError, TimeoutError, WebSocketException) as error:
            events.log(
                _log, PeerEvent.DIAL_FAILED, peer=peer, error=repr(error)
            )
        if link is None:
            return False
        await self._carry(link)
        return True

    async def _accept(self, connection) -> None:
        """Serve one incoming connection; called by the listener."""
        limit_s = self._settings.handshake_timeout_ms / 1000
        address = connection.remote_address
        try:
            with anyio.fail_after(limit_s):
                identity = await handshake.accept_handshake(
                    connection,
                    self._identity,
                    None if self._accept_unknown else set(self._vms),
                    self._secret,
                )
        except PeerError as error:
            self._log_refusal(str(address), error)
            await connection.close(_REFUSED_CODE, "refused")
            return
        except (ConnectionClosed, TimeoutError) as error:
            self._log_refusal(str(address), error)
            connection.transport.abort()
            return
        if identity.vm not in self._vms:
            self._introduce(_describe_stranger(identity, address))
        await self._carry(self._create_link(connection, identity, identity.vm))

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

    async def _carry(self, link: Link) -> None:
        peer = link.identity.vm
        links = self._links.setdefault(peer, [])
        if self._is_surplus(link, links):
            link.abort()
            return
        self._retire_links(link, links)
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

    def _retire_links(self, new: Link, links: list[Link]) -> None:
        """Close the links that the new one takes the place of.

        A link of an earlier process is dead. One that the same end dialled
        was given up by it. Of two that both ends dialled, the dialling end
        alone closes its own, and only when the peer's name is lower;
        otherwise both ends could close a different one.
        """
        lower = min(self._own.vm, new.identity.vm)
        for old in list(links):
            restarted = old.identity.incarnation != new.identity.incarnation
            if restarted:
                events.log(
                    _log, PeerEvent.PEER_RESTARTED, peer=new.identity.vm
                )
            own_surplus = (
                old.dialled_by == self._own.vm and new.dialled_by == lower
            )
            if restarted or old.dialled_by == new.dialled_by or own_surplus:
                links.remove(old)
                old.abort()

    def _is_surplus(self, new: Link, links: list[Link]) -> bool:
        """Whether the peer's own link came up while this VM dialled."""
        peer = new.identity.vm
        return new.dialled_by == self._own.vm > peer and any(
            old.dialled_by == peer
            and old.identity.incarnation == new.identity.incarnation
            for old in links
        )

    def _close_all(self) -> None:
        for link in self._list_links():
            link.close()

    def _list_links(self) -> list[Link]:
        return [link for links in self._links.values() for link in links]

    def _log_refusal(self, peer: str, error: Exception) -> None:
        events.log(
            _log,
            PeerEvent.AUTHENTICATION_REFUSED,
            peer=peer,
            error=str(error) or repr(error),
        )


def _describe_stranger(identity: Identity, address) -> VmInfo:
    """Return what a VM that found this one by seeds said of itself."""
    return VmInfo(
        vm=identity.vm,
        business=Business(""),
        failure_domain=identity.failure_domain,
        region=identity.region,
        host=address[0],
        port=0,
    )


def choose_peers_to_dial(
    own: VmInfo, vms: Sequence[VmInfo], voters: Collection[VmId]
) -> set[VmId]:
    """Return the own failure domain, all voters and the counterparts."""
    neighbours = {
        info.vm for info in vms if info.failure_domain == own.failure_domain
    }
    counterparts = choose_counterparts(own, vms)
    return (neighbours | counterparts | set(voters)) - {own.vm}


def choose_counterparts(own: VmInfo, vms: Sequence[VmInfo]) -> set[VmId]:
    """Return one VM of each other domain, spread over its VMs.

    Without them two domains that have no voter would have no link.
    """
    domains: dict[str, list[VmId]] = {}
    for info in sorted(vms, key=lambda info: info.vm):
        domains.setdefault(info.failure_domain, []).append(info.vm)
    rank = domains[own.failure_domain].index(own.vm)
    return {
        names[rank % len(names)]
        for domain, names in domains.items()
        if domain != own.failure_domain
    }


def create_peer_network(
    settings: PeersSettings,
    own: VmInfo,
    vms: Sequence[VmInfo],
    clock: Clock,
    secret: bytes,
    dial: Collection[VmId] | None = None,
    random: random_module.Random | None = None,
    accept_unknown: bool = False,
) -> WebsocketNetwork:
    """Return the links of a VM.

    :param secret: shared by all VMs of the deployment; an empty one is
        refused with a PeerError.
    :param dial: the peers that this VM connects to by itself; without it
        those of its own failure domain.
    :param accept_unknown: whether VMs that are not listed may connect,
        if they know the secret.
    """
    if not secret:
        raise PeerError(
            "the shared secret of the VMs is empty",
            "put the same random secret into the file on all VMs",
        )
    if dial is None:
        dial = choose_peers_to_dial(own, vms, ())
    return WebsocketNetwork(
        settings,
        own,
        vms,
        clock,
        secret,
        dial,
        random or random_module.Random(),
        accept_unknown,
    )
