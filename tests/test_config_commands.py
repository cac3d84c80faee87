"""The samples that ship pass the check; faults exit with REFUSED."""

import io
import pathlib

import pytest

from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus
from dotterelbridge.cli.program import main

SAMPLES = pathlib.Path(__file__).parent.parent / "config"


def run_check(path):
    env = Environment(stdout=io.StringIO(), stderr=io.StringIO())
    status = main(["config", "check", str(path)], env)
    return status, env.stdout.getvalue(), env.stderr.getvalue()


@pytest.mark.parametrize("name", ["liffeyside.ini", "trinacria.ini"])
def test_samples_have_no_faults(name):
    status, out, err = run_check(SAMPLES / name)
    assert status is ExitStatus.OK, err
    assert "9 VMs, 8 targets, 3 voters" in out


def test_faults_are_listed_on_standard_error(tmp_path):
    path = tmp_path / "bad.ini"
    path.write_text("[daemon]\nvm = x\n[nonsense]\n")
    status, _, err = run_check(path)
    assert status is ExitStatus.REFUSED
    assert "operator_token_file: found nothing" in err
    assert "[nonsense]: found an unknown section" in err
