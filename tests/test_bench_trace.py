"""Traces are read whole or refused with the line that is bad."""

import pytest

from bench import generate
from bench.audit import audit_answers
from bench.audit import audit_targets
from bench.callers import Outcome
from bench.callers import Reply
from bench.callers import judge_tokens
from bench.generate import TRACES
from bench.trace import Bound
from bench.trace import TraceError
from bench.trace import read_outcomes
from bench.trace import read_trace
from bench.trace import write_trace

CHAT = (
    '{"at_ms":5,"business":"b","failure_domain":"d","call":"chat",'
    '"model":"m","deadline_ms":100,"output_tokens":3}'
)


def read_lines(tmp_path, *lines):
    path = tmp_path / "t.jsonl"
    path.write_text("\n".join(lines))
    return read_trace(path)


@pytest.mark.parametrize(
    ("line", "words"),
    [
        ("{", "truncated"),
        ('{"at_ms":5}', "exactly one of"),
        (CHAT.replace('"m"', '""'), "needs model"),
        (CHAT.replace('"d"', "4"), "failure_domain"),
        (CHAT.replace("deadline_ms", "deadline"), "deadline"),
        ('{"at_ms":9,"fault":"explode","subject":"vm:a"}', "explode"),
        (CHAT.replace(":5", ":1"), "before the line above"),
    ],
)
def test_bad_line_is_named(tmp_path, line, words):
    with pytest.raises(TraceError, match=rf"t\.jsonl:2: .*{words}"):
        read_lines(tmp_path, CHAT, line)


def test_trace_survives_writing_and_reading(tmp_path):
    events = generate.create_small(3)
    path = tmp_path / "t.jsonl"
    write_trace(path, events)
    ordered = sorted(events, key=lambda event: event.at_ms)
    assert read_trace(path) == ordered


def test_generator_gives_the_same_trace_for_a_seed():
    assert generate.create_burst(4) == generate.create_burst(4)
    assert generate.create_burst(4) != generate.create_burst(5)


@pytest.mark.parametrize("path", sorted(TRACES.glob("*.jsonl")), ids=str)
def test_shipped_trace_has_stated_outcomes(path):
    assert read_trace(path)
    bounds = read_outcomes(path.with_suffix(".outcome.ini"))
    assert {"over_commits", "double_runs"} <= {b.figure for b in bounds}


def test_missing_figure_fails_its_bound():
    assert not Bound(figure="x", at_most=0).holds(None)
    assert Bound(figure="x", at_most=0).holds(0)
    assert not Bound(figure="x", at_least=99).holds(98.9)


@pytest.mark.parametrize(
    ("received", "outcome"),
    [
        (["a", "b", "c"], Outcome.WHOLE),
        (["a", "b"], Outcome.BROKEN),
        (["a", ""], Outcome.BROKEN),
        (["a", "b", "x"], Outcome.WRONG),
        (["a", "a", "b", "c"], Outcome.WRONG),
        (["b", "c"], Outcome.WRONG),
    ],
)
def test_tokens_are_judged_one_by_one(received, outcome):
    assert judge_tokens(received, ["a", "b", "c"]) is outcome


def create_reply(tmp_path, outcome, **fields):
    (chat,) = read_lines(tmp_path, CHAT)
    return Reply(request=chat, marker="m", outcome=outcome, sends=1, **fields)


def test_refusal_of_a_request_that_ran_is_false(tmp_path):
    refused = create_reply(tmp_path, Outcome.REFUSED)
    assert audit_answers([refused], {"m": 1})["false_refusals"] == 1
    assert audit_answers([refused], {"m": 0})["false_refusals"] == 0


def test_stream_cut_with_its_killed_vm_is_counted_apart(tmp_path):
    cut = create_reply(tmp_path, Outcome.BROKEN, entry_killed=True)
    figures = audit_answers([cut], {"m": 1})
    assert figures["broken_streams"] == 0
    assert figures["broken_with_killed_vm"] == 1


def test_over_commits_and_moves_come_from_the_targets():
    facts = [
        {"over_commit": "m@1", "used_mb": 9},
        {"order": "o1", "action": "load"},
        {"offer_after_leaving_s": 4.5},
    ]
    figures = audit_targets(facts)
    assert figures["over_commits"] == 1
    assert figures["moves"] == 1
    assert figures["latest_offer_after_leaving_s"] == 4.5
