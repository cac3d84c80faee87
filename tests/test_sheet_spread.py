"""Accepted sheets reach every VM in order and are never rolled back."""

import random

import anyio
import pytest

from dotterelbridge.errors import StorageError
from dotterelbridge.ids import Revision
from dotterelbridge.ids import SheetNumber
from dotterelbridge.ids import VmId
from dotterelbridge.sheet.cells import KnownNames
from dotterelbridge.sheet.faults import SheetInvalid
from dotterelbridge.sheet.parser import LINES_PER_CHECKPOINT
from dotterelbridge.sheet.parser import parse_sheet
from dotterelbridge.sheet.parser import parse_sheet_async
from dotterelbridge.sheet.rows import EMPTY_SHEET
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.sheet.settings import SheetSettings
from dotterelbridge.sheet.state_machine import SubmitState
from dotterelbridge.sheet.storage import FILE_NAME
from dotterelbridge.sheet.storage import create_sheet_storage
from dotterelbridge.sheet.submission import STATE_MACHINE_NAME
from dotterelbridge.sheet.submission import SheetNotAccepted
from dotterelbridge.sheet.submission import SheetOutcomeUnknown
from dotterelbridge.sheet.topology import rank_sources
from tests.sheet_cluster import make_csv
from tests.sheet_cluster import make_vms
from tests.sheet_cluster import run_cluster

ACTIVATION_LIMIT_S = 5.0
"""Documented limit for a change to be active on every VM."""
FAN_OUT = SheetSettings().fan_out
DOMAINS = {"dublin": 3, "cork": 3, "galway": 3}
CONTROL_VMS = ["dublin-0", "dublin-1", "cork-0"]


def make_sheet() -> SheetRevision:
    """Return a sheet of revision 3."""
    return SheetRevision(
        revision=Revision(3), number=SheetNumber(30), digest="d"
    )


def test_a_change_is_active_on_all_vms_within_the_limit():
    async def scenario(cluster):
        cluster.start()
        await cluster.wait_for(lambda: cluster.get_source("galway-2"))
        outcome = await cluster.submit("galway-2", 5, make_csv("a", "b"))
        assert outcome.state is SubmitState.ACCEPTED
        assert await cluster.wait_until_active(1) < ACTIVATION_LIMIT_S
        await cluster.submit("cork-0", 6, make_csv("a", "c"))
        assert await cluster.wait_until_active(2) < ACTIVATION_LIMIT_S
        for store in cluster.stores.values():
            names = [row.name for row in store.get_active_sheet().rows]
            assert names == ["a", "c"]
        assert all(
            activated_revisions == [1, 2]
            for activated_revisions in cluster.activated_revisions.values()
        )

    run_cluster(scenario, DOMAINS, CONTROL_VMS)


def test_a_sheet_with_faults_is_refused_by_every_vm():
    async def scenario(cluster):
        cluster.start()
        for name in ("galway-2", "cork-0"):
            with pytest.raises(SheetInvalid, match="row 2, column name"):
                await cluster.submit(name, 5, make_csv("a b"))
        machines = [machine for machine, _ in cluster.log.entries]
        assert STATE_MACHINE_NAME not in machines

    run_cluster(scenario, DOMAINS, CONTROL_VMS)


