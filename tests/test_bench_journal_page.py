"""The page of the platform's runs says what failed, too."""

from bench.journal_page import Day
from bench.journal_page import Run
from bench.journal_page import read_runs
from bench.journal_page import render_page


def create_day(**fields):
    defaults = {
        "name": "quiet-1",
        "seed": 7,
        "kind": "quiet",
        "worth": 0.8,
        "score": 0.5,
        "top": 0.9,
        "rules": {},
        "fault": None,
        "gate": True,
    }
    return Day(**(defaults | fields))


def create_run(command="run", days=(), **fields):
    defaults = {
        "entry": "abc",
        "command": command,
        "site": "lbc-router",
        "why": "because",
        "score": None,
        "is_gate_passed": False,
        "days": list(days),
    }
    return Run(**(defaults | fields))


def test_broken_rules_stand_in_the_table_of_runs():
    page = render_page([create_run(days=[create_day(rules={"LIMIT": 1})])])
    assert "| quiet-1 | 7 | 0.800 | LIMIT 1 | because |" in page


def test_a_run_that_was_ended_stands_there_too():
    assert "| abc | lbc-router | none |" in render_page([create_run()])


def test_a_hunt_names_the_days_that_broke_rules():
    days = [create_day(), create_day(name="hunt-1-2", rules={"LOST": 1})]
    page = render_page([create_run("hunt", days)])
    assert "2 days" in page
    assert "1 with a rule broken (hunt-1-2: LOST 1)" in page


def test_the_newest_score_of_a_site_is_where_it_stands():
    old = create_run("score", [create_day(worth=0.1)], score=0.1)
    new = create_run(
        "score", [create_day(worth=0.7)], score=0.6, is_gate_passed=True
    )
    standing = render_page([old, new]).split("## Hunts")[0]
    assert "| 0.700 |" in standing
    assert "| 0.100 |" not in standing
    assert "lbc-router 0.100, GATE failed" in standing
    assert "lbc-router 0.600, GATE passed" in standing


def test_the_committed_journal_can_be_read():
    assert sum(1 for _ in read_runs()) > 100
