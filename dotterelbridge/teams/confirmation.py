"""How old the keys are that a control VM knows."""

from dotterelbridge.clock import Clock
from dotterelbridge.replication.member import LogMember
from dotterelbridge.replication.recovering_log import RecoveringLog
from dotterelbridge.teams.permission import KeyPermission


class KeyConfirmation:
    """Tells followers how old this VM's keys are."""

    def __init__(
        self,
        log: LogMember | RecoveringLog,
        permission: KeyPermission,
        clock: Clock,
    ) -> None:
        self._log = log
        self._permission = permission
        self._clock = clock

    def read_age_ms(self) -> int:
        """Return the time since this VM's keys were known to be current.

        They are on the leader while it holds its lease, unless it has just
        been elected and has not yet applied what was committed before. The
        time is read before the lease is checked, as the process may be
        paused between the two.
        """
        now = self._clock.monotonic()
        if self._log.has_leader_lease() and self._log.has_applied_all():
            self._permission.record(now, 0)
            return 0
        return self._permission.age_ms()
