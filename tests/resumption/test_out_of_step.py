"""A VM is out of step while targets of a new software version join.

It does not know yet that it is: it was cut off, or stood still, a moment ago.
"""

import anyio
import pytest

from tests.resumption.support import ENTRIES
from tests.resumption.support import READER
from tests.resumption.support import SETTLE_S
from tests.resumption.support import V2
from tests.resumption.support import run_deployment

STALE = "e-a0"
DOMAIN = ("c-a", "e-a0", "e-a1")


def cut_off_noticed(deployment) -> None:
    deployment.network.isolate({STALE})
    others = set(deployment.vms) - {STALE}
    deployment.lost_links = {(STALE, other) for other in others}


def cut_off_unnoticed(deployment) -> None:
    deployment.network.isolate({STALE})


def cut_off_domain(deployment) -> None:
    deployment.network.isolate(set(DOMAIN))


def stand_still(deployment) -> None:
    """The VM goes on; nothing that was sent to it meanwhile is read yet."""


CASES = {
    "cut off, noticed": (cut_off_noticed, {STALE}),
    "cut off, unnoticed": (cut_off_unnoticed, {STALE}),
    "cut off with its control VM": (cut_off_domain, {*DOMAIN}),
    "stood still": (stand_still, {STALE}),
    "stood still with its control VMs": (
        stand_still,
        {STALE, "c-a", "c-b", "c-c"},
    ),
}


# Guards against a stream of a new version that goes on at the old one, as the
# VM that is asked holds an outdated view for current (issue 58).
@pytest.mark.parametrize("is_record_lost", [False, True])
@pytest.mark.parametrize(("disturb", "stale"), CASES.values(), ids=CASES)
def test_stream_of_a_new_version_does_not_go_on_at_the_old_one(
    tmp_path, disturb, stale, is_record_lost
):
    async def check(deployment):
        disturb(deployment)
        for name, vm in deployment.vms.items():
            if name not in stale:
                vm.serve("v1", "v2")
        deployment.begin("e-c0", "r1", V2)
        if not is_record_lost:
            await anyio.sleep(SETTLE_S)
        deployment.kill("e-c0")
        assert await deployment.find(STALE, "r1") in (None, V2)

    run_deployment(check, tmp_path, versions=("v1",))


# Guards against streams that are lost though only one version has served, at
# VMs that reach the reader of the list.
@pytest.mark.parametrize("asked", ["e-a0", "e-d0", "e-e1"])
@pytest.mark.parametrize("killed", [[], ["c-a", "c-d"], [*ENTRIES]])
@pytest.mark.parametrize("versions", [("v1",), ("",)])
def test_stream_of_the_only_version_goes_on(tmp_path, asked, killed, versions):
    async def check(deployment):
        deployment.kill(*killed)
        deployment.start(*(name for name in killed if name in ENTRIES))
        origin = await deployment.find(asked, "lost")
        assert origin is not None
        assert origin.software == versions[0]

    run_deployment(check, tmp_path, versions=versions)


# Guards against streams that go on while no VM knows all that is listed, and
# against those that stay lost once one does again.
def test_stream_of_the_only_version_waits_for_the_next_reader(tmp_path):
    async def check(deployment):
        deployment.vms[READER].reads_list = False
        assert await deployment.find("e-d0", "lost") is None
        deployment.vms["c-b"].reads_list = True
        assert await deployment.find("e-d0", "lost") is not None

    run_deployment(check, tmp_path, versions=("v1",))
