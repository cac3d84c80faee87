"""Numbers and digests decide which submission is accepted."""

import pytest

from dotterelbridge.errors import InvariantViolation
from dotterelbridge.ids import Business
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import ItemName
from dotterelbridge.ids import Revision
from dotterelbridge.ids import SheetNumber
from dotterelbridge.sheet import state_machine
from dotterelbridge.sheet.delta import apply_delta
from dotterelbridge.sheet.delta import compute_changes
from dotterelbridge.sheet.delta import pack_rows
from dotterelbridge.sheet.rows import EMPTY_SHEET
from dotterelbridge.sheet.rows import SheetRow
from dotterelbridge.sheet.state_machine import Sheet
from dotterelbridge.sheet.state_machine import SubmitCommand
from dotterelbridge.sheet.state_machine import SubmitState


def make_row(name: str, version: str = "1") -> SheetRow:
    """Return a model's row."""
    return SheetRow(
        kind=ItemKind.MODEL,
        business=Business("liffeyside"),
        name=ItemName(name),
        version=version,
        memory_mb=100,
    )


def make_command(number: int, *rows: SheetRow, digest: str = ""):
    """Return a submission of a whole sheet."""
    return SubmitCommand(
        number=SheetNumber(number),
        digest=digest or f"digest-{number}",
        rows_packed=pack_rows(rows),
    )


def test_a_resend_gets_the_first_answer_also_after_later_sheets():
    sheet = Sheet()
    first = sheet.submit(make_command(1, make_row("a")))
    sheet.submit(make_command(2, make_row("b")))
    again = sheet.submit(make_command(1, make_row("a")))
    assert first.state is again.state is SubmitState.ACCEPTED
    assert again.revision == first.revision == 1
    assert again.current == 2
    assert sheet.current.revision == 2
    assert [row.name for row in sheet.current.rows] == ["b"]


def test_one_of_two_contents_under_one_number_wins():
    sheet = Sheet()
    winner = sheet.submit(make_command(7, make_row("a"), digest="x"))
    loser = sheet.submit(make_command(7, make_row("b"), digest="y"))
    assert winner.state is SubmitState.ACCEPTED
    assert loser.state is SubmitState.CONFLICT
    assert loser.digest == "x"
    assert loser.revision == winner.revision
    assert [row.name for row in sheet.current.rows] == ["a"]


def test_a_lower_number_is_stale():
    sheet = Sheet()
    sheet.submit(make_command(5, make_row("a")))
    outcome = sheet.submit(make_command(4, make_row("b")))
    assert outcome.state is SubmitState.STALE
    assert outcome.number == 5
    assert sheet.current.revision == 1


def test_changes_to_another_base_are_not_taken():
    sheet = Sheet()
    sheet.submit(make_command(1, make_row("a")))
    sheet.submit(make_command(2, make_row("a"), make_row("b")))
    changes = compute_changes((make_row("a"),), (make_row("c"),))
    command = SubmitCommand(
        number=SheetNumber(3),
        digest="d",
        base=Revision(1),
        changes=changes,
    )
    assert sheet.submit(command).state is SubmitState.BASE_CHANGED
    rows = (make_row("a"), make_row("b"))
    assert sheet.current.rows == rows


def test_remembered_submissions_are_bounded(monkeypatch):
    monkeypatch.setattr(state_machine, "REMEMBERED_SUBMISSIONS", 3)
    sheet = Sheet()
    for number in range(1, 6):
        sheet.submit(make_command(number, make_row("a")))
    states = [
        sheet.submit(make_command(number, make_row("a"))).state
        for number in range(1, 6)
    ]
    assert states == [SubmitState.STALE] * 2 + [SubmitState.ACCEPTED] * 3


def test_snapshot_carries_rows_and_remembered_submissions():
    sheet = Sheet()
    sheet.submit(make_command(1, make_row("a")))
    sheet.submit(make_command(2, make_row("b")))
    copy = Sheet()
    copy.restore_snapshot(sheet.take_snapshot())
    assert copy.current == sheet.current
    assert copy.submit(make_command(1, make_row("a"))).revision == 1
    assert copy.take_snapshot() == sheet.take_snapshot()


def test_an_older_snapshot_is_refused():
    sheet = Sheet()
    sheet.submit(make_command(1, make_row("a")))
    old = sheet.take_snapshot()
    sheet.submit(make_command(2, make_row("b")))
    with pytest.raises(InvariantViolation, match="never_falls"):
        sheet.restore_snapshot(old)
    assert sheet.current.revision == 2


def test_deltas_lead_through_the_same_revisions():
    sheet = Sheet()
    seen = []
    sheet.on_accept(lambda current, delta: seen.append((current, delta)))
    sheet.submit(make_command(1, make_row("a"), make_row("b")))
    sheet.submit(make_command(2, make_row("b", "2"), make_row("c")))
    held = EMPTY_SHEET
    for current, delta in seen:
        held = apply_delta(held, delta)
        assert held == current
    with pytest.raises(ValueError, match="does not follow"):
        apply_delta(held, seen[0][1])


def test_a_delta_to_other_rows_is_noticed():
    sheet = Sheet()
    seen = []
    sheet.on_accept(lambda current, delta: seen.append(delta))
    sheet.submit(make_command(1, make_row("a")))
    other = Sheet()
    other.submit(make_command(1, make_row("x")))
    sheet.submit(make_command(2, make_row("b"), make_row("a")))
    with pytest.raises(ValueError, match="rows of revision 2 differ"):
        apply_delta(other.current, seen[1])
