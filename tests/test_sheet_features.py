"""Steps of features/sheet.feature, through the command-line tool."""

import asyncio
import io
import json

import anyio
import httpx
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus
from dotterelbridge.cli.program import main
from dotterelbridge.dump import DumpRegistry
from dotterelbridge.ids import VmId
from dotterelbridge.logs import RecentEvents
from dotterelbridge.serving.operators import create_operator_app
from dotterelbridge.sheet.cells import COLUMNS
from dotterelbridge.sheet.operators import create_sheet_routes
from tests.sheet_cluster import ClusterRunner
from tests.sheet_cluster import make_csv

scenarios("features/sheet.feature")

TOKEN = b"token"
HEADER = ",".join(COLUMNS)
SHEETS = {
    "morning": make_csv("quote", "reply"),
    "other": make_csv("reply", "summary", version=2),
    "faulty": make_csv("quote")
    + b"\nadapter,liffeyside,seat,1,missing,10,,,,,",
}


class LoopTransport(httpx.BaseTransport):
    """Carries the tool's requests to an app on the cluster's loop."""

    def __init__(self, runner, app) -> None:
        self._runner = runner
        self._app = app

    def handle_request(self, request):
        return self._runner.do(self._handle(request))

    async def _handle(self, request):
        # The tool sleeps in real time; let virtual time pass as well.
        await anyio.sleep(0.25)
        transport = httpx.ASGITransport(self._app)
        async with httpx.AsyncClient(transport=transport) as client:
            answer = await client.request(
                request.method,
                request.url,
                headers=request.headers,
                content=request.read(),
            )
        return httpx.Response(answer.status_code, content=answer.content)


class Operator:
    """Runs the tool against a VM and keeps what it said."""

    def __init__(self, runner, folder) -> None:
        self.runner = runner
        self.folder = folder
        self.status = None
        self.out = ""
        self.err = ""
        self.outcomes = []
        for name, content in SHEETS.items():
            (folder / f"{name}.csv").write_bytes(content)
        (folder / "token").write_bytes(TOKEN)

    def run_tool(self, vm: str, *args: str) -> ExitStatus:
        """Run one command against a VM."""
        store = self.runner.cluster.stores[VmId(vm)]
        app = create_operator_app(
            TOKEN,
            DumpRegistry(),
            RecentEvents(),
            dict,
            create_sheet_routes(store),
        )
        token_file = str(self.folder / "token")
        env = Environment(
            stdout=io.StringIO(),
            stderr=io.StringIO(),
            variables={"DOTTERELBRIDGE_TOKEN_FILE": token_file},
            transport=LoopTransport(self.runner, app),
        )
        options = ["--output", "json"]
        self.status = main([*options, *args], env)
        self.out = env.stdout.getvalue()
        self.err = env.stderr.getvalue()
        return self.status

    def submit(self, vm: str, sheet: str, number: int, *more: str) -> None:
        """Submit one of the sheets."""
        path = str(self.folder / f"{sheet}.csv")
        self.run_tool(
            vm, "sheet", "submit", path, "--number", str(number), *more
        )


@pytest.fixture
def operator(tmp_path):
    runner = ClusterRunner()
    yield Operator(runner, tmp_path)
    runner.close()


@given("nine VMs in three failure domains, three of them with the log")
def _(operator):
    operator.runner.start()


@given(
    parsers.parse(
        'an operator submitted "{sheet}" as number {number:d} to "{vm}"'
    )
)
def _(operator, sheet, number, vm):
    operator.submit(vm, sheet, number)
    assert operator.status is ExitStatus.OK, operator.err


@given(parsers.parse('the VM "{vm}" has died'))
def _(operator, vm):
    operator.runner.stop(vm)


@given(parsers.parse('the failure domain "{domain}" is cut off'))
def _(operator, domain):
    operator.runner.cut_off(domain)


@when(
    parsers.parse(
        'an operator submits sheet "{sheet}" as number {number:d} to "{vm}"'
    )
)
def _(operator, sheet, number, vm):
    operator.submit(vm, sheet, number)


