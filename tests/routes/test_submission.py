"""Tests of submitting routes to any control VM and reading them back."""

from datetime import timedelta

import anyio
import msgspec
import pytest

from dotterelbridge.replication.settings import ReplicationSettings
from dotterelbridge.routes.document import create_native_format
from dotterelbridge.routes.errors import RoutesInvalid
from dotterelbridge.routes.errors import RoutesUnknown
from dotterelbridge.routes.submission import create_routes_submitter
from dotterelbridge.routes.table import STATE_MACHINE_NAME
from dotterelbridge.routes.table import RouteTable
from standins.virtual_time import run_in_virtual_time
from tests.replication_support import Group
from tests.routes.support import create_route_set

TIMEOUT = timedelta(seconds=2)


class RoutesGroup(Group):
    """A replication group whose members run the table of routes."""

    def __init__(self, tasks, size, seed=0) -> None:
        super().__init__(tasks, size, seed, ReplicationSettings())
        self.submitters = {}

    def add_state_machines(self, vm, log) -> None:
        table = RouteTable()
        log.add_state_machine(STATE_MACHINE_NAME, table)
        self.submitters[vm] = create_routes_submitter(
            log, table, create_native_format()
        )


def run_with_group(test) -> None:
    async def main():
        async with anyio.create_task_group() as tasks:
            group = RoutesGroup(tasks, 3)
            group.start_all()
            await group.wait_leader()
            await test(group)
            await group.network.close()
            tasks.cancel_scope.cancel()

    run_in_virtual_time(main)


def encode_document(version, **fields) -> bytes:
    return msgspec.json.encode(create_route_set(version, **fields))


def test_submitted_version_is_readable_at_every_vm():
    async def test(group):
        await group.submitters["v1"].submit(encode_document(4), TIMEOUT)
        for submitter in group.submitters.values():
            packed = await submitter.read(TIMEOUT)
            assert packed.unpack() == encode_document(4)

    run_with_group(test)


def test_first_of_two_documents_with_one_version_is_kept():
    async def test(group):
        await group.submitters["v0"].submit(encode_document(4), TIMEOUT)
        rival = encode_document(4, routes=[])
        assert await group.submitters["v2"].submit(rival, TIMEOUT) == 4
        packed = await group.submitters["v1"].read(TIMEOUT)
        assert packed.unpack() == encode_document(4)

    run_with_group(test)


def test_invalid_document_is_rejected_and_not_stored():
    async def test(group):
        await group.submitters["v0"].submit(encode_document(4), TIMEOUT)
        with pytest.raises(RoutesInvalid):
            await group.submitters["v0"].submit(
                encode_document(5)[:-9], TIMEOUT
            )
        packed = await group.submitters["v0"].read(TIMEOUT)
        assert packed.version == 4

    run_with_group(test)


def test_vm_without_majority_rejects_submissions_and_reads():
    async def test(group):
        await group.submitters["v0"].submit(encode_document(4), TIMEOUT)
        leader = group.find_leader()
        group.network.isolate([leader])
        # The isolated leader's lease ends before the others elect another.
        await anyio.sleep(2)
        with pytest.raises(RoutesUnknown):
            await group.submitters[leader].submit(encode_document(5), TIMEOUT)
        with pytest.raises(RoutesUnknown):
            await group.submitters[leader].read(TIMEOUT)

    run_with_group(test)
