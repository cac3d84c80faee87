"""Quarantines traits, and tries and releases them, on the leader."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from datetime import timedelta
import random

import structlog

from dotterelbridge import events
from dotterelbridge.clock import Clock
from dotterelbridge.errors import CommitUnknown
from dotterelbridge.errors import NotCommitted
from dotterelbridge.ids import TraitId
from dotterelbridge.ids import VmId
from dotterelbridge.quarantine.crash_tracker import CrashTracker
from dotterelbridge.quarantine.events import QuarantineEvent
from dotterelbridge.quarantine.messages import CrashEvidence
from dotterelbridge.quarantine.messages import CrashReport
from dotterelbridge.quarantine.quarantine import NO_VM
from dotterelbridge.quarantine.quarantine import STATE_MACHINE_NAME
from dotterelbridge.quarantine.quarantine import ChangeKind
from dotterelbridge.quarantine.quarantine import QuarantinedTrait
from dotterelbridge.quarantine.quarantine import QuarantineTable
from dotterelbridge.quarantine.quarantine import encode_change
from dotterelbridge.quarantine.settings import QuarantineSettings
from dotterelbridge.quarantine.traits import TraitKind
from dotterelbridge.quarantine.traits import get_kind
from dotterelbridge.replication.log import ReplicatedLog

_log = structlog.get_logger(__name__)

_CHECK_INTERVAL = timedelta(milliseconds=100)
_COMMIT_TIMEOUT = timedelta(seconds=1)
_MAX_DOUBLING_COUNT = 8
_MS_PER_S = 1000


class QuarantineKeeper:
    """Decides on the quarantine while this VM leads the log.

    The evidence is in memory. The leader sends copies to the VMs that may lead
    after it, which otherwise would need as many crashes again.
    """

    def __init__(
        self,
        log: ReplicatedLog,
        table: QuarantineTable,
        settings: QuarantineSettings,
        clock: Clock,
        rng: random.Random,
        is_leader: Callable[[], bool],
        list_entry_vms: Callable[[], Sequence[VmId]],
        publish_watched: Callable[[frozenset[TraitId]], None],
        share_evidence: Callable[[CrashEvidence], None],
    ) -> None:
        """Create the keeper of a VM.

        :param publish_watched: tells all VMs of which traits they report
            complete answers.
        :param share_evidence: sends what the leader has recorded to the VMs
            that may lead after it.
        """
        self._share_evidence = share_evidence
        self._log = log
        self._table = table
        self._settings = settings
        self._clock = clock
        self._random = rng
        self._is_leader = is_leader
        self._list_entry_vms = list_entry_vms
        self._publish_watched = publish_watched
        self._tracker = CrashTracker(settings, clock)
        self._quarantined_at: dict[QuarantinedTrait, float] = {}
        """Monotonic times at which entries were first seen by this leader."""
        self._cleared: set[TraitId] = set()
        """Quarantined traits of which a trial succeeded."""

    def record_crash(self, report: CrashReport) -> None:
        """Record one VM's report of a crash, on the leader."""
        self._record_report(report)
        self._publish_watched(self._tracker.list_watched())
        self._share_evidence(CrashEvidence(reports=(report,)))

    def record_answered(self, traits: Iterable[TraitId]) -> None:
        """Record complete answers to requests with traits, on the leader."""
        traits = tuple(traits)
        for trait in traits:
            entry = self._table.find(trait)
            if entry is not None and entry.trial:
                self._cleared.add(trait)
        cleared = self._tracker.select_tracked(traits)
        self._tracker.record_answered(traits)
        if cleared:
            self._share_evidence(CrashEvidence(answered=tuple(cleared)))

    def apply_evidence(self, evidence: CrashEvidence) -> None:
        """Record a copy from the leader."""
        for report in evidence.reports:
            self._record_report(report)
        self._tracker.record_answered(evidence.answered)

    def _record_report(self, report: CrashReport) -> None:
        quarantined = [entry.trait for entry in self._table.snapshot.traits]
        self._tracker.record_crash(
            (report.target, report.born),
            report.attempts or (report.traits,),
            quarantined,
            report.closed_ms_ago / _MS_PER_S,
        )

    async def run(self) -> None:
        """Change the quarantine whenever this VM leads, until cancelled."""
        while True:
            await self._clock.sleep(_CHECK_INTERVAL)
            if self._is_leader():
                await self._release_traits()
                await self._quarantine_suspects()
                await self._start_due_trials()
                self._publish_watched(self._tracker.list_watched())
            else:
                self._explain_quarantined()
                self._quarantined_at.clear()
                self._cleared.clear()

    def _explain_quarantined(self) -> None:
        """Follow the decisions of the leader on the copied evidence."""
        self._tracker.remove_expired()
        for entry in self._table.snapshot.traits:
            self._tracker.record_cause(entry.trait)

    async def _quarantine_suspects(self) -> None:
        for trait in self._tracker.list_suspects():
            targets = self._tracker.list_crashed_targets(trait)
            if await self._change(ChangeKind.ADD, trait):
                self._tracker.record_cause(trait)
                events.log(
                    _log,
                    QuarantineEvent.TRAIT_QUARANTINED,
                    trait=trait,
                    targets=targets,
                )

    async def _release_traits(self) -> None:
        for trait in sorted(self._cleared):
            if await self._change(ChangeKind.RELEASE, trait):
                self._cleared.discard(trait)
                events.log(_log, QuarantineEvent.TRAIT_RELEASED, trait=trait)

    async def _start_due_trials(self) -> None:
        now = self._clock.monotonic()
        entries = self._table.snapshot.traits
        self._quarantined_at = {
            entry: self._quarantined_at.get(entry, now) for entry in entries
        }
        entry_vms = self._list_entry_vms()
        for entry, quarantined_at in self._quarantined_at.copy().items():
            doubling_count = min(entry.trial, _MAX_DOUBLING_COUNT)
            wait_s = self._find_first_wait_s(entry) * 2**doubling_count
            if now - quarantined_at < wait_s or not entry_vms:
                continue
            trial_vm = self._random.choice(entry_vms)
            if await self._change(ChangeKind.TRIAL, entry.trait, trial_vm):
                events.log(
                    _log,
                    QuarantineEvent.TRAIT_TRIAL_STARTED,
                    trait=entry.trait,
                    trial=entry.trial + 1,
                    vm=trial_vm,
                )

    def _find_first_wait_s(self, entry: QuarantinedTrait) -> float:
        if get_kind(entry.trait) is TraitKind.REQUEST:
            return self._settings.quarantine_request_s
        return self._settings.quarantine_s

    async def _change(
        self, kind: ChangeKind, trait: TraitId, trial_vm: VmId = NO_VM
    ) -> bool:
        """Commit a change; return whether it is certainly committed."""
        try:
            await self._log.propose(
                STATE_MACHINE_NAME,
                encode_change(kind, trait, trial_vm),
                _COMMIT_TIMEOUT,
            )
        except (NotCommitted, CommitUnknown) as error:
            events.log(
                _log,
                QuarantineEvent.QUARANTINE_NOT_CHANGED,
                trait=trait,
                change=kind.value,
                error=str(error),
            )
            return False
        return True
