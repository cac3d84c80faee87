"""The sheet component of a VM: submission, active sheet, distribution."""

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
from dotterelbridge.sheet.feed import NO_CONTACT_MS
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
from dotterelbridge.sheet.state_machine import SheetStateMachine
from dotterelbridge.sheet.state_machine import SubmitOutcome
from dotterelbridge.sheet.status import SheetStatusReader
from dotterelbridge.sheet.storage import SheetStorage
from dotterelbridge.sheet.storage import create_sheet_storage
from dotterelbridge.sheet.submission import STATE_MACHINE_NAME
from dotterelbridge.sheet.submission import SheetSubmitter
from dotterelbridge.sheet.topology import rank_sources

SAVE_RETRY_DELAY = timedelta(seconds=1)


class SheetStore(SheetSource, Dumpable):
    """Combines submission, activation, polling and status on one VM."""

    def __init__(
        self,
        log: ReplicatedLog | None,
        network: PeerNetwork,
        settings: SheetSettings,
        clock: Clock,
        known_names: KnownNames,
        vms: Sequence[VmInfo],
        control_vms: Sequence[VmId],
        storage: SheetStorage,
    ) -> None:
        own = network.own_id
        self._replicated_log = log
        self._holds_log = log is not None and own in control_vms
        self._clock = clock
        self._active_sheet = ActiveSheet(storage, settings.delta_history)
        self._contact = LogContact(clock)
        self._sources = rank_sources(own, vms, control_vms, settings.fan_out)
        self._follower = SheetFollower(
            network,
            self._sources,
            self._active_sheet,
            self._contact,
            settings,
            clock,
        )
        self._feed = SheetFeed(
            self._active_sheet,
            settings,
            clock,
            self._detached_ms,
            self._follower.add_newer_vm,
        )
        self._submitter = SheetSubmitter(
            log,
            network,
            control_vms,
            self._active_sheet,
            known_names,
            settings,
            clock,
        )
        self._status_reader = SheetStatusReader(
            network,
            vms,
            control_vms,
            self._active_sheet,
            self._detached_ms,
            settings,
        )
        self._accepted: deque[tuple[SheetRevision, SheetDelta | None]] = (
            deque()
        )
        self._accepted_added = anyio.Event()
        self._register_state_machine(log)
        self._register_handlers(network)

    def get_active_sheet(self) -> SheetRevision:
        return self._active_sheet.get_active_sheet()

    def is_synced(self) -> bool:
        """Return whether this VM has a sheet, or knows that there is none.

        A VM that starts without stored state cannot tell before its first
        contact with the log.
        """
        has_sheet = (
            self._active_sheet.get_active_sheet().revision
            > EMPTY_SHEET.revision
        )
        return has_sheet or self._detached_ms() < NO_CONTACT_MS

    def subscribe(self, callback: Callable[[SheetRevision], None]) -> None:
        self._active_sheet.subscribe(callback)

    async def submit(
        self,
        number: SheetNumber,
        content: bytes,
        timeout: timedelta | None = None,
    ) -> SubmitOutcome:
        """Submit a CSV; raises the errors of SheetSubmitter.submit."""
        return await self._submitter.submit(number, content, timeout)

    async def status(self) -> list[VmSheetStatus]:
        """Return the active revision of every VM."""
        return await self._status_reader.read()

    async def run(self) -> None:
        """Keep the active sheet up to date until cancelled."""
        async with anyio.create_task_group() as group:
            group.start_soon(self._follower.poll_newer_vms)
            if self._holds_log:
                group.start_soon(self._activate_accepted)
            else:
                group.start_soon(self._follower.run)

    def dump(self) -> dict[str, Any]:
        sheet = self._active_sheet.get_active_sheet()
        return {
            "revision": sheet.revision,
            "number": sheet.number,
            "digest": sheet.digest,
            "rows": len(sheet.rows),
            "holds_log": self._holds_log,
            "detached_ms": self._detached_ms(),
            "source": self._follower.source,
            "sources": list(self._sources.primary_sources),
            "position": self._sources.position,
            "subscribers": self._feed.list_subscribers(),
            "kept_deltas": self._active_sheet.delta_count,
        }

    def _register_state_machine(self, log: ReplicatedLog | None) -> None:
        if log is None:
            return
        state_machine = SheetStateMachine()
        state_machine.subscribe(self._queue_accepted)
        log.add_state_machine(STATE_MACHINE_NAME, state_machine)

    def _register_handlers(self, network: PeerNetwork) -> None:
        network.register_handler(SheetPoll, self._feed.handle_poll)
        network.register_handler(
            SheetSubmission, self._submitter.handle_submission
        )
        network.register_handler(
            SheetStatusRequest, self._status_reader.handle_status_request
        )

    def _queue_accepted(
        self, sheet: SheetRevision, delta: SheetDelta | None
    ) -> None:
        self._accepted.append((sheet, delta))
        self._accepted_added.set()

    async def _activate_accepted(self) -> None:
        while True:
            await self._accepted_added.wait()
            self._accepted_added = anyio.Event()
            batch = list(self._accepted)
            try:
                await self._active_sheet.activate_accepted(batch)
            except StorageError:
                await self._clock.sleep(SAVE_RETRY_DELAY)
                self._accepted_added.set()
                continue
            for _ in batch:
                self._accepted.popleft()

    def _detached_ms(self) -> int:
        if self._holds_log and self._replicated_log.get_leader() is not None:
            self._contact.record_contact(0)
        if not self._holds_log and self._follower.source is None:
            # Tells the VMs that poll this one to choose another source now.
            return NO_CONTACT_MS
        return self._contact.detached_ms()


def create_sheet_store(
    log: ReplicatedLog | None,
    network: PeerNetwork,
    settings: SheetSettings,
    clock: Clock,
    known_names: KnownNames,
    vms: Sequence[VmInfo],
    control_vms: Sequence[VmId],
    data_folder: Path | None = None,
) -> SheetStore:
    """Create the sheet component of the daemon.

    :param log: the replicated log; None on a VM that forwards submissions.
    :param vms: all VMs of the deployment, this one included.
    :param control_vms: the VMs that hold the log and apply its commands to
        the sheet's state machine.
    :param data_folder: where the active sheet is stored; None without disk.
    """
    storage = create_sheet_storage(data_folder)
    return SheetStore(
        log, network, settings, clock, known_names, vms, control_vms, storage
    )
