"""The quarantine: its table on the log, and what is in force on a VM."""

from dotterelbridge.quarantine.quarantine import MAX_QUARANTINED_TRAITS
from dotterelbridge.quarantine.quarantine import ChangeKind
from dotterelbridge.quarantine.quarantine import QuarantinedTrait
from dotterelbridge.quarantine.quarantine import QuarantineSnapshot
from dotterelbridge.quarantine.quarantine import QuarantineTable
from dotterelbridge.quarantine.quarantine import encode_change
from tests.fleet.support import create_quarantine


def apply(table, kind, trait, vm="") -> None:
    table.apply(1, encode_change(kind, trait, vm))


def list_traits(table) -> list[str]:
    return [entry.trait for entry in table.snapshot.traits]


def test_changes_are_applied_once():
    table = QuarantineTable()
    for _ in range(2):
        apply(table, ChangeKind.ADD, "p1")
    assert (list_traits(table), table.snapshot.version) == (["p1"], 1)
    for _ in range(2):
        apply(table, ChangeKind.RELEASE, "p1")
    assert (list_traits(table), table.snapshot.version) == ([], 2)


def test_trial_of_a_released_part_is_void():
    table = QuarantineTable()
    apply(table, ChangeKind.TRIAL, "p1", "f1")
    assert table.snapshot == QuarantineSnapshot()


def test_number_of_parts_is_bounded():
    table = QuarantineTable()
    for number in range(MAX_QUARANTINED_TRAITS + 5):
        apply(table, ChangeKind.ADD, f"p{number}")
    assert len(list_traits(table)) == MAX_QUARANTINED_TRAITS


def test_snapshot_restores_parts_and_version():
    table = QuarantineTable()
    apply(table, ChangeKind.ADD, "p1")
    apply(table, ChangeKind.TRIAL, "p1", "f1")
    restored = QuarantineTable()
    restored.restore_snapshot(table.take_snapshot())
    assert restored.snapshot == table.snapshot


# Guards against a quarantine that ends when a leader reopens its log.
def test_quarantine_in_force_never_goes_back():
    quarantine = create_quarantine("f1", "p1")
    quarantine.activate(QuarantineSnapshot())
    assert quarantine.find_blocked(["p0", "p1"]) == {"p1"}
    quarantine.activate(QuarantineSnapshot(2))
    assert quarantine.find_blocked(["p1"]) == set()


def start_trial(quarantine, version, trial, vm) -> None:
    entry = QuarantinedTrait("p1", trial, vm)
    quarantine.activate(QuarantineSnapshot(version, (entry,)))


def test_trial_is_one_request_of_one_vm():
    own, other = (create_quarantine(vm, "p1") for vm in ("f1", "f2"))
    for quarantine in (own, other):
        start_trial(quarantine, 2, 1, "f1")
    assert not other.take_trial({"p1"})
    assert own.take_trial({"p1"})
    assert not own.take_trial({"p1"})
    # A change of another trait does not start the trial again.
    entries = (QuarantinedTrait("p1", 1, "f1"), QuarantinedTrait("p2"))
    own.activate(QuarantineSnapshot(3, entries))
    assert not own.take_trial({"p1"})
    start_trial(own, 4, 2, "f1")
    assert own.take_trial({"p1"})


def test_vm_that_starts_during_a_trial_takes_no_trait():
    quarantine = create_quarantine("f1")
    start_trial(quarantine, 5, 1, "f1")
    assert not quarantine.take_trial({"p1"})


def test_trial_given_to_another_vm_is_withdrawn():
    quarantine = create_quarantine("f1", "p1")
    start_trial(quarantine, 2, 1, "f1")
    start_trial(quarantine, 3, 2, "f2")
    assert not quarantine.take_trial({"p1"})
