"""Steps of features/claims.feature."""

import anyio
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from dotterelbridge.claims.service import ClaimState
from dotterelbridge.claims.service import RecordedResponse
from dotterelbridge.errors import ReplicationError
from dotterelbridge.ids import AttemptId
from dotterelbridge.ids import Business
from dotterelbridge.ids import IdempotencyKey
from dotterelbridge.ids import VmId
from tests.sheet_cluster import ClusterRunner

scenarios("features/claims.feature")

BUSINESS = Business("trinacria")


class Caller:
    """Sends keyed bookings through entry VMs."""

    def __init__(self, runner) -> None:
        self.runner = runner
        self.runs = 0
        self.attempts = 0
        self.first_answer = None
        self.reply = None
        self.refusal = None

    def begin(self, key: str, vm: str, digest: str = "d"):
        """Claim a key as the entry VM does; returns the attempt."""
        self.attempts += 1
        attempt = AttemptId(f"attempt-{self.attempts}")
        self.reply = self.runner.do(
            self._service(vm).begin(
                BUSINESS, IdempotencyKey(key), digest, attempt
            )
        )
        return attempt

    def book(self) -> RecordedResponse:
        """Run the booking."""
        self.runs += 1
        body = f"booking {self.runs}".encode()
        return RecordedResponse(status=201, headers=[], body=body)

    def record(self, key: str, vm: str, attempt, answer) -> None:
        """Record the answer as the entry VM does."""
        self.runner.do(
            self._service(vm).record(
                BUSINESS, IdempotencyKey(key), attempt, answer
            )
        )

    def release(self, key: str, vm: str, attempt) -> None:
        """Free the key as the entry VM does."""
        self.runner.do(
            self._service(vm).release(BUSINESS, IdempotencyKey(key), attempt)
        )

    def _service(self, vm: str):
        return self.runner.cluster.claims[VmId(vm)]


@pytest.fixture
def caller():
    runner = ClusterRunner()
    yield Caller(runner)
    runner.close()


@given("nine VMs in three failure domains, three of them with the log")
def _(caller):
    caller.runner.start()


@given("answers and open attempts are kept for 60 seconds")
def _(caller):
    limits = caller.runner.cluster.claims[VmId("cork-0")].dump()["limits"]
    assert limits["answer_age_ms"] == limits["attempt_limit_ms"] == 60_000


@given("a booking service that counts its runs")
def _(caller):
    assert caller.runs == 0


@given(parsers.parse('a caller booked with key "{key}" through "{vm}"'))
def _(caller, key, vm):
    attempt = caller.begin(key, vm)
    assert caller.reply.state is ClaimState.GRANTED
    caller.first_answer = caller.book()
    caller.record(key, vm, attempt, caller.first_answer)


@given(parsers.parse('the VM "{vm}" dies while it books with key "{key}"'))
def _(caller, vm, key):
    caller.begin(key, vm)
    assert caller.reply.state is ClaimState.GRANTED
    caller.book()
    caller.runner.stop(vm)


@given(
    parsers.parse(
        'the booking service refused key "{key}" through "{vm}" as not run'
    )
)
def _(caller, key, vm):
    attempt = caller.begin(key, vm)
    caller.release(key, vm, attempt)


@given(parsers.parse("{seconds:d} seconds have passed"))
def _(caller, seconds):
    caller.runner.do(anyio.sleep(seconds))


@given(parsers.parse('the failure domain "{domain}" is cut off'))
def _(caller, domain):
    caller.runner.cut_off(domain)


@when(parsers.parse('the caller sends key "{key}" again through "{vm}"'))
@when(parsers.parse('the caller sends key "{key}" through "{vm}"'))
def _(caller, key, vm):
    try:
        caller.begin(key, vm)
    except ReplicationError as error:
        caller.refusal = error


@when(parsers.parse('another booking is sent with key "{key}" through "{vm}"'))
def _(caller, key, vm):
    caller.begin(key, vm, digest="other")


@then("the caller gets the first answer")
def _(caller):
    assert caller.reply.state is ClaimState.RECORDED
    assert caller.reply.answer == caller.first_answer


@then(parsers.parse('the caller is told "{state}"'))
def _(caller, state):
    assert caller.refusal is None
    assert caller.reply.state is ClaimState(state)


@then("the booking ran once")
def _(caller):
    assert caller.runs == 1


@then("the call is refused and the booking did not run")
def _(caller):
    assert caller.refusal is not None
    assert caller.runs == 0
