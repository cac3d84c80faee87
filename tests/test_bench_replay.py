"""A bounded replay on real processes keeps what must always hold."""

import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import pytest

from bench import replay

TIMEOUT_S = 110
INTERRUPTED = 130
MUST_BE_ZERO = (
    "over_commits",
    "double_runs",
    "broken_streams",
    "wrong_answers",
    "false_refusals",
    "streams_cut_by_unload",
    "unreachable_models",
    "sheet_reverts",
    "bookings_lost",
)


@pytest.mark.timeout(120)
def test_small_trace_keeps_the_invariants(tmp_path):
    report = tmp_path / "report.json"
    command = [sys.executable, "-m", "bench.replay", "small"]
    process = subprocess.run(
        [*command, "--failures=20", f"--json={report}"],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    assert report.exists(), process.stdout + process.stderr
    figures = json.loads(report.read_text())["figures"]
    broken = {n: figures[n] for n in MUST_BE_ZERO if figures[n] != 0}
    assert broken == {}, process.stdout
    assert process.returncode == 0, process.stdout


def find_processes(words):
    """Return the command lines that contain all words."""
    found = []
    for path in pathlib.Path("/proc").glob("[0-9]*/cmdline"):
        try:
            command = path.read_bytes().replace(b"\0", b" ").decode()
        except OSError:
            continue
        if all(word in command for word in words):
            found.append(command)
    return found


@pytest.mark.timeout(120)
def test_interrupt_ends_all_that_was_started(tmp_path):
    process = subprocess.Popen(
        [sys.executable, "-m", "bench.replay", "small"],
        env=os.environ | {"TMPDIR": str(tmp_path)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )
    try:
        until = time.monotonic() + TIMEOUT_S / 2
        daemon = [str(tmp_path), "dotterelbridge.daemon"]
        while not find_processes(daemon):
            assert time.monotonic() < until, "no daemon was started"
            time.sleep(0.1)
        process.send_signal(signal.SIGINT)
        assert process.wait(TIMEOUT_S / 2) == INTERRUPTED
    finally:
        process.kill()
        process.wait()
    assert find_processes([str(tmp_path)]) == []


def test_unknown_trace_is_refused_by_name(capsys):
    with pytest.raises(SystemExit):
        replay.parse_arguments([])
    assert replay.main(["no-such-trace"]) == 2
    assert "no-such-trace" in capsys.readouterr().err


def test_against_a_policy_changes_only_the_placement():
    parsed = replay.parse_arguments(["small", "--chooser", "random"])
    overrides = replay.create_overrides(parsed, "lru")
    assert overrides == {
        "routing": {"chooser": "random"},
        "placement": {"policy": "lru"},
    }


def test_deployment_comes_from_the_outcome_file():
    parsed = replay.parse_arguments(["burst"])
    trace = pathlib.Path(replay.BENCH / "traces" / "burst.jsonl")
    found = replay.find_deployment(parsed, trace)
    assert found.name == "liffeyside.ini"
