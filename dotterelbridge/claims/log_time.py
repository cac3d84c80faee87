"""Time as the commands of the log tell it; it only moves forward."""

from dotterelbridge.ids import VmId


class LogTime:
    """The time that a quorum of VMs' clocks has reached.

    A single VM whose clock is ahead cannot make keys expire.
    """

    def __init__(
        self, now_ms: int = 0, reports: dict[VmId, int] | None = None
    ) -> None:
        self._now_ms = now_ms
        self._reports = dict(reports or {})

    @property
    def now_ms(self) -> int:
        """Unix milliseconds; 0 before a quorum reported."""
        return self._now_ms

    @property
    def reports(self) -> dict[VmId, int]:
        """The latest time that each VM reported."""
        return dict(self._reports)

    def report(self, vm: VmId, now_ms: int, quorum: int) -> None:
        """Take one VM's time."""
        self._reports[vm] = max(now_ms, self._reports.get(vm, 0))
        if len(self._reports) < quorum:
            return
        latest = sorted(self._reports.values(), reverse=True)
        self._now_ms = max(self._now_ms, latest[quorum - 1])
