"""What a process meets while it starts: signals, and a settings file that is
being replaced."""

import io
from pathlib import Path
import signal
import subprocess
import sys

import pytest

from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus
from dotterelbridge.clock import SystemClock
from dotterelbridge.errors import SettingsError
from dotterelbridge.nodes.daemon import run_node
from dotterelbridge.nodes.settings import load_node_settings
from tests.nodes.test_node_template import TEMPLATE
from tests.nodes.test_node_template import create_fields
from tests.nodes.test_node_template import render_template

ROOT = Path(__file__).resolve().parent.parent.parent
SETTINGS = render_template(TEMPLATE.read_text(), create_fields())

SIGNAL_DURING_IMPORTS = """
import os, runpy, signal, sys
class Signaller:
    def find_spec(self, name, path=None, target=None):
        if name == "documents":
            os.kill(os.getpid(), signal.SIGHUP)
sys.meta_path.insert(0, Signaller())
runpy.run_path("platform/launch.py", run_name="launched")
from dotterelbridge import early_signals
print(early_signals.take_reload_signal())
"""


def test_sighup_while_modules_are_imported_is_kept():
    # Guards against a process that ends as its settings change at its start.
    result = subprocess.run(
        [sys.executable, "-c", SIGNAL_DURING_IMPORTS],
        cwd=ROOT,
        capture_output=True,
        text=True,
        env={"PYTHONPATH": f"{ROOT / 'platform'}:{ROOT}"},
    )
    assert result.returncode != -signal.SIGHUP
    assert result.stdout.strip() == "True", result.stderr


class ReplacingClock(SystemClock):
    """Completes the settings file once the process has slept twice."""

    def __init__(self, path: Path) -> None:
        self._path = path
        self.sleeps = 0

    async def sleep(self, duration) -> None:
        self.sleeps += 1
        if self.sleeps == 2:
            self._path.write_text(SETTINGS)


class FakeNode:
    async def run_components(self) -> None:
        signal.raise_signal(signal.SIGTERM)

    async def drain(self) -> None:
        pass


def start(path, clock):
    """Start a node; return its status, and whether it was created."""
    created = []

    def create_node(settings, settings_path, clock):
        created.append(settings)
        return FakeNode()

    env = Environment(stdout=io.StringIO(), stderr=io.StringIO(), clock=clock)
    return run_node(str(path), create_node, env), created


@pytest.mark.parametrize("content", [None, "", SETTINGS[:300], "[node]\n"])
def test_settings_that_are_being_replaced_are_read_again(tmp_path, content):
    # Guards against a process that does not start beside a change.
    path = tmp_path / "node.ini"
    if content is not None:
        path.write_text(content)
    clock = ReplacingClock(path)
    status, created = start(path, clock)
    assert status is ExitStatus.OK
    assert [s.node.name for s in created] == ["core-a-1"]


def test_settings_with_faults_end_the_process_in_the_end(tmp_path):
    path = tmp_path / "node.ini"
    path.write_text("[node]\n")
    clock = ReplacingClock(tmp_path / "other.ini")
    status, created = start(path, clock)
    assert status is ExitStatus.ERROR
    assert not created
    assert clock.sleeps > 2


def test_settings_file_that_ends_early_has_faults_or_is_usable(tmp_path):
    # Guards against an error of another kind, which would end the process.
    path = tmp_path / "node.ini"
    for size in range(len(SETTINGS)):
        path.write_text(SETTINGS[:size])
        try:
            settings = load_node_settings(str(path))
        except SettingsError:
            continue
        settings.list_seeds()
        settings.describe_own_vm()
