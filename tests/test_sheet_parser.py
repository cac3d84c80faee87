"""A sheet is read whole or refused with every fault at once."""

from hypothesis import given
from hypothesis import strategies as st
import pytest

from dotterelbridge.ids import Business
from dotterelbridge.ids import ItemKind
from dotterelbridge.ids import Priority
from dotterelbridge.ids import Region
from dotterelbridge.sheet.cells import COLUMNS
from dotterelbridge.sheet.cells import KnownNames
from dotterelbridge.sheet.faults import SheetInvalid
from dotterelbridge.sheet.parser import format_sheet
from dotterelbridge.sheet.parser import parse_sheet
from dotterelbridge.sheet.rows import SheetRow
from dotterelbridge.sheet.settings import SheetSettings

HEADER = ",".join(COLUMNS)
KNOWN = KnownNames(
    businesses=frozenset({Business("liffeyside"), Business("trinacria")}),
    regions=frozenset({Region("dublin"), Region("catania")}),
)
MODEL = "model,liffeyside,quote,3,,14000,urgent,800,2,dublin,yes"


def parse(*lines: str, known: KnownNames = KNOWN):
    """Parse lines under the right header."""
    content = "\n".join((HEADER, *lines)).encode()
    return parse_sheet(content, known, SheetSettings())


def find_faults(*lines: str) -> list[tuple[int, str]]:
    """Return row and column of every fault."""
    with pytest.raises(SheetInvalid) as caught:
        parse(*lines)
    return [(fault.row, fault.column) for fault in caught.value.faults]


def test_reads_all_kinds_sorted_by_name():
    rows = parse(
        MODEL,
        "",
        "adapter,trinacria,handover,1.2,quote,40,,,,dublin;catania,",
        "service,trinacria,booking,,,,normal,300,,catania,no",
    )
    assert [row.name for row in rows] == ["booking", "handover", "quote"]
    booking, handover, quote = rows
    assert not booking.idempotent
    assert handover.base == "quote"
    assert handover.callers_at == ("dublin", "catania")
    assert handover.priority is Priority.NORMAL
    assert quote.kind is ItemKind.MODEL
    assert quote.memory_mb == 14000
    assert quote.deadline_ms == 800


def test_reports_every_fault_with_row_column_and_what_is_allowed():
    with pytest.raises(SheetInvalid) as caught:
        parse(
            "modle,corrib,quote,3,,lots,soon,0,-1,mars,perhaps",
            MODEL,
            MODEL,
            "adapter,trinacria,seat,1,missing,40,,,,,",
            "model,trinacria,a@b,x y,quote,0,,,,,",
            "model,trinacria",
        )
    found = {(f.row, f.column) for f in caught.value.faults}
    assert found == {
        (2, "kind"),
        (2, "business"),
        (2, "memory_mb"),
        (2, "priority"),
        (2, "deadline_ms"),
        (2, "min_copies"),
        (2, "callers_at"),
        (2, "idempotent"),
        (3, "name"),
        (4, "name"),
        (5, "base"),
        (6, "name"),
        (6, "version"),
        (6, "base"),
        (6, "memory_mb"),
        (7, ""),
    }
    text = str(caught.value)
    assert "row 2, column business: found 'corrib'" in text
    assert "allowed: liffeyside or trinacria" in text
    assert "row 4, column name" in text
    assert "one row a name; row 2 has it" in text


@pytest.mark.parametrize(
    ("content", "message"),
    [
        (b"", "no header"),
        (b"name;kind\n", "the header kind,business"),
        (HEADER.encode() + b"\n", "at least one row"),
        (HEADER.encode("utf-16"), "UTF-16"),
        (f"{HEADER}\n{MODEL}\xe9".encode("latin-1"), "row 2: found byte 0xe9"),
        (f"{HEADER}\n\0".encode(), "row 2: found a NUL"),
        (f'{HEADER}\n"model,x'.encode(), "row 2: found broken CSV"),
        (b"x" * (4 * 1024 * 1024 + 1), "at most 4194304 bytes"),
    ],
)
def test_refuses_a_file_that_is_no_sheet(content, message):
    with pytest.raises(SheetInvalid) as caught:
        parse_sheet(content, KNOWN, SheetSettings())
    assert message in str(caught.value)


def test_reads_a_byte_order_mark_and_windows_line_ends():
    content = f"{HEADER}\r\n{MODEL}\r\n".encode("utf-8-sig")
    rows = parse_sheet(content, KNOWN, SheetSettings())
    assert [row.name for row in rows] == ["quote"]


def test_row_numbers_are_lines_of_the_file():
    quoted = 'model,liffeyside,"a\nb",3,,1,,,,,'
    assert find_faults("", quoted, "model,liffeyside,c,3,,,,,,,") == [
        (3, "name"),
        (5, "memory_mb"),
    ]


def test_limits_the_number_of_rows():
    lines = [f"model,liffeyside,m{n},3,,1,,,,," for n in range(3)]
    content = "\n".join((HEADER, *lines)).encode()
    with pytest.raises(SheetInvalid, match="at most 2 rows"):
        parse_sheet(content, KNOWN, SheetSettings(row_limit=2))


def test_a_base_must_be_a_model():
    service = "service,trinacria,booking,,,,,,,,"
    adapter = "adapter,trinacria,seat,1,booking,40,,,,,"
    assert find_faults(service, adapter) == [(3, "base")]


def test_service_names_are_checked_against_the_targets():
    known = KnownNames(services=frozenset({"booking"}))
    parse("service,trinacria,booking,,,,,,,,", known=known)
    with pytest.raises(SheetInvalid, match="allowed: booking"):
        parse("service,trinacria,bokking,,,,,,,,", known=known)


@given(st.binary(max_size=300))
def test_any_bytes_are_read_or_refused(tail):
    content = f"{HEADER}\n{MODEL}\n".encode() + tail
    try:
        rows = parse_sheet(content, KNOWN, SheetSettings())
    except SheetInvalid as error:
        assert error.faults
        return
    assert "quote" in {row.name for row in rows}


@given(
    st.lists(
        st.builds(
            SheetRow,
            kind=st.just(ItemKind.MODEL),
            business=st.sampled_from(sorted(KNOWN.businesses)),
            name=st.from_regex(r"[a-z][a-z0-9._-]{0,20}", fullmatch=True),
            version=st.from_regex(r"[0-9]{1,4}", fullmatch=True),
            memory_mb=st.integers(1, 100_000),
            priority=st.sampled_from(Priority),
            deadline_ms=st.integers(1, 100_000),
            min_copies=st.integers(1, 50),
            callers_at=st.sampled_from([(), ("dublin",)]),
            idempotent=st.booleans(),
        ),
        unique_by=lambda row: row.name,
        min_size=1,
    )
)
def test_formatted_rows_are_read_back(rows):
    content = format_sheet(rows).encode()
    read = parse_sheet(content, KNOWN, SheetSettings())
    assert read == tuple(sorted(rows, key=lambda row: row.name))
