"""Bounds of the records in memory, and the verdict on what VMs know."""

from datetime import timedelta

import pytest

from dotterelbridge.clock import ManualClock
from dotterelbridge.resumption.messages import ServiceHistory
from dotterelbridge.resumption.messages import StreamAnswer
from dotterelbridge.resumption.table import StreamTable
from dotterelbridge.resumption.verdict import combine_answers
from dotterelbridge.resumption.verdict import decide_origin
from tests.resumption.support import KEEP
from tests.resumption.support import V1
from tests.resumption.support import V2
from tests.routes.support import JOBS
from tests.routes.support import LLM


def list_keys(table, count=10):
    return [n for n in range(count) if table.find(bytes([n])) is not None]


# Guards against memory that grows with the callers.
def test_oldest_records_are_dropped():
    table = StreamTable(3, timedelta(seconds=60), ManualClock())
    for number in (0, 1, 2, 3):
        table.add(bytes([number]), V1, KEEP)
    table.add(bytes([1]), V1, 2 * KEEP)
    table.add(bytes([4]), V1, KEEP)
    assert list_keys(table) == [1, 3, 4]
    assert table.dropped_count == 2


# Guards against records that go before their time, or never.
def test_records_are_removed_once_they_expire():
    clock = ManualClock()
    table = StreamTable(100, timedelta(seconds=60), clock)
    for number in range(10):
        table.add(bytes([number]), V1, timedelta(seconds=number + 0.5))
    assert table.add(bytes([0]), V1, timedelta(seconds=8.5))
    assert not table.add(bytes([0]), V1, timedelta(seconds=8.9))
    assert not table.add(bytes([9]), V1, timedelta(seconds=1))
    for second in range(12):
        table.remove_expired()
        expected = [n for n in range(10) if max(n, 8 * (n == 0)) >= second]
        assert list_keys(table) == expected
        assert len(table) <= len(expected) + 1
        clock.advance(timedelta(seconds=1))


def test_conflict_is_kept_until_it_expires():
    table = StreamTable(3, timedelta(seconds=60), ManualClock())
    assert table.add(b"k", V1, KEEP)
    assert table.add(b"k", V2, KEEP)
    assert not table.add(b"k", V1, KEEP)
    assert table.find(b"k").origin is None


def history(*versions, complete=True, confirmed=True, service=LLM):
    return StreamAnswer(
        histories=(ServiceHistory(service, versions, complete, confirmed),)
    )


def record(origin=V1):
    return StreamAnswer(service=origin.service, software=origin.software)


UNKNOWN = record(type(V1)(LLM, ""))
JOINED = record(type(V1)(JOBS, ""))
CONFLICT = StreamAnswer(is_conflicting=True)


# Guards against a guess at the version that began a stream.
@pytest.mark.parametrize(
    ("answers", "services", "expected"),
    [
        ([], [LLM], None),
        ([record()], [LLM], "v1"),
        ([record(), record()], [LLM], "v1"),
        ([record(), record(V2)], [LLM], None),
        ([record(), CONFLICT], [LLM], None),
        # A record counts more than what a VM has seen since.
        ([record(), history("v2")], [LLM], "v1"),
        ([history("v1")], [LLM], "v1"),
        ([history("v1")], [JOBS], None),
        # Either service can have begun the stream.
        ([history("v1"), history("v1", service=JOBS)], [LLM, JOBS], None),
        ([history("v1", complete=False)], [LLM], None),
        ([history()], [LLM], None),
        ([history("v1", "v2")], [LLM], None),
        ([history("v1"), history("v2")], [LLM], None),
        ([history("v1"), history("v2", complete=False)], [LLM], None),
        ([history("v1"), history(complete=False)], [LLM], "v1"),
        # The VM may have been cut off a moment ago.
        ([history("v1", confirmed=False)], [LLM], None),
        (
            [
                history("v1", confirmed=False),
                history("v1", complete=False, confirmed=True),
            ],
            [LLM],
            "v1",
        ),
        (
            [
                history("v1", confirmed=False),
                history("v1", "v2", complete=False, confirmed=True),
            ],
            [LLM],
            None,
        ),
        ([history("")], [LLM], ""),
        ([history("", "v1")], [LLM], None),
        # No target of the service states a version.
        ([UNKNOWN, history("")], [LLM], ""),
        ([UNKNOWN, history("v1")], [LLM], None),
        ([UNKNOWN, history("", "v1")], [LLM], None),
        ([UNKNOWN, history("", complete=False)], [LLM], None),
        ([UNKNOWN], [LLM], None),
        ([JOINED, history("")], [LLM], None),
    ],
)
def test_verdict(answers, services, expected):
    origin = decide_origin(combine_answers(answers), services).origin
    assert (origin and origin.software) == expected
