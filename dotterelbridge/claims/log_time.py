"""Log time: a clock derived from the times that log commands carry."""

from dotterelbridge.ids import VmId


class LogTime:
    """The latest time that the clocks of a quorum of VMs have reached.

    It never goes back, and a single VM whose clock is ahead cannot move it
    forward, which would make keys expire early.
    """

    def __init__(
        self, now_ms: int = 0, reports: dict[VmId, int] | None = None
    ) -> None:
        self._now_ms = now_ms
        self._reports = dict(reports or {})

    @property
    def now_ms(self) -> int:
        """Unix milliseconds; 0 until a quorum has reported."""
        return self._now_ms

    @property
    def reports(self) -> dict[VmId, int]:
        """The latest time reported by each VM."""
        return dict(self._reports)

    def add_report(self, vm: VmId, now_ms: int, quorum: int) -> None:
        """Add one VM's report and update the log time."""
        self._reports[vm] = max(now_ms, self._reports.get(vm, 0))
        if len(self._reports) < quorum:
            return
        latest = sorted(self._reports.values(), reverse=True)
        self._now_ms = max(self._now_ms, latest[quorum - 1])