def test_only_one_vm_of_a_domain_polls_another_domain():
    async def scenario(cluster):
        cluster.start()
        names = [f"galway-{number}" for number in range(12)]
        tree = sorted(names)
        wanted = ["dublin-0"] + [tree[n // FAN_OUT] for n in range(11)]
        await cluster.wait_for(
            lambda: [cluster.get_source(name) for name in tree] == wanted
        )
        await cluster.submit("galway-9", 1, make_csv("a"))
        assert await cluster.wait_until_active(1) < ACTIVATION_LIMIT_S

    run_cluster(scenario, {"galway": 12, "dublin": 2}, ["dublin-0"])


def test_an_unresponsive_source_is_replaced_and_used_again():
    async def scenario(cluster):
        cluster.start()
        await cluster.wait_for(
            lambda: cluster.get_source("galway-2") == "galway-0"
        )
        cluster.network.isolate([VmId("galway-0")])
        await cluster.submit("dublin-0", 1, make_csv("a"))
        others = [v for v in cluster.stores if v != "galway-0"]
        taken = await cluster.wait_until_active(1, *others)
        assert taken < 2.0
        assert cluster.get_source("galway-2") == "galway-1"
        cluster.network.restore_links()
        await cluster.wait_for(
            lambda: cluster.get_source("galway-2") == "galway-0"
        )
        assert cluster.get_revision("galway-0") == 1

    run_cluster(scenario, DOMAINS, CONTROL_VMS)


def test_a_partitioned_domain_keeps_its_sheet_and_catches_up():
    galway = [VmId(f"galway-{n}") for n in range(3)]

    async def scenario(cluster):
        cluster.start()
        await cluster.submit("dublin-0", 1, make_csv("a"))
        await cluster.wait_until_active(1)
        cluster.network.isolate(galway)
        for number in range(2, 700):
            await cluster.submit(
                "dublin-0", number, make_csv("a", f"m{number}")
            )
        await cluster.wait_until_active(699, "cork-2", "dublin-2")
        await anyio.sleep(30)
        assert {cluster.get_revision(vm) for vm in galway} == {1}
        with pytest.raises(SheetOutcomeUnknown, match="again, to any VM"):
            await cluster.submit("galway-1", 900, make_csv("z"))
        cluster.network.restore_links()
        assert await cluster.wait_until_active(699) < ACTIVATION_LIMIT_S
        for vm in galway:
            activated_revisions = cluster.activated_revisions[vm]
            assert activated_revisions == sorted(set(activated_revisions))

    run_cluster(scenario, DOMAINS, CONTROL_VMS)


def test_a_diskless_vm_restarts_in_a_partitioned_domain():
    galway = [VmId(f"galway-{n}") for n in range(3)]

    async def scenario(cluster):
        cluster.start()
        await cluster.submit("dublin-0", 1, make_csv("a"))
        await cluster.wait_until_active(1)
        cluster.network.isolate(galway)
        for name in ("galway-0", "galway-2"):
            cluster.stop(name)
            cluster.start(name)
            assert cluster.get_revision(name) == 0
            assert (
                await cluster.wait_until_active(1, name) < ACTIVATION_LIMIT_S
            )

    run_cluster(scenario, DOMAINS, CONTROL_VMS)


def test_without_a_majority_no_sheet_is_accepted_or_lost():
    async def scenario(cluster):
        cluster.start()
        await cluster.submit("dublin-0", 1, make_csv("a"))
        await cluster.wait_until_active(1)
        cluster.log.has_majority = False
        with pytest.raises(SheetNotAccepted, match="was not accepted"):
            await cluster.submit("dublin-0", 2, make_csv("b"))
        with pytest.raises(SheetNotAccepted):
            await cluster.submit("galway-2", 2, make_csv("b"))
        await anyio.sleep(60)
        assert {cluster.get_revision(vm) for vm in cluster.stores} == {1}
        cluster.log.has_majority = True
        outcome = await cluster.submit("galway-2", 2, make_csv("b"))
        assert outcome.revision == 2
        assert await cluster.wait_until_active(2) < ACTIVATION_LIMIT_S

    run_cluster(scenario, DOMAINS, CONTROL_VMS)


def test_polls_are_bounded_when_the_log_has_no_majority():
    """All VMs look for a source then, which must not overload control VMs."""

    async def scenario(cluster):
        cluster.start()
        await cluster.wait_for(lambda: cluster.get_source("galway-19"))
        cluster.log.has_majority = False
        await anyio.sleep(20)
        before = cluster.network.delivered_count
        await anyio.sleep(20)
        per_vm = (cluster.network.delivered_count - before) / 20 / 22
        assert per_vm < 20
        cluster.log.has_majority = True
        await cluster.submit("dublin-0", 1, make_csv("a"))
        assert await cluster.wait_until_active(1) < ACTIVATION_LIMIT_S

    run_cluster(scenario, {"galway": 20, "dublin": 2}, ["dublin-0"])


def test_a_stored_sheet_is_loaded(tmp_path):
    sheet = make_sheet()
    storage = create_sheet_storage(tmp_path / "data")
    assert storage.load() == EMPTY_SHEET
    anyio.run(storage.save, sheet)
    assert create_sheet_storage(tmp_path / "data").load() == sheet


def test_a_restarted_control_vm_never_serves_an_older_revision(tmp_path):
    """Replaying its log from the start must not replace the stored sheet."""
    anyio.run(create_sheet_storage(tmp_path / "dublin-0").save, make_sheet())

    async def scenario(cluster):
        cluster.start("dublin-0")
        assert cluster.get_revision("dublin-0") == 3
        for number in (1, 2):
            await cluster.submit("dublin-0", number, make_csv(f"m{number}"))
        await anyio.sleep(1)
        assert cluster.get_revision("dublin-0") == 3
        assert cluster.activated_revisions["dublin-0"] == []

    run_cluster(scenario, {"dublin": 1}, ["dublin-0"], data_folder=tmp_path)


def test_a_damaged_stored_sheet_is_refused_with_the_remedy(tmp_path):
    storage = create_sheet_storage(tmp_path)
    anyio.run(storage.save, make_sheet())
    path = tmp_path / FILE_NAME
    content = bytearray(path.read_bytes())
    for position in range(len(content)):
        damaged = bytearray(content)
        damaged[position] ^= 0x10
        path.write_bytes(damaged)
        with pytest.raises(StorageError, match="delete the file"):
            storage.load()
    path.write_bytes(content[:3])
    with pytest.raises(StorageError, match="is damaged"):
        storage.load()


def test_sources_never_form_a_cycle():
    generator = random.Random(5)
    for _ in range(200):
        domains = {f"d{n}": generator.randint(1, 9) for n in range(4)}
        vms = make_vms(domains)
        control_vms = generator.sample([i.vm for i in vms], min(3, len(vms)))
        fan_out = generator.randint(1, 5)
        ranked = {
            info.vm: rank_sources(info.vm, vms, control_vms, fan_out)
            for info in vms
        }
        for vm, sources in ranked.items():
            assert sources.primary_sources or vm in control_vms
            for local_sources in sources.local_sources:
                assert ranked[local_sources].position < sources.position
            assert set(sources.control_vms) <= set(control_vms) - {vm}


def test_a_submission_skips_an_unresponsive_control_vm():
    async def scenario(cluster):
        cluster.start()
        await anyio.sleep(1)
        cluster.network.isolate([VmId("dublin-0")])
        with anyio.fail_after(ACTIVATION_LIMIT_S):
            outcome = await cluster.submit("galway-2", 5, make_csv("a"))
        assert outcome.state is SubmitState.ACCEPTED

    run_cluster(scenario, DOMAINS, CONTROL_VMS)


def test_parsing_a_large_sheet_lets_other_tasks_run():
    content = make_csv(*(f"m{number}" for number in range(2000)))
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            turns += 1
            await anyio.lowlevel.checkpoint()

    async def parse():
        async with anyio.create_task_group() as group:
            group.start_soon(count_turns)
            rows = await parse_sheet_async(
                content, KnownNames(), SheetSettings()
            )
            group.cancel_scope.cancel()
        assert rows == parse_sheet(content, KnownNames(), SheetSettings())

    anyio.run(parse)
    assert turns >= 2000 // LINES_PER_CHECKPOINT
