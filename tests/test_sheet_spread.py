"""Accepted sheets reach every VM in order and never revert."""

import random

import anyio
import pytest

from dotterelbridge.errors import StorageError
from dotterelbridge.ids import Revision
from dotterelbridge.ids import SheetNumber
from dotterelbridge.ids import VmId
from dotterelbridge.sheet.cells import KnownNames
from dotterelbridge.sheet.faults import SheetInvalid
from dotterelbridge.sheet.parser import LINES_PER_STEP
from dotterelbridge.sheet.parser import parse_sheet
from dotterelbridge.sheet.parser import parse_sheet_async
from dotterelbridge.sheet.rows import EMPTY_SHEET
from dotterelbridge.sheet.rows import SheetRevision
from dotterelbridge.sheet.settings import SheetSettings
from dotterelbridge.sheet.state_machine import SubmitState
from dotterelbridge.sheet.storage import FILE_NAME
from dotterelbridge.sheet.storage import create_sheet_storage
from dotterelbridge.sheet.submission import MACHINE_NAME
from dotterelbridge.sheet.submission import SheetNotAccepted
from dotterelbridge.sheet.submission import SheetOutcomeUnknown
from dotterelbridge.sheet.topology import rank_sources
from tests.sheet_cluster import make_csv
from tests.sheet_cluster import make_vms
from tests.sheet_cluster import run_cluster

IN_FORCE_LIMIT_S = 5.0
"""The stated target for a change to be in force everywhere."""
FAN_OUT = SheetSettings().fan_out
DOMAINS = {"dublin": 3, "cork": 3, "galway": 3}
HOLDERS = ["dublin-0", "dublin-1", "cork-0"]


def make_sheet() -> SheetRevision:
    """Return a sheet of revision 3."""
    return SheetRevision(
        revision=Revision(3), number=SheetNumber(30), digest="d"
    )


def test_a_change_is_in_force_everywhere_within_the_target():
    async def scenario(cluster):
        cluster.start()
        await cluster.wait_for(lambda: cluster.source("galway-2"))
        outcome = await cluster.submit("galway-2", 5, make_csv("a", "b"))
        assert outcome.state is SubmitState.ACCEPTED
        assert await cluster.wait_in_force(1) < IN_FORCE_LIMIT_S
        await cluster.submit("cork-0", 6, make_csv("a", "c"))
        assert await cluster.wait_in_force(2) < IN_FORCE_LIMIT_S
        for store in cluster.stores.values():
            names = [row.name for row in store.get_active_sheet().rows]
            assert names == ["a", "c"]
        assert all(seen == [1, 2] for seen in cluster.seen.values())

    run_cluster(scenario, DOMAINS, HOLDERS)


def test_a_faulty_sheet_is_refused_by_every_vm():
    async def scenario(cluster):
        cluster.start()
        for name in ("galway-2", "cork-0"):
            with pytest.raises(SheetInvalid, match="row 2, column name"):
                await cluster.submit(name, 5, make_csv("a b"))
        machines = [machine for machine, _ in cluster.log.entries]
        assert MACHINE_NAME not in machines

    run_cluster(scenario, DOMAINS, HOLDERS)


