"""The sheet on one VM: submissions, the one in force, its spread."""

from collections import deque
from collections.abc import Callable
from collections.abc import Sequence
from datetime import timedelta
from pathlib import Path
from typing import Any

import anyio

from dotterelbridge.clock import Clock
from dotterelbridge.dump import Dumpable
from dotterelbridge.errors import StorageError
from dotterelbridge.ids import SheetNumber
from dotterelbridge.ids import VmId
from dotterelbridge.membership.view import VmInfo
from dotterelbridge.peers.network import PeerNetwork
from dotterelbridge.replication.log import ReplicatedLog
from dotterelbridge.sheet.active_sheet import ActiveSheet
from dotterelbridge.sheet.cells import KnownNames
from dotterelbridge.sheet.delta import SheetDelta
from dotterelbridge.sheet.feed import UNKNOWN_CONTACT_MS
from dotterelbridge.sheet.feed import LogContact
from dotterelbridge.sheet.feed import SheetFeed
from dotterelbridge.sheet.follower import SheetFollower
from dotterelbridge.sheet.messages import SheetPoll
from dotterelbridge.sheet.messages import SheetStatusRequest
from dotterelbridge.sheet.messages import SheetSubmission
from dotterelbridge.sheet.messages import VmSheetStatus
from dotterelbridge.sheet.rows import EMPTY_SHEET
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.sheet.settings import SheetSettings
from dotterelbridge.sheet.source import SheetSource
from dotterelbridge.sheet.state_machine import Sheet
from dotterelbridge.sheet.state_machine import SubmitOutcome
from dotterelbridge.sheet.status import SheetStatusReader
from dotterelbridge.sheet.storage import SheetStorage
from dotterelbridge.sheet.storage import create_sheet_storage
from dotterelbridge.sheet.submission import MACHINE_NAME
from dotterelbridge.sheet.submission import SheetSubmitter
from dotterelbridge.sheet.topology import rank_sources

SAVE_RETRY_PAUSE = timedelta(seconds=1)


class SheetStore(SheetSource, Dumpable):
    """Everything that one VM does about the sheet."""

    def __init__(
        self,
        log: ReplicatedLog | None,
        network: PeerNetwork,
        settings: SheetSettings,
        clock: Clock,
        known: KnownNames,
        vms: Sequence[VmInfo],
        log_holders: Sequence[VmId],
        storage: SheetStorage,
    ) -> None:
        own = network.own_id
        self._replicated = log
        self._holds_log = log is not None and own in log_holders
        self._clock = clock
        self._force = ActiveSheet(storage, settings.delta_history)
        self._contact = LogContact(clock)
        self._sources = rank_sources(own, vms, log_holders, settings.fan_out)
        self._follower = SheetFollower(
            network,
            self._sources,
            self._force,
            self._contact,
            settings,
            clock,
        )
        self._feed = SheetFeed(
            self._force,
            settings,
            clock,
            self._detached_ms,
            self._follower.note_ahead,
        )
        self._submitter = SheetSubmitter(
            log, network, log_holders, self._force, known, settings, clock
        )
        self._status = SheetStatusReader(
            network,
            vms,
            log_holders,
            self._force,
            self._detached_ms,
            settings,
        )
        self._accepted: deque[tuple[SheetRevision, SheetDelta | None]] = (
            deque()
        )
        self._accepted_known = anyio.Event()
        self._register_machine(log)
        self._register_handlers(network)

    def get_active_sheet(self) -> SheetRevision:
        return self._force.get_active_sheet()

    def is_synced(self) -> bool:
        """Return whether this VM holds a sheet, or knows of none yet.

        A VM that starts without stored state knows neither before it has
        had contact to the log.
        """
        held = self._force.get_active_sheet().revision > EMPTY_SHEET.revision
        return held or self._detached_ms() < UNKNOWN_CONTACT_MS

    def subscribe(self, callback: Callable[[SheetRevision], None]) -> None:
        self._force.subscribe(callback)

    async def submit(
        self,
        number: SheetNumber,
        content: bytes,
        timeout: timedelta | None = None,
    ) -> SubmitOutcome:
        """Submit a CSV; see SheetSubmitter for the errors."""
        return await self._submitter.submit(number, content, timeout)

    async def status(self) -> list[VmSheetStatus]:
        """Return the revision in force on every VM."""
        return await self._status.read()

    async def run(self) -> None:
        """Keep the sheet in force up to date until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follower.run_ahead)
            if self._holds_log:
                group.start_soon(self._take_accepted)
            else:
                group.start_soon(self._follower.run)

    def dump(self) -> dict[str, Any]:
        sheet = self._force.get_active_sheet()
        return {
            "revision": sheet.revision,
            "number": sheet.number,
            "digest": sheet.digest,
            "rows": len(sheet.rows),
            "holds_log": self._holds_log,
            "detached_ms": self._detached_ms(),
            "source": self._follower.source,
            "sources": list(self._sources.regular),
            "position": self._sources.position,
            "subscribers": self._feed.list_subscribers(),
            "kept_deltas": self._force.kept_deltas,
        }

    def _register_machine(self, log: ReplicatedLog | None) -> None:
        if log is None:
            return
        machine = Sheet()
        machine.on_accept(self._note_accepted)
        log.add_state_machine(MACHINE_NAME, machine)

    def _register_handlers(self, network: PeerNetwork) -> None:
        network.register_handler(SheetPoll, self._feed.answer_poll)
        network.register_handler(
            SheetSubmission, self._submitter.answer_submission
        )
        network.register_handler(SheetStatusRequest, self._status.answer)

    def _note_accepted(
        self, sheet: SheetRevision, delta: SheetDelta | None
    ) -> None:
        self._accepted.append((sheet, delta))
        self._accepted_known.set()

    async def _take_accepted(self) -> None:
        while True:
            await self._accepted_known.wait()
            self._accepted_known = anyio.Event()
            batch = list(self._accepted)
            try:
                await self._force.take_accepted(batch)
            except StorageError:
                await self._clock.sleep(SAVE_RETRY_PAUSE)
                self._accepted_known.set()
                continue
            for _ in batch:
                self._accepted.popleft()

    def _detached_ms(self) -> int:
        if self._holds_log and self._replicated.get_leader() is not None:
            self._contact.record_contact(0)
        if not self._holds_log and self._follower.source is None:
            # VMs fed by this one look elsewhere at once.
            return UNKNOWN_CONTACT_MS
        return self._contact.detached_ms()


def create_sheet_store(
    log: ReplicatedLog | None,
    network: PeerNetwork,
    settings: SheetSettings,
    clock: Clock,
    known: KnownNames,
    vms: Sequence[VmInfo],
    log_holders: Sequence[VmId],
    data_folder: Path | None = None,
) -> SheetStore:
    """Return the sheet's part of the daemon.

    :param log: the replicated log; None where submissions are forwarded.
    :param vms: all VMs of the deployment, this one included.
    :param log_holders: the VMs whose log applies the sheet's machine.
    :param data_folder: where the sheet in force is kept, if anywhere.
    """
    storage = create_sheet_storage(data_folder)
    return SheetStore(
        log, network, settings, clock, known, vms, log_holders, storage
    )
