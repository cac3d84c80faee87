"""Records of streams outlive the VMs that made them.

Two versions serve, so that no stream goes on without its record.
"""

from datetime import timedelta

import anyio
import pytest

from dotterelbridge.ids import SoftwareVersion
from dotterelbridge.resumption.copies import ControlLink
from dotterelbridge.resumption.copies import choose_holders
from dotterelbridge.resumption.recorder import StreamOrigin
from tests.resumption.support import CONTROLS
from tests.resumption.support import ENTRIES
from tests.resumption.support import KEEP
from tests.resumption.support import SETTLE_S
from tests.resumption.support import V1
from tests.resumption.support import V2
from tests.resumption.support import run_deployment
from tests.routes.support import JOBS
from tests.routes.support import LLM


# Guards against streams that go on at another version once the VM that began
# them is gone (issue 52), and against refusals for want of a record.
@pytest.mark.parametrize(
    ("killed", "asked"),
    [
        ([], "e-a0"),
        ([], "e-a1"),
        ([], "e-d0"),
        (["e-a0"], "e-a0"),
        ([*ENTRIES], "e-a1"),
        ([*ENTRIES], "e-c1"),
        # Linked with none of the two control VMs that were told.
        ([*ENTRIES], "e-d0"),
        ([*ENTRIES, "c-a"], "e-a0"),
        ([*ENTRIES, "c-a"], "e-d0"),
        ([*ENTRIES, "c-b"], "e-d0"),
        ([*ENTRIES, *CONTROLS], "e-d0"),
    ],
)
@pytest.mark.parametrize("is_back", [False, True])
def test_origin_is_found_after_kills(tmp_path, killed, asked, is_back):
    if len(killed) == len(CONTROLS | ENTRIES):
        is_back = True

    async def check(deployment):
        deployment.begin("e-a0", "r1")
        await anyio.sleep(SETTLE_S)
        deployment.kill(*killed)
        await anyio.sleep(0.5)
        deployment.start(*(n for n in killed if is_back or n in ENTRIES))
        await anyio.sleep(0.5)
        assert await deployment.find(asked, "r1") == V1
        # The record was found for this id only.
        assert await deployment.find(asked, "r2") is None

    run_deployment(check, tmp_path)


# Guards against records that a cut-off domain keeps to itself for good, and
# against callers who wait for VMs that cannot be reached.
def test_records_of_a_cut_off_domain(tmp_path):
    async def check(deployment):
        deployment.cut_off("a")
        deployment.begin("e-a0", "r1")
        await anyio.sleep(SETTLE_S)
        assert await deployment.find("e-a0", "r1") == V1
        assert await deployment.find("e-a1", "r1") == V1
        deployment.kill("c-a")
        started_at = anyio.current_time()
        assert await deployment.find("e-a1", "r2") is None
        assert anyio.current_time() == started_at
        assert await deployment.find("e-b0", "r1") is None
        deployment.reconnect()
        await anyio.sleep(1)
        assert await deployment.find("e-b0", "r1") == V1

    run_deployment(check, tmp_path)


# Guards against two copies that one failure domain loses together.
@pytest.mark.parametrize(
    ("links", "expected"),
    [
        ([], []),
        ([("c1", "a")], ["c1"]),
        ([("c1", "a"), ("c2", "a")], ["c1", "c2"]),
        ([("c1", "a"), ("c2", "a"), ("c3", "b")], ["c1", "c3"]),
        ([("c1", "a"), ("c2", "b"), ("c3", "c")], ["c1", "c2"]),
    ],
)
def test_copies_are_in_two_domains_if_possible(links, expected):
    assert choose_holders(ControlLink(*link) for link in links) == expected


# Guards against records that are lost, unnoticed, with a link that died.
def test_records_of_the_last_seconds_go_to_the_next_control_vm(tmp_path):
    async def check(deployment):
        for silent in ("c-a", "c-b"):
            deployment.network.block_link("e-a0", silent)
        deployment.begin("e-a0", "r1")
        await anyio.sleep(5)
        deployment.lost_links = {("e-a0", "c-a"), ("e-a0", "c-b")}
        await anyio.sleep(1)
        deployment.kill("e-a0")
        assert await deployment.find("e-d0", "r1") == V1

    run_deployment(check, tmp_path)


# Guards against a caller who waits for a control VM that is frozen.
@pytest.mark.parametrize(
    ("frozen", "expected"), [("c-a", V1), ("c-e", V1), ("c-b", V1)]
)
def test_frozen_control_vm_is_passed_over_in_time(tmp_path, frozen, expected):
    async def check(deployment):
        deployment.begin("e-a0", "r1")
        await anyio.sleep(SETTLE_S)
        deployment.network.hold_messages(frozen)
        started_at = anyio.current_time()
        assert await deployment.find("e-a1", "r1") == expected
        assert await deployment.find("e-d0", "r1") == expected
        assert await deployment.find("e-d0", "r2") is None
        assert anyio.current_time() - started_at <= 3 * 0.3 + 0.01
        deployment.network.release_messages()

    run_deployment(check, tmp_path)


