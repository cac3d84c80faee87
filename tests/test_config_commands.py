"""Tests of ``config check``: the samples in config/ pass, faults do not."""

import io
import pathlib

import pytest

from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus
from dotterelbridge.cli.program import main

SAMPLES_FOLDER = pathlib.Path(__file__).parent.parent / "config"


def run_config_check(path):
    env = Environment(stdout=io.StringIO(), stderr=io.StringIO())
    status = main(["config", "check", str(path)], env)
    return status, env.stdout.getvalue(), env.stderr.getvalue()


@pytest.mark.parametrize("name", ["liffeyside.ini", "trinacria.ini"])
def test_samples_have_no_faults(name):
    status, out, err = run_config_check(SAMPLES_FOLDER / name)
    assert status is ExitStatus.OK, err
    assert "9 VMs, 8 targets, 3 voters" in out


def test_faults_are_listed_on_standard_error(tmp_path):
    path = tmp_path / "bad.ini"
    path.write_text("[daemon]\nvm = x\n[nonsense]\n")
    status, _, err = run_config_check(path)
    assert status is ExitStatus.REFUSED
    assert "operator_token_file: found nothing" in err
    assert "[nonsense]: found an unknown section" in err


NODE_SETTINGS = """
[node]
name = front-1
role = {role}
address = 10.1.0.30
failure_domain = dub-a
peer_port = 7380

[discovery]
seeds = 10.1.0.33:8144,10.2.0.37:8144
secret = s

[failure_domain:dub-a]
region = dub
"""


def test_node_settings_are_checked(tmp_path):
    path = tmp_path / "node.ini"
    path.write_text(NODE_SETTINGS.format(role="entry"))
    status, out, err = run_config_check(path)
    assert status is ExitStatus.OK, err
    assert "role entry, 2 seeds, 1 failure domains" in out


def test_faults_in_node_settings_are_listed(tmp_path):
    path = tmp_path / "node.ini"
    path.write_text(NODE_SETTINGS.format(role="nobody"))
    status, _, err = run_config_check(path)
    assert status is ExitStatus.REFUSED
    assert "[node] role" in err
