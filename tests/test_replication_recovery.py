"""Forming a new group from one data folder after losing a majority."""

import anyio
import pytest

from dotterelbridge.errors import StorageError
from dotterelbridge.replication.file_storage import create_file_storage
from dotterelbridge.replication.recovery import form_single_voter_group
from standins.virtual_time import run_in_virtual_time
from tests.replication_support import run_group


class _InlineFileStorage:
    """File storage without a worker thread.

    Virtual time cannot wait for a thread.
    """

    def __new__(cls, folder):
        storage = create_file_storage(folder)
        storage.blocking = False
        return storage


def test_one_data_folder_forms_a_new_group(tmp_path):
    async def scenario():
        async with run_group(3) as group:
            for vm in group.vms:
                group.wipe(vm)
                group.storages[vm] = _InlineFileStorage(tmp_path / vm)
                group.start(vm)
            leader = await group.wait_leader()
            await group.propose(leader, b"kept")
            await group.wait_until_equal()
            for vm in group.vms:
                group.kill(vm)
            await anyio.sleep(1)
            form_single_voter_group(tmp_path / "v1", "v1")
            group.storages["v1"] = _InlineFileStorage(tmp_path / "v1")
            group.start("v1")
            assert await group.wait_leader() == "v1"
            assert group.nodes["v1"].machine.commands == [b"kept"]
            await group.propose("v1", b"alone")
            group.storages["v0"] = _InlineFileStorage(tmp_path / "v0")
            group.start("v0")
            await anyio.sleep(60)
            assert group.nodes["v0"].machine.commands == []
            for vm in ("v0", "v2"):
                group.wipe(vm)
                group.start(vm)
            log = group.nodes["v1"].log
            await group.wait_until(
                lambda: len(log.configuration.list_voters()) == 3
            )
            assert await group.wait_until_equal() == [b"kept", b"alone"]

    run_in_virtual_time(scenario)


def test_empty_folder_forms_no_group(tmp_path):
    with pytest.raises(StorageError, match="holds no log"):
        form_single_voter_group(tmp_path / "empty", "v1")
