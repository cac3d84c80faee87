"""The generated pages match the code."""

import pathlib

import pytest

from dotterelbridge import catalogue
from dotterelbridge import settings_reference

DOCS = pathlib.Path(__file__).parent.parent / "docs"


def test_numbers_are_unique():
    numbers = [event.number for event in catalogue.list_events()]
    assert len(numbers) == len(set(numbers))


@pytest.mark.parametrize(
    ("page", "render"),
    [
        ("EVENTS.md", catalogue.render_markdown),
        ("SETTINGS.md", settings_reference.render_markdown),
    ],
)
def test_page_matches_the_code(page, render):
    assert (DOCS / page).read_text() == render(), (
        f"run 'make docs' and commit docs/{page}"
    )