def test_only_one_vm_of_a_domain_is_fed_from_another():
    async def scenario(cluster):
        cluster.start()
        names = [f"galway-{number}" for number in range(12)]
        tree = sorted(names)
        wanted = ["dublin-0"] + [tree[n // FAN_OUT] for n in range(11)]
        await cluster.wait_for(
            lambda: [cluster.source(name) for name in tree] == wanted
        )
        await cluster.submit("galway-9", 1, make_csv("a"))
        assert await cluster.wait_in_force(1) < IN_FORCE_LIMIT_S

    run_cluster(scenario, {"galway": 12, "dublin": 2}, ["dublin-0"])


def test_a_silent_relay_is_replaced_and_used_again():
    async def scenario(cluster):
        cluster.start()
        await cluster.wait_for(
            lambda: cluster.source("galway-2") == "galway-0"
        )
        cluster.network.isolate([VmId("galway-0")])
        await cluster.submit("dublin-0", 1, make_csv("a"))
        others = [v for v in cluster.stores if v != "galway-0"]
        taken = await cluster.wait_in_force(1, *others)
        assert taken < 2.0
        assert cluster.source("galway-2") == "galway-1"
        cluster.network.restore_links()
        await cluster.wait_for(
            lambda: cluster.source("galway-2") == "galway-0"
        )
        assert cluster.revision("galway-0") == 1

    run_cluster(scenario, DOMAINS, HOLDERS)


def test_a_domain_cut_off_keeps_its_sheet_and_catches_up():
    galway = [VmId(f"galway-{n}") for n in range(3)]

    async def scenario(cluster):
        cluster.start()
        await cluster.submit("dublin-0", 1, make_csv("a"))
        await cluster.wait_in_force(1)
        cluster.network.isolate(galway)
        for number in range(2, 700):
            await cluster.submit(
                "dublin-0", number, make_csv("a", f"m{number}")
            )
        await cluster.wait_in_force(699, "cork-2", "dublin-2")
        await anyio.sleep(30)
        assert {cluster.revision(vm) for vm in galway} == {1}
        with pytest.raises(SheetOutcomeUnknown, match="again, to any VM"):
            await cluster.submit("galway-1", 900, make_csv("z"))
        cluster.network.restore_links()
        assert await cluster.wait_in_force(699) < IN_FORCE_LIMIT_S
        for vm in galway:
            seen = cluster.seen[vm]
            assert seen == sorted(set(seen))

    run_cluster(scenario, DOMAINS, HOLDERS)


def test_a_vm_without_disk_restarted_in_a_cut_off_domain():
    galway = [VmId(f"galway-{n}") for n in range(3)]

    async def scenario(cluster):
        cluster.start()
        await cluster.submit("dublin-0", 1, make_csv("a"))
        await cluster.wait_in_force(1)
        cluster.network.isolate(galway)
        for name in ("galway-0", "galway-2"):
            cluster.stop(name)
            cluster.start(name)
            assert cluster.revision(name) == 0
            assert await cluster.wait_in_force(1, name) < IN_FORCE_LIMIT_S

    run_cluster(scenario, DOMAINS, HOLDERS)


def test_without_a_majority_nothing_is_accepted_and_all_is_kept():
    async def scenario(cluster):
        cluster.start()
        await cluster.submit("dublin-0", 1, make_csv("a"))
        await cluster.wait_in_force(1)
        cluster.log.has_majority = False
        with pytest.raises(SheetNotAccepted, match="was not accepted"):
            await cluster.submit("dublin-0", 2, make_csv("b"))
        with pytest.raises(SheetNotAccepted):
            await cluster.submit("galway-2", 2, make_csv("b"))
        await anyio.sleep(60)
        assert {cluster.revision(vm) for vm in cluster.stores} == {1}
        cluster.log.has_majority = True
        outcome = await cluster.submit("galway-2", 2, make_csv("b"))
        assert outcome.revision == 2
        assert await cluster.wait_in_force(2) < IN_FORCE_LIMIT_S

    run_cluster(scenario, DOMAINS, HOLDERS)


def test_polls_are_bounded_when_the_log_has_no_majority():
    """All VMs look for a source then; the holders must bear it."""

    async def scenario(cluster):
        cluster.start()
        await cluster.wait_for(lambda: cluster.source("galway-19"))
        cluster.log.has_majority = False
        await anyio.sleep(20)
        before = cluster.network.delivered_count
        await anyio.sleep(20)
        per_vm = (cluster.network.delivered_count - before) / 20 / 22
        assert per_vm < 20
        cluster.log.has_majority = True
        await cluster.submit("dublin-0", 1, make_csv("a"))
        assert await cluster.wait_in_force(1) < IN_FORCE_LIMIT_S

    run_cluster(scenario, {"galway": 20, "dublin": 2}, ["dublin-0"])


def test_a_kept_sheet_is_read_back(tmp_path):
    sheet = make_sheet()
    storage = create_sheet_storage(tmp_path / "data")
    assert storage.load() == EMPTY_SHEET
    anyio.run(storage.save, sheet)
    assert create_sheet_storage(tmp_path / "data").load() == sheet


def test_a_restarted_holder_never_serves_an_older_revision(tmp_path):
    """Its log is replayed from the start; the kept sheet holds."""
    anyio.run(create_sheet_storage(tmp_path / "dublin-0").save, make_sheet())

    async def scenario(cluster):
        cluster.start("dublin-0")
        assert cluster.revision("dublin-0") == 3
        for number in (1, 2):
            await cluster.submit("dublin-0", number, make_csv(f"m{number}"))
        await anyio.sleep(1)
        assert cluster.revision("dublin-0") == 3
        assert cluster.seen["dublin-0"] == []

    run_cluster(scenario, {"dublin": 1}, ["dublin-0"], data_folder=tmp_path)


def test_a_damaged_kept_sheet_is_refused_with_the_remedy(tmp_path):
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


def test_sources_never_form_a_ring():
    generator = random.Random(5)
    for _ in range(200):
        domains = {f"d{n}": generator.randint(1, 9) for n in range(4)}
        vms = make_vms(domains)
        holders = generator.sample([i.vm for i in vms], min(3, len(vms)))
        fan_out = generator.randint(1, 5)
        ranked = {
            info.vm: rank_sources(info.vm, vms, holders, fan_out)
            for info in vms
        }
        for vm, sources in ranked.items():
            assert sources.regular or vm in holders
            for near in sources.near:
                assert ranked[near].position < sources.position
            assert set(sources.holders) <= set(holders) - {vm}


def test_a_submission_goes_on_past_a_silent_holder():
    async def scenario(cluster):
        cluster.start()
        await anyio.sleep(1)
        cluster.network.isolate([VmId("dublin-0")])
        with anyio.fail_after(IN_FORCE_LIMIT_S):
            outcome = await cluster.submit("galway-2", 5, make_csv("a"))
        assert outcome.state is SubmitState.ACCEPTED

    run_cluster(scenario, DOMAINS, HOLDERS)


def test_a_large_sheet_is_read_in_steps_that_let_others_run():
    content = make_csv(*(f"m{number}" for number in range(2000)))
    turns = 0

    async def count_turns():
        nonlocal turns
        while True:
            turns += 1
            await anyio.lowlevel.checkpoint()

    async def read():
        async with anyio.create_task_group() as group:
            group.start_soon(count_turns)
            rows = await parse_sheet_async(
                content, KnownNames(), SheetSettings()
            )
            group.cancel_scope.cancel()
        assert rows == parse_sheet(content, KnownNames(), SheetSettings())

    anyio.run(read)
    assert turns >= 2000 // LINES_PER_STEP
