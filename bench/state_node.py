"""A process with the log, the sheet and the claims of one VM.

The benches start such processes, stop and kill them, and ask them for
their use of resources. Takes one argument, a JSON object with the fields
of NodeSettings.
"""

from datetime import timedelta
from pathlib import Path
import random
import resource
import sys
import time

import anyio
import msgspec
import structlog

from dotterelbridge.claims.replicated_service import create_claim_service
from dotterelbridge.claims.service import ClaimState
from dotterelbridge.claims.service import RecordedResponse
from dotterelbridge.claims.settings import ClaimsSettings
from dotterelbridge.clock import create_clock
from dotterelbridge.errors import ReplicationError
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import Business
from dotterelbridge.ids import IdempotencyKey
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers.messages import Message
from dotterelbridge.peers.messages import register_message
from dotterelbridge.peers.settings import PeersSettings
from dotterelbridge.peers.websocket_network import choose_peers_to_dial
from dotterelbridge.peers.websocket_network import create_peer_network
from dotterelbridge.replication.factory import create_replicated_log
from dotterelbridge.replication.file_storage import create_file_storage
from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.sheet.cells import KnownNames
from dotterelbridge.sheet.settings import SheetSettings
from dotterelbridge.sheet.store import create_sheet_store

BUSINESS = Business("liffeyside")


class NodeSettings(msgspec.Struct, kw_only=True):
    """What a node is started with."""

    vm: VmId
    vms: list[VmInfo]
    voters: list[VmId]
    folder: str
    secret: bytes
    claims: ClaimsSettings = ClaimsSettings()
    sheet: SheetSettings = SheetSettings()


@register_message("bench.inspect")
class InspectRequest(Message, frozen=True, kw_only=True):
    """Asks a node for its state."""


@register_message("bench.inspected")
class Inspection(Message, frozen=True, kw_only=True):
    """State and use of resources of a node."""

    log: dict
    sheet: dict
    claims: dict
    sent_bytes: int
    received_bytes: int
    cpu_s: float
    resident_kb: int
    snapshot_bytes: int
    in_force_at: dict[str, float]
    """System's monotonic seconds at which each revision came in force."""


@register_message("bench.run_claims")
class RunClaims(Message, frozen=True, kw_only=True):
    """Asks a node to book with keys for a while."""

    workers: int
    rate: float
    """Calls a second of all workers; 0 for as many as they can."""
    duration_s: float
    answer_bytes: int


@register_message("bench.ran_claims")
class ClaimsRan(Message, frozen=True, kw_only=True):
    """What the calls took."""

    begin_s: list[float]
    record_s: list[float]
    failures: int


class Node:
    """The parts of one VM."""

    def __init__(self, settings: NodeSettings) -> None:
        clock = create_clock()
        own = next(i for i in settings.vms if i.vm == settings.vm)
        self.votes = own.vm in settings.voters
        folder = Path(settings.folder) if self.votes else None
        self.network = create_peer_network(
            PeersSettings(),
            own,
            settings.vms,
            clock,
            settings.secret,
            choose_peers_to_dial(own, settings.vms, settings.voters),
        )
        self.log = create_replicated_log(
            ReplicationSettings(),
            self.network,
            create_file_storage(folder / "log") if folder else None,
            clock,
            settings.voters,
            random.Random(),
        )
        self.sheet = create_sheet_store(
            self.log if self.votes else None,
            self.network,
            settings.sheet,
            clock,
            KnownNames(),
            settings.vms,
            settings.voters,
            folder / "sheet" if folder else None,
        )
        self.claims = create_claim_service(
            self.log,
            settings.claims,
            clock,
            own.vm,
            len(settings.vms),
            self.votes,
        )
        self.in_force_at: dict[str, float] = {}
        self.sheet.subscribe(self._note_in_force)
        self.network.register_handler(InspectRequest, self._inspect)
        self.network.register_handler(RunClaims, self._run_claims)
        self._calls = 0

    async def run(self) -> None:
        """Run until killed."""
        async with anyio.create_task_group() as group:
            for part in (self.network, self.log, self.sheet, self.claims):
                group.start_soon(part.run)

    def _note_in_force(self, sheet) -> None:
        self.in_force_at[str(sheet.revision)] = time.monotonic()

    async def _inspect(self, sender, request) -> Inspection:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        traffic = self.network.dump()["traffic"].values()
        log = self.log.dump()
        log.pop("members", None)
        return Inspection(
            log=log,
            sheet=self.sheet.dump(),
            claims=self.claims.dump(),
            sent_bytes=sum(t["sent_bytes"] for t in traffic),
            received_bytes=sum(t["received_bytes"] for t in traffic),
            cpu_s=usage.ru_utime + usage.ru_stime,
            resident_kb=usage.ru_maxrss,
            snapshot_bytes=self.claims.measure_snapshot(),
            in_force_at=self.in_force_at,
        )

    async def _run_claims(self, sender, request: RunClaims) -> ClaimsRan:
        begin_s: list[float] = []
        record_s: list[float] = []
        failures = 0
        ends_at = time.monotonic() + request.duration_s
        pause_s = request.workers / request.rate if request.rate else 0.0
        answer = RecordedResponse(
            status=200, headers=[], body=bytes(request.answer_bytes)
        )

        async def work(number: int) -> None:
            nonlocal failures
            due_at = time.monotonic() + pause_s * number / request.workers
            while time.monotonic() < ends_at:
                await anyio.sleep(max(0.0, due_at - time.monotonic()))
                due_at += pause_s
                try:
                    begun, recorded = await self._call(answer)
                except ReplicationError:
                    failures += 1
                    continue
                begin_s.append(begun)
                record_s.append(recorded)

        async with anyio.create_task_group() as group:
            for number in range(request.workers):
                group.start_soon(work, number)
        return ClaimsRan(begin_s=begin_s, record_s=record_s, failures=failures)

    async def _call(self, answer: RecordedResponse) -> tuple[float, float]:
        self._calls += 1
        key = IdempotencyKey(f"{self.network.own_id}-{self._calls}")
        attempt = AttemptId(key)
        started = time.perf_counter()
        reply = await self.claims.begin(BUSINESS, key, "d", attempt)
        if reply.state is not ClaimState.GRANTED:
            raise RuntimeError(f"{key} is {reply.state}")
        begun = time.perf_counter()
        await self.claims.record(BUSINESS, key, attempt, answer)
        return begun - started, time.perf_counter() - begun


async def run_node(settings: NodeSettings) -> None:
    """Run one node until killed."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(40)
    )
    await Node(settings).run()


TIMEOUT = timedelta(seconds=10)

if __name__ == "__main__":
    anyio.run(run_node, msgspec.json.decode(sys.argv[1], type=NodeSettings))
