"""Event numbers are unique and the generated pages are up to date."""

import pathlib

import pytest

from dotterelbridge import catalogue
from dotterelbridge import settings_reference

DOCS_FOLDER = pathlib.Path(__file__).parent.parent / "docs"


def test_event_numbers_are_unique():
    numbers = [event.number for event in catalogue.list_events()]
    assert len(numbers) == len(set(numbers))


@pytest.mark.parametrize(
    ("page", "render"),
    [
        ("EVENTS.md", catalogue.render_markdown),
        ("SETTINGS.md", settings_reference.render_markdown),
    ],
)
def test_generated_page_is_up_to_date(page, render):
    assert (DOCS_FOLDER / page).read_text() == render(), (
        f"run 'make docs' and commit docs/{page}"
    )