@when(
    parsers.parse(
        'an operator submits sheet "{sheet}" as number {number:d} to "{vm}" '
        "and waits"
    )
)
def _(operator, sheet, number, vm):
    operator.submit(vm, sheet, number, "--wait")


@when(
    parsers.parse(
        'operators submit "{one}" and "{two}" as number {number:d} at the '
        "same time"
    )
)
def _(operator, one, two, number):
    async def submit(vm, sheet):
        app = create_operator_app(
            TOKEN,
            DumpRegistry(),
            RecentEvents(),
            dict,
            create_sheet_routes(operator.runner.cluster.stores[VmId(vm)]),
        )
        client = httpx.AsyncClient(
            transport=httpx.ASGITransport(app),
            base_url="http://vm",
            headers={"Authorization": f"Bearer {TOKEN.decode()}"},
        )
        async with client:
            answer = await client.put(
                "/operators/v1/sheet",
                params={"number": number},
                content=SHEETS[sheet],
            )
        operator.outcomes.append((sheet, answer))

    async def race():
        await asyncio.gather(submit("cork-1", one), submit("galway-2", two))

    operator.runner.do(race())


@when(parsers.parse('an operator compares "{sheet}" with the sheet on "{vm}"'))
def _(operator, sheet, vm):
    path = str(operator.folder / f"{sheet}.csv")
    operator.run_tool(vm, "sheet", "diff", path)


@then(parsers.parse('the answer is "{state}" with revision {revision:d}'))
def _(operator, state, revision):
    assert operator.status is ExitStatus.OK, operator.err
    answer = json.loads(operator.out)
    assert (answer["state"], answer["revision"]) == (state, revision)


@then(
    parsers.parse('"{sheet}" is in force on every VM within {limit:d} seconds')
)
def _(operator, sheet, limit):
    wait_for_sheet(operator, sheet, limit)


@then(
    parsers.parse(
        "the accepted one is in force on every VM within {limit:d} seconds"
    )
)
def _(operator, limit):
    accepted = [s for s, answer in operator.outcomes if answer.is_success]
    wait_for_sheet(operator, accepted[0], limit)


@then("exactly one of them is told that it was accepted")
def _(operator):
    statuses = sorted(a.status_code for _, a in operator.outcomes)
    assert statuses == [200, 409]


@then(
    parsers.parse(
        "the other is told which sheet holds number {number:d} and what to do"
    )
)
def _(operator, number):
    refused = [a for _, a in operator.outcomes if a.status_code == 409]
    accepted = [a for _, a in operator.outcomes if a.is_success]
    error = refused[0].json()["error"]
    assert f"number {number} is held" in error["message"]
    assert accepted[0].json()["digest"] in error["message"]
    assert "under a higher number" in error["remedy"]


@then(parsers.parse('it is refused with exit status {status:d} and "{text}"'))
@then(parsers.parse('it fails with exit status {status:d} and "{text}"'))
def _(operator, status, text):
    assert operator.status == status
    assert text in operator.err


@then("no sheet is in force on any VM")
def _(operator):
    stores = operator.runner.cluster.stores.values()
    assert {store.get_active_sheet().revision for store in stores} == {0}


@then(parsers.parse('the output names "{vm}" as unreachable'))
def _(operator, vm):
    assert operator.status is ExitStatus.OK, operator.err
    assert json.loads(operator.out)["unreachable"] == [vm]


@then("the output lists a changed version, an added and a removed row")
def _(operator):
    rows = json.loads(operator.out)
    listed = {(row["change"], row["name"], row.get("column")) for row in rows}
    assert listed == {
        ("removed", "quote", None),
        ("changed", "reply", "version"),
        ("added", "summary", None),
    }


def wait_for_sheet(operator, sheet: str, limit: float) -> None:
    """Wait until a sheet's rows are in force on all VMs that run."""
    rows = SHEETS[sheet].decode().splitlines()[1:]
    names = sorted(line.split(",")[2] for line in rows)
    cluster = operator.runner.cluster

    def in_force() -> bool:
        return all(
            [row.name for row in store.get_active_sheet().rows] == names
            for store in cluster.stores.values()
        )

    async def wait() -> None:
        with anyio.fail_after(limit):
            await cluster.wait_for(in_force)

    operator.runner.do(wait())
