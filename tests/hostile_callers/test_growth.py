"""Callers outside the limits must not end, grow or block a process.

Each kind was seen to grow an entry process by up to 531 MB, on VMs of
160 MB. Nothing here depends on the speed of the machine.
"""

import pytest

from tests.hostile_callers.crowd import MISBEHAVIOURS
from tests.hostile_callers.crowd import PEER_MISBEHAVIOURS
from tests.hostile_callers.crowd import Crowd
from tests.hostile_callers.crowd import Misbehaviour
from tests.hostile_callers.processes import Daemon
from tests.hostile_callers.processes import Deployment
from tests.hostile_callers.processes import LoopThread
from tests.hostile_callers.processes import ProcessState
from tests.hostile_callers.processes import Service
from tests.hostile_callers.processes import wait_for

GROWTH_LIMIT_KB = 20 * 1024
DESCRIPTORS_LIMIT = 12
"""Descriptors that may stay open beyond those before the crowd."""
SEND_LIMIT_S = 8.0
"""Ends callers that the listener reads no further; no check of a time."""
KINDS = pytest.mark.parametrize(
    "kind", MISBEHAVIOURS, ids=[kind.name for kind in MISBEHAVIOURS]
)


@pytest.fixture(scope="module")
def loop():
    thread = LoopThread()
    yield thread
    thread.stop()


@pytest.fixture(scope="module")
def deployment(loop, tmp_path_factory):
    deployment = Deployment(tmp_path_factory.mktemp("vms"), loop)
    deployment.start()
    yield deployment
    deployment.stop()


@pytest.fixture
def daemon(loop, tmp_path):
    daemon = Daemon(tmp_path, loop)
    yield daemon
    daemon.stop()


def check_growth(
    kind: Misbehaviour,
    pid: int,
    address: tuple[str, int],
    service: Service,
    statuses: tuple[bytes, ...],
    loop: LoopThread,
) -> None:
    """Let a crowd call, and check what the process holds and serves."""
    state = ProcessState(pid)
    descriptors = state.count_descriptors()
    memory_kb = state.read_memory_kb("VmRSS")
    state.reset_peak()
    crowd = Crowd(kind, address)
    loop.run(crowd.send(SEND_LIMIT_S))
    loop.run(service.wait_until_served(statuses))
    crowd.close()
    growth_kb = state.read_memory_kb("VmHWM") - memory_kb
    print(f"FIGURE {kind.name} growth {growth_kb} kB")
    assert growth_kb < GROWTH_LIMIT_KB
    assert wait_for(
        lambda: state.count_descriptors() - descriptors < DESCRIPTORS_LIMIT
    )


@KINDS
def test_entry_process_bounds_what_callers_send(kind, deployment, loop):
    service = deployment.restart_entry()
    pid = deployment.entry_pid
    check_growth(kind, pid, service.address, service, (b"200",), loop)
    assert deployment.is_entry_alive()
    assert deployment.entry_pid == pid


@KINDS
def test_daemon_bounds_what_callers_send(kind, daemon, loop):
    service = daemon.start()
    check_growth(
        kind, daemon.pid, service.address, service, (b"404", b"503"), loop
    )
    assert daemon.is_alive()


# Probes and operators reach these addresses without any authentication.
OTHER_KINDS = pytest.mark.parametrize(
    "kind",
    [
        kind
        for kind in MISBEHAVIOURS
        if kind.name
        in (
            "endless-trailer-lines",
            "different-header-lines",
            "many-short-header-lines-before-a-body",
            "endless-body-in-chunks",
            "pipelined-requests-of-many-lines",
        )
    ],
    ids=lambda kind: kind.name,
)


@OTHER_KINDS
@pytest.mark.parametrize("port", ["ready", "metrics"])
def test_probe_addresses_bound_what_callers_send(kind, port, deployment, loop):
    service = deployment.restart_entry()
    pid = deployment.entry_pid
    ports = {"ready": deployment.group.ready_port, "metrics": 9464}
    address = (deployment.entry.ip, ports[port])
    check_growth(kind, pid, address, service, (b"200",), loop)
    assert deployment.is_entry_alive()
    assert deployment.entry_pid == pid


@OTHER_KINDS
@pytest.mark.parametrize("address", ["control", "daemon"])
def test_operators_api_bounds_what_callers_send(
    kind, address, deployment, daemon, loop
):
    if address == "daemon":
        service = daemon.start()
        pid, statuses = daemon.pid, (b"404", b"503")
        api = ("127.0.0.1", daemon.ports["operator"])
    else:
        service = deployment.restart_control()
        pid, statuses = deployment.control_pid, (b"200",)
        api = service.address
    check_growth(kind, pid, api, service, statuses, loop)
    if address == "daemon":
        assert daemon.is_alive()
    else:
        assert deployment.is_control_alive()
        assert deployment.control_pid == pid


@pytest.mark.parametrize(
    "kind", PEER_MISBEHAVIOURS, ids=lambda kind: kind.name
)
def test_peer_port_bounds_what_unknown_peers_send(kind, deployment, loop):
    service = deployment.restart_entry()
    pid = deployment.entry_pid
    address = (deployment.entry.ip, deployment.group.peer_port)
    check_growth(kind, pid, address, service, (b"200",), loop)
    assert deployment.is_entry_alive()
    assert deployment.entry_pid == pid
