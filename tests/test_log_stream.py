"""Logging never blocks the program and reports how much it dropped.

Also tests ``explain``, which reads log files.
"""

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


class BlockedStream(io.StringIO):
    """Stream whose writes block until it is released, like a full pipe."""

    def __init__(self) -> None:
        super().__init__()
        self.released = threading.Event()

    def write(self, text: str) -> int:
        self.released.wait()
        return super().write(text)


@pytest.fixture
def blocked_stream():
    stream = BlockedStream()
    yield stream
    stream.released.set()
    structlog.reset_defaults()


def test_full_pipe_neither_blocks_nor_grows_the_queue(blocked_stream):
    stream = QueuedStream(blocked_stream, limit=100)
    for number in range(100_000):
        stream.write(f"{number}\n")
    dropped_count = stream.pop_dropped_count()
    blocked_stream.released.set()
    stream.close()
    written_count = blocked_stream.getvalue().count("\n")
    assert written_count <= 200
    assert written_count + dropped_count == 100_000


def test_warnings_are_kept_when_info_lines_are_dropped(blocked_stream):
    stream = QueuedStream(blocked_stream, limit=100)
    configure_logs("info", "json", stream)
    log = structlog.get_logger()
    for _ in range(1000):
        log.info("ordinary")
    for _ in range(20):
        log.warning("failure")
    blocked_stream.released.set()
    stream.close()
    lines = [
        json.loads(line) for line in blocked_stream.getvalue().splitlines()
    ]
    events = [line["event"] for line in lines]
    assert events.count("failure") == 20
    assert events.count("ordinary") <= 200
    dropped_count = sum(line.get("lines_dropped_before", 0) for line in lines)
    assert dropped_count + events.count("ordinary") == 1000


def test_closed_reader_raises_no_error():
    read_end, write_end = os.pipe()
    os.close(read_end)
    stream = QueuedStream(os.fdopen(write_end, "w"))
    stream.write("lost\n")
    stream.close()
    stream.write("lost as well\n")


def run_explain(tmp_path, lines, request="r1"):
    path = tmp_path / "node.log"
    path.write_text("\n".join(lines))
    env = Environment(stdout=io.StringIO(), stderr=io.StringIO())
    status = main(["--output", "json", "explain", request, str(path)], env)
    return status, json.loads(env.stdout.getvalue()), env.stderr.getvalue()


def create_log_line(second, event, **fields):
    return json.dumps(
        {"timestamp": f"2026-01-01T00:00:0{second}Z", "event": event} | fields
    )


def test_explain_shows_events_of_the_request_and_its_target(tmp_path):
    status, rows, problems = run_explain(
        tmp_path,
        [
            create_log_line(5, "request_answered", request="r1", target="e1"),
            create_log_line(1, "request_waits", request="r1", model="m0"),
            "   3.1 core-1 "
            + create_log_line(2, "move_planned", model="m0", target="e1"),
            create_log_line(3, "order_sent", model="m9", target="e9"),
            create_log_line(4, "request_answered", request="r2", target="e1"),
            create_log_line(9, "target_gone", target="e1"),
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


def test_explain_fails_for_a_request_that_no_line_names(tmp_path):
    status, rows, problems = run_explain(
        tmp_path, [create_log_line(1, "target_gone")]
    )
    assert status is ExitStatus.ERROR
    assert rows == []
    assert "no line names the request" in problems