# Guards against a record that one caller can put in another's place, and
# against an end of the process by what callers send.
@pytest.mark.parametrize(
    ("request_id", "fields", "expected"),
    [
        ("r1", {}, V1),
        ("r1", {"team": "b"}, None),
        ("r1", {"route": "other"}, None),
        ("r1", {"team": "aquotes", "route": ""}, None),
        # The record counts, whatever the route's services are now.
        ("r1", {"service_names": [JOBS]}, V1),
        ("r", {}, None),
        ("", {}, None),
        (None, {}, None),
        ("x" * 10_000, {}, V2),
        ("x" * 9_999, {}, None),
        ("\ud800\0\xff", {}, V2),
        ("both", {}, None),
        ("unknown version", {}, None),
    ],
)
@pytest.mark.parametrize("asked", ["e-a0", "e-b0", "e-d0"])
def test_odd_ids_and_other_callers(
    tmp_path, request_id, fields, expected, asked
):
    async def check(deployment):
        deployment.begin("e-a0", "r1")
        deployment.begin("e-a0", "r1", V2, team="b", route="other")
        deployment.begin("e-a0", "", V1)
        deployment.begin("e-a0", "x" * 10_000, V2)
        deployment.begin("e-a0", "\ud800\0\xff", V2)
        deployment.begin("e-a0", "both", V1)
        deployment.begin("e-a0", "both", V2)
        unknown = StreamOrigin(LLM, SoftwareVersion(""))
        deployment.begin("e-a0", "unknown version", unknown)
        await anyio.sleep(SETTLE_S)
        assert await deployment.find(asked, request_id, **fields) == expected

    run_deployment(check, tmp_path)


# Guards against a stream that goes on by one of two records that differ.
def test_records_of_two_vms_that_differ_are_not_used(tmp_path):
    async def check(deployment):
        deployment.begin("e-a0", "r1", V1)
        deployment.begin("e-b0", "r1", V2)
        await anyio.sleep(SETTLE_S)
        assert await deployment.find("e-b1", "r1") is None

    run_deployment(check, tmp_path)


# Guards against a chain of attempts that outlives its record: each of them
# names the first one.
@pytest.mark.parametrize(
    "chain", [["e-a0"] * 3, ["e-a1"] * 3, ["e-d0"] * 3, ["e-a1", "e-d0"]]
)
def test_record_in_use_is_kept(tmp_path, chain):
    async def check(deployment):
        deployment.begin("e-a0", "r1")
        deployment.begin("e-a0", "r2")
        await anyio.sleep(KEEP.total_seconds())
        for asked in chain:
            assert await deployment.find(asked, "r1") == V1
            await anyio.sleep(KEEP.total_seconds())
        deployment.kill(*ENTRIES, *CONTROLS)
        deployment.start(*ENTRIES, *CONTROLS)
        assert await deployment.find("e-b0", "r1") == V1
        assert await deployment.find("e-b0", "r2") is None
        await anyio.sleep(60)
        assert await deployment.find("e-b0", "r1") is None

    run_deployment(check, tmp_path)


# Guards against a caller's deadline that keeps a record for years.
def test_records_expire(tmp_path):
    async def check(deployment):
        deployment.begin("e-a0", "r1", keep=timedelta(days=9999))
        await anyio.sleep(SETTLE_S)
        limit_s = deployment.settings.keep_limit_s
        await anyio.sleep(limit_s - 1)
        assert await deployment.find("e-a1", "r1") == V1
        await anyio.sleep(limit_s + 2)
        for asked in ("e-a0", "e-a1"):
            assert await deployment.find(asked, "r1") is None
        for vm in deployment.vms.values():
            assert vm.part.dump()["records"] == 0

    run_deployment(check, tmp_path)


# Guards against queries that are lost where many come at once.
def test_take_ups_of_thousands_of_streams(tmp_path):
    async def check(deployment):
        for number in range(2000):
            deployment.begin("e-a0", f"r{number}", (V1, V2)[number % 2])
        await anyio.sleep(SETTLE_S)
        deployment.kill(*ENTRIES)
        deployment.start(*ENTRIES)
        found = {}

        async def take_up(number):
            await anyio.sleep(number / 5000)
            found[number] = await deployment.find("e-d0", f"r{number}")

        before = deployment.network.delivered_count
        async with anyio.create_task_group() as group:
            for number in range(2000):
                group.start_soon(take_up, number)
        assert found == {n: (V1, V2)[n % 2] for n in range(2000)}
        # A request and an answer for each, and batches between control VMs.
        assert deployment.network.delivered_count - before < 5000

    run_deployment(check, tmp_path)
