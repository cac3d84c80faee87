"""End-to-end tests of the platform's protocol: list, orders and requests.

Three control VMs and an entry VM run in one process, each on a loopback
address of its own, with the protocol classes of platform/.
"""

import contextlib
from datetime import timedelta
import json
from pathlib import Path
import subprocess
import sys

import anyio
import httpx
import pytest

from dotterelbridge.clock import SystemClock
from dotterelbridge.fleet.errors import ListingFailed
from dotterelbridge.nodes.control import create_control_node
from dotterelbridge.nodes.entry import create_entry_node
from dotterelbridge.nodes.settings import load_node_settings
from dotterelbridge.routes.errors import RoutesInvalid
from dotterelbridge.targets.settings import TargetsSettings
from standins.fleet import StandinInstanceList
from standins.fleet import StandinReplica
from standins.fleet import create_listener
from standins.ports import find_free_ports

ROOT = Path(__file__).resolve().parent.parent.parent
sys.path.append(str(ROOT / "platform"))

import documents  # noqa: E402
import engines  # noqa: E402
import headers  # noqa: E402
import listing  # noqa: E402
import wire  # noqa: E402

pytestmark = pytest.mark.anyio
HOST = "quotes.example"
WAIT_TIMEOUT_S = 60
TIMEOUT = timedelta(seconds=5)
CONTROL_ADDRESSES = ("127.0.0.1", "127.0.0.2", "127.0.0.3")
ENTRY_ADDRESS = "127.0.0.4"


@pytest.fixture
def anyio_backend():
    return "asyncio"


