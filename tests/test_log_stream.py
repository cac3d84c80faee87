"""Logs never hold up the program, and say what they dropped."""

import io
import json
import os
import threading

import pytest
import structlog

from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus
from dotterelbridge.cli.program import main
from dotterelbridge.log_stream import QueuedStream
from dotterelbridge.logs import configure_logs


class HeldStream(io.StringIO):
    """Writes nothing until it is released, as a full pipe."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait()
        return super().write(text)


@pytest.fixture
def held():
    stream = HeldStream()
    yield stream
    stream.released.set()
    structlog.reset_defaults()


def test_a_full_pipe_neither_blocks_nor_grows(held):
    stream = QueuedStream(held, limit=100)
    for number in range(100_000):
        stream.write(f"{number}\n")
    dropped = stream.pop_dropped_count()
    held.released.set()
    stream.close()
    written = held.getvalue().count("\n")
    assert written <= 200
    assert written + dropped == 100_000


def test_failures_are_kept_longer_than_ordinary_lines(held):
    stream = QueuedStream(held, limit=100)
    configure_logs("info", "json", stream)
    log = structlog.get_logger()
    for _ in range(1000):
        log.info("ordinary")
    for _ in range(20):
        log.warning("failure")
    held.released.set()
    stream.close()
    lines = [json.loads(line) for line in held.getvalue().splitlines()]
    events = [line["event"] for line in lines]
    assert events.count("failure") == 20
    assert events.count("ordinary") <= 200
    dropped = sum(line.get("lines_dropped_before", 0) for line in lines)
    assert dropped + events.count("ordinary") == 1000


def test_a_reader_that_is_gone_stops_nothing():
    reading, writing = os.pipe()
    os.close(reading)
    stream = QueuedStream(os.fdopen(writing, "w"))
    stream.write("lost\n")
    stream.close()
    stream.write("lost as well\n")


def explain(tmp_path, lines, request="r1"):
    path = tmp_path / "node.log"
    path.write_text("\n".join(lines))
    env = Environment(stdout=io.StringIO(), stderr=io.StringIO())
    status = main(["--output", "json", "explain", request, str(path)], env)
    return status, json.loads(env.stdout.getvalue()), env.stderr.getvalue()


def line(second, event, **fields):
    return json.dumps(
        {"timestamp": f"2026-01-01T00:00:0{second}Z", "event": event} | fields
    )


def test_a_requests_course_is_shown_with_what_was_believed(tmp_path):
    status, rows, problems = explain(
        tmp_path,
        [
            line(5, "request_answered", request="r1", target="e1"),
            line(1, "request_waits", request="r1", model="m0"),
            "   3.1 core-1 "
            + line(2, "move_planned", model="m0", target="e1"),
            line(3, "order_sent", model="m9", target="e9"),
            line(4, "request_answered", request="r2", target="e1"),
            line(9, "target_gone", target="e1"),
            "no log line",
        ],
    )
    assert status is ExitStatus.OK
    assert [row["event"] for row in rows] == [
        "request_waits",
        "move_planned",
        "request_answered",
    ]
    assert "1 lines were no log lines" in problems


def test_a_request_that_no_line_names_is_an_error(tmp_path):
    status, rows, problems = explain(tmp_path, [line(1, "target_gone")])
    assert status is ExitStatus.ERROR
    assert rows == []
    assert "no line names the request" in problems
