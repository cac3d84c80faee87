"""The replicated log without faults and after a leader crash."""

from standins.virtual_time import run_in_virtual_time
from tests.replication_support import run_group


def test_command_is_committed_from_every_vm():
    async def scenario():
        async with run_group(3) as group:
            group.start_client()
            for number, vm in enumerate([*group.vms, "client"], start=1):
                result = await group.propose(vm, vm.encode())
                assert result == str(number).encode()
            commands = await group.wait_until_equal()
            assert commands == [b"v0", b"v1", b"v2", b"client"]

    run_in_virtual_time(scenario)


def test_new_leader_is_elected_after_a_crash():
    async def scenario():
        async with run_group(3) as group:
            first = await group.wait_leader()
            await group.propose(first, b"before")
            group.kill(first)
            second = await group.wait_leader()
            assert second != first
            await group.propose(second, b"after")
            group.start(first)
            assert await group.wait_until_equal() == [b"before", b"after"]

    run_in_virtual_time(scenario)