def create_configuration(version=1, **changes) -> dict:
    route = {
        "name": "r1",
        "host": HOST,
        "path_prefix": "/q/",
        "kind": "streaming",
        "timeout_ms": 20000,
        "goal_ms": 600,
        "priority": 1,
        "service": "llm",
        "max_attempts": 1,
        "sticky": True,
        "resumable": False,
        "gap_goal_ms": 150,
    }
    models = [
        {
            "name": name,
            "weights_mb": 100.0,
            "load_s": 0.1,
            "adapters": 2,
            "adapter_mb": 1.0,
            "warm_s": 0.05,
            "disk_s": 0.1,
        }
        for name in ("m0", "m1")
    ]
    engine = {
        "slots": 8,
        "kv_capacity_tokens": 1000,
        "models": models,
        "weights_mb": 110.0,
        "adapter_slots": 2,
        "loads_per_s": 10.0,
    }
    return {
        "version": version,
        "routes": [route | changes],
        "services": [
            {"name": "llm", "max_conns": 100, "engine": engine},
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1000000,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class Deployment:
    """Creates nodes, the list and a replica with memory for one model."""

    def __init__(self, folder: Path) -> None:
        self.clock = SystemClock()
        self.folder = folder
        self.nodes = []
        (
            self.peer_port,
            self.operator_port,
            self.caller_port,
            self.ready_port,
        ) = find_free_ports(4)
        self.replica = StandinReplica("i-1", ["m0"], model_limit=1)
        self.list_app = StandinInstanceList()
        self.replica_listener = create_listener(self.replica, self.clock)
        self.list_listener = create_listener(self.list_app, self.clock)
        address = f"127.0.0.1:{self.replica_listener.port}"
        self.list_app.entries = [
            {"id": 7},
            self.replica.describe_instance(address, "a", "llm"),
            {"id": "i-9", "service": "llm", "address": "nowhere"},
        ]

    def load_settings(
        self,
        name,
        role,
        address,
        seeds=CONTROL_ADDRESSES,
        bootstrap=True,
        **options,
    ):
        lines = ["[node]", f"name = {name}", f"role = {role}"]
        lines += [f"address = {address}", "failure_domain = a"]
        lines += [f"peer_port = {self.peer_port}"]
        lines += [f"{key} = {value}" for key, value in options.items()]
        lines += ["[discovery]", f"seeds = {','.join(seeds)}"]
        lines += [f"bootstrap = {bootstrap}", "secret = s"]
        lines += ["[failure_domain:a]", "region = r"]
        lines += ["[replication]", "losses_tolerated = 1"]
        lines += ["[serving]", "balancer_lead_s = 0"]
        lines += ["[targets]", "skip_foreign_answers = true"]
        lines += ["request_id_header = x-dotterelbridge-request-id"]
        lines += ["leaving_header = server-leaving"]
        lines += ["rate_limit_header = server-limit"]
        lines += ["[teams]", "key_lifetime_ms = 5000"]
        path = self.folder / f"{name}.ini"
        path.write_text("\n".join(lines))
        return load_node_settings(str(path)), str(path)

    def create_control(self, number, address, **options):
        settings, path = self.load_settings(
            f"c{number}",
            "control",
            address,
            operator_address=f"{address}:{self.operator_port}",
            data_folder=self.folder / f"c{number}",
            platform_address=f"127.0.0.1:{self.list_listener.port}",
            **options,
        )
        return create_control_node(
            settings,
            path,
            documents.PlatformFormat(),
            wire.CONFIGURATION_PATH,
            listing.create_platform_listing(settings, self.clock),
            engines.PlatformEngines(settings.targets, self.clock),
            self.clock,
        )

    def create_entry(self, name="f1", address=ENTRY_ADDRESS):
        settings, path = self.load_settings(
            name,
            "entry",
            address,
            caller_address=f"{address}:{self.caller_port}",
            ready_address=f"{address}:{self.ready_port}",
        )
        return create_entry_node(
            settings,
            path,
            headers.CALLER_HEADERS,
            documents.PlatformFormat(),
            self.clock,
        )

    async def submit(self, configuration) -> httpx.Response:
        """Submit to each control VM in turn until one does not fail."""
        async with httpx.AsyncClient(timeout=5) as client:
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while True:
                    for address in CONTROL_ADDRESSES:
                        url = f"http://{address}:{self.operator_port}"
                        with contextlib.suppress(httpx.TransportError):
                            response = await client.put(
                                url + wire.CONFIGURATION_PATH,
                                json=configuration,
                            )
                            if response.status_code < 500:
                                return response
                    await anyio.sleep(0.05)

    async def send_request(
        self, model, address=ENTRY_ADDRESS, path="/q/x", body=b"", **headers
    ) -> httpx.Response:
        """Send a request to an entry VM.

        :param headers: further ones; an underscore stands for a hyphen.
        """
        values = {
            "host": HOST,
            "x-dotterelbridge-request-id": "r1",
            "x-dotterelbridge-model": model,
            "x-dotterelbridge-deadline-ms": "15000",
        }
        values |= {k.replace("_", "-"): v for k, v in headers.items()}
        async with httpx.AsyncClient(timeout=20) as client:
            return await client.post(
                f"http://{address}:{self.caller_port}{path}",
                headers=values,
                content=body,
            )

    async def wait_until_ready(self) -> None:
        async with httpx.AsyncClient(timeout=5) as client:
            with anyio.fail_after(WAIT_TIMEOUT_S):
                while True:
                    with contextlib.suppress(httpx.TransportError):
                        url = f"http://{ENTRY_ADDRESS}:{self.ready_port}/"
                        if (await client.get(url)).status_code == 200:
                            return
                    await anyio.sleep(0.05)


@contextlib.asynccontextmanager
async def run_deployment(folder, entry_addresses=(ENTRY_ADDRESS,)):
    deployment = Deployment(folder)
    nodes = [
        deployment.create_control(n, a)
        for n, a in enumerate(CONTROL_ADDRESSES)
    ]
    nodes += [
        deployment.create_entry(f"f{n + 1}", address)
        for n, address in enumerate(entry_addresses)
    ]
    async with anyio.create_task_group() as group:
        group.start_soon(deployment.replica_listener.run)
        group.start_soon(deployment.list_listener.run)
        for node in nodes:
            group.start_soon(node.run_components)
        deployment.nodes = nodes
        yield deployment
        group.cancel_scope.cancel()


async def test_request_is_served_and_triggers_load_of_missing_model(
    tmp_path,
):
    async with run_deployment(tmp_path) as deployment:
        response = await deployment.submit(create_configuration())
        assert response.json() == {"version": 1}
        await deployment.wait_until_ready()
        with anyio.fail_after(WAIT_TIMEOUT_S):
            while (await deployment.send_request("m0")).status_code != 200:
                await anyio.sleep(0.05)
            for item in ("m0/a1", "m1", "m1/a2", "m0"):
                while (await deployment.send_request(item)).status_code != 200:
                    await anyio.sleep(0.05)
        assert set(deployment.replica.served_items) == {
            "m0",
            "m0/a1",
            "m1",
            "m1/a2",
        }
        assert not deployment.replica.over_committed
        assert len(deployment.replica.controllers) == 1


async def wait_until_served(deployment) -> None:
    await deployment.submit(create_configuration())
    await deployment.wait_until_ready()
    with anyio.fail_after(WAIT_TIMEOUT_S):
        while (await deployment.send_request("m0")).status_code != 200:
            await anyio.sleep(0.05)


async def test_replica_that_says_it_leaves_gets_no_new_work(tmp_path):
    async with run_deployment(tmp_path) as deployment:
        await wait_until_served(deployment)
        replica = deployment.replica
        replica.is_leaving = True
        last = await deployment.send_request("m0")
        assert last.status_code == 200
        served_count = len(replica.served_items)
        for _ in range(3):
            refused = await deployment.send_request("m0")
            assert refused.status_code == 503
        assert len(replica.served_items) == served_count


async def test_refusal_tells_when_a_replica_returns(tmp_path):
    async with run_deployment(tmp_path) as deployment:
        await wait_until_served(deployment)
        deployment.replica.retry_after_s = 20
        refused = await deployment.send_request("m0")
        assert refused.status_code == 503
        assert 15 < float(refused.headers["retry-after"]) <= 21
        deployment.replica.retry_after_s = None
        assert (await deployment.send_request("m0")).status_code == 503


# Guards against entry VMs that keep to a named limit each by itself.
async def test_rate_limit_of_a_replica_holds_for_all_entry_vms(tmp_path):
    requests_per_s = 1.0
    contact_s = 4.0
    window_s = 4.0
    allowed = 1.5 * requests_per_s * window_s + 5
    entry_addresses = (ENTRY_ADDRESS, "127.0.0.5", "127.0.0.6")
    arrivals = []
    refused = []
    async with run_deployment(tmp_path, entry_addresses) as deployment:
        await wait_until_served(deployment)
        deployment.replica.rate_limit_per_s = requests_per_s
        clock = deployment.clock
        ends_at = clock.monotonic() + contact_s + window_s + 1

        async def call_repeatedly(address) -> None:
            while clock.monotonic() < ends_at:
                started_at = clock.monotonic()
                response = await deployment.send_request("m0", address)
                if response.status_code == 200:
                    arrivals.append(started_at)
                else:
                    refused.append(response)
                    await anyio.sleep(0.1)

        async with anyio.create_task_group() as callers:
            for address in entry_addresses * 2:
                callers.start_soon(call_repeatedly, address)
    start = arrivals[0] + contact_s
    late = [at for at in arrivals if start <= at < start + window_s]
    assert len(late) <= allowed
    assert late
    assert {r.status_code for r in refused} == {503}
    assert all(float(r.headers["retry-after"]) > 0 for r in refused)


async def test_configuration_is_read_back_unchanged(tmp_path):
    async with run_deployment(tmp_path) as deployment:
        await deployment.submit(create_configuration(3))
        await deployment.submit(create_configuration(2))
        faulty = await deployment.submit(create_configuration(4, timeout_ms=0))
        assert faulty.status_code == 400
        async with httpx.AsyncClient(timeout=5) as client:
            for address in CONTROL_ADDRESSES:
                url = f"http://{address}:{deployment.operator_port}"
                with anyio.fail_after(WAIT_TIMEOUT_S):
                    while True:
                        response = await client.get(
                            url + wire.CONFIGURATION_PATH
                        )
                        if response.status_code == 200:
                            break
                        await anyio.sleep(0.05)
                assert response.json() == create_configuration(3)


async def test_forged_and_truncated_entries_are_ignored():
    clock = SystemClock()
    app = StandinInstanceList()
    app.entries = [
        {},
        None,
        "text",
        {"id": "i-1", "service": "llm", "address": "1.2.3.4:80"},
        {
            "id": "i-2",
            "service": "llm",
            "address": "1.2.3.4:80",
            "zone": "a",
            "state": "sleeping",
        },
        {
            "id": "i-3",
            "service": "llm",
            "address": "1.2.3.4:80",
            "zone": "elsewhere",
            "state": "ready",
        },
        {
            "id": "i-4",
            "service": 5,
            "address": "1.2.3.4:80",
            "zone": "a",
            "state": "ready",
        },
        {
            "id": "i-5",
            "service": "llm",
            "address": "1.2.3.4:80",
            "zone": "a",
            "state": "ready",
            "born": 9,
        },
    ]
    listener = create_listener(app, clock)
    async with anyio.create_task_group() as group:
        group.start_soon(listener.run)
        client = listing.calls.create_client(
            "list",
            "127.0.0.1",
            listener.port,
            TargetsSettings(),
            clock,
        )
        source = listing.PlatformListing(client, {"a"})
        found = await source.fetch(TIMEOUT)
        assert [(t.target, t.born) for t in found] == [("i-5", 9)]
        app.body_override = b'{"instances": [{"id": "i-\xff'
        with pytest.raises(ListingFailed):
            await source.fetch(TIMEOUT)
        group.cancel_scope.cancel()


@pytest.mark.parametrize(
    "change",
    [
        {"service": "nobody"},
        {"timeout_ms": 0},
        {"kind": "unknown"},
        {"service": None, "split": [{"service": "llm", "weight": 0}]},
        {"service": "nobody", "split": [{"service": "llm", "weight": 1}]},
        {"path_prefix": "/open"},
        {"timeout_ms": "soon"},
    ],
)
def test_invalid_configuration_is_rejected(change):
    document = json.dumps(create_configuration(**change)).encode()
    with pytest.raises(RoutesInvalid):
        documents.PlatformFormat().decode(document)


def test_platform_folder_does_not_shadow_the_standard_library():
    script = (
        "import runpy, sys; sys.argv = ['x'];"
        "runpy.run_path('platform/launch.py', run_name='launched');"
        "import platform; print(platform.system())"
    )
    result = subprocess.run(
        [sys.executable, "-c", script],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=True,
        env={"PYTHONPATH": str(ROOT / "platform")},
    )
    assert result.stdout.strip()
