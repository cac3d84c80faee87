"""The event catalogue and its page."""

import pathlib

from dotterelbridge import catalogue

PAGE = pathlib.Path(__file__).parent.parent / "docs" / "EVENTS.md"


def test_numbers_are_unique():
    numbers = [event.number for event in catalogue.list_events()]
    assert len(numbers) == len(set(numbers))


def test_page_matches_the_code():
    assert PAGE.read_text() == catalogue.render_markdown(), (
        "run 'make docs' and commit docs/EVENTS.md"
    )
