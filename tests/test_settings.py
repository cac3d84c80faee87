"""Settings files: all faults are reported at once, with allowed values."""

import pytest

from dotterelbridge.errors import SettingsError
from dotterelbridge.settings import SettingsFaults
from dotterelbridge.settings import load_settings

VALID_SETTINGS = """
[daemon]
vm = vm-1
operator_token_file = token
peer_secret_file = secret
data_folder = data

[failure_domain:dublin-a]
business = liffeyside
region = dublin

[vm:vm-1]
failure_domain = dublin-a
address = 127.0.0.1
peer_port = 9001
voter = true

[target:engine-1]
kind = engine
failure_domain = dublin-a
address = 127.0.0.1
port = 9101
fencing = ignored
"""


@pytest.fixture
def write_settings_file(tmp_path):
    def write_file(text):
        path = tmp_path / "settings.ini"
        path.write_text(text)
        return str(path)

    return write_file


def find_faults(path):
    with pytest.raises(SettingsFaults) as caught:
        load_settings(path)
    return [str(fault) for fault in caught.value.faults]


def test_valid_settings_load(write_settings_file):
    settings = load_settings(write_settings_file(VALID_SETTINGS))
    assert settings.get_own_vm().region == "dublin"
    assert settings.list_targets()[0].port == 9101
    assert settings.list_voters() == ["vm-1"]


def test_all_faults_are_reported_together(write_settings_file):
    text = (
        VALID_SETTINGS.replace("port = 9101", "port = many")
        .replace("fencing = ignored", "fencing = maybe")
        .replace("vm = vm-1", "vm = vm-1\nspeed = 3")
    )
    faults = find_faults(write_settings_file(text))
    assert len(faults) == 3
    assert faults[0].startswith("[daemon] speed: found an unknown option")
    assert "at least 0 and at most 65535" in faults[1]
    assert "enforced or ignored" in faults[2]


@pytest.mark.parametrize(
    ("old_text", "new_text", "expected_message"),
    [
        ("address = 127.0.0.1\nport", "address = host\nport", "an IP address"),
        ("port = 9101", "port = 9001", "a second time"),
        ("voter = true", "voter = false", "an odd number"),
        ("data_folder = data", "", "this VM is a voter"),
        ("kind = engine", "kind = service", "the service's name"),
        ("vm = vm-1", "vm = vm-2", "[vm:NAME] section"),
        ("[failure_domain:dublin-a]", "[failure_domain:x]", "[failure_domain"),
        ("[target:engine-1]", "[tagret:engine-1]", "an unknown section"),
    ],
)
def test_inconsistent_settings_report_what_is_allowed(
    write_settings_file, old_text, new_text, expected_message
):
    faults = find_faults(
        write_settings_file(VALID_SETTINGS.replace(old_text, new_text))
    )
    assert any(expected_message in fault for fault in faults), faults


def test_missing_file_raises_error_with_remedy():
    with pytest.raises(SettingsError, match="name a file that exists"):
        load_settings("/nowhere/settings.ini")


DIGEST = "ab" * 32


def test_teams_are_read_with_the_digests_of_their_keys(write_settings_file):
    text = VALID_SETTINGS + f"[team:norte]\nkeys = {DIGEST}, {'01' * 32}\n"
    text += "priority = urgent\n[team:sur]\n"
    teams = load_settings(write_settings_file(text)).get_teams()
    assert teams["norte"].keys == (DIGEST, "01" * 32)
    assert teams["norte"].priority.value == "urgent"
    assert teams["sur"].keys == ()


@pytest.mark.parametrize(
    ("sections", "expected_message"),
    [
        ("[team:norte]\nkeys = secret-key", "64 hexadecimal digits"),
        (f"[team:a]\nkeys = {DIGEST}\n[team:b]\nkeys = {DIGEST}", "[team:a]"),
        (f"[team:{'n' * 257}]", "Latin-1"),
    ],
)
def test_faults_of_teams_never_show_what_may_be_a_key(
    write_settings_file, sections, expected_message
):
    faults = find_faults(write_settings_file(VALID_SETTINGS + sections))
    assert any(expected_message in fault for fault in faults), faults
    assert "secret-key" not in "".join(faults)
