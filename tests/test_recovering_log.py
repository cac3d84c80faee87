"""The log of a VM is opened again after a failure of its member."""

import anyio
import pytest

from dotterelbridge.errors import StorageError
from dotterelbridge.replication.recovering_log import create_recovering_log
from standins.virtual_time import LoopClock
from standins.virtual_time import run_in_virtual_time


class FakeMember:
    """A member of the log whose run fails, or lasts until cancelled."""

    def __init__(self, error: Exception | None) -> None:
        self._error = error
        self.is_running = False

    def add_state_machine(self, name, machine) -> None:
        pass

    async def wait_for_failure(self) -> None:
        await anyio.sleep_forever()

    async def run(self) -> None:
        if self._error is not None:
            async with anyio.create_task_group() as group:
                group.start_soon(self._fail)
        self.is_running = True
        await anyio.sleep_forever()

    async def _fail(self) -> None:
        raise self._error


@pytest.mark.parametrize(
    "error",
    [StorageError("the disk is full", "free space"), OSError(28, "full")],
)
def test_failed_write_in_a_task_group_reopens_the_log(error):
    # Guards against a control process that ends on a full disk: the error
    # of a ballot's write arrives as a group, which ``except`` does not match.
    members = [FakeMember(error), FakeMember(None)]

    async def check():
        remaining = list(members)
        log = create_recovering_log(lambda: remaining.pop(0), LoopClock())
        async with anyio.create_task_group() as group:
            group.start_soon(log.run)
            await anyio.sleep(5)
            group.cancel_scope.cancel()

    run_in_virtual_time(check)
    assert members[1].is_running
