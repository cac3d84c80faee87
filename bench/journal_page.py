"""Writes docs/measurements/platform.md from the entries in journal/.

python -m bench.journal_page > docs/measurements/platform.md
"""

from collections.abc import Iterator
import json
from pathlib import Path
import statistics
import sys
from typing import Any

import msgspec

JOURNAL = Path(__file__).resolve().parent.parent / "journal"
SITES = ("lbc-router", "trinacria-noleggio")

HEAD = """# On the users' platform

Days of `fleetbench`, from the entries in `journal/`, in the order in which
they were played, on one machine with 6 cores, up to six days at a time.
`worth` is the bench's own column. The same day played again with the same
code differs by up to 0.05, since placement meets other luck; a change of one
round below that is no evidence by itself. Failed rounds stand with the others;
a run without days was ended before its first. Trials are those of a forwarder
without care, before the start. `make journal` writes this page.
"""
BINDS = {
    "quiet": "the class of patient requests: loads of models that nothing "
    "holds; machines in use",
    "trouble": "streams cut with their engines and by the final fault; the "
    "3.2 s without orders after a change of the log's leader",
    "scale": "streams that pause at engines with more than some 20 a second; "
    "models that are loaded while they are asked for",
}
"""What a look at the logs of a kind of day showed."""


class Day(msgspec.Struct, frozen=True):
    """One day of a run, with the fields that the page shows."""

    name: str
    seed: int
    kind: str
    worth: float
    score: float | None
    top: float | None
    rules: dict[str, int]
    fault: str | None
    gate: bool | None

    @property
    def broken(self) -> str:
        """The rules that were broken, with their counts."""
        rules = [f"{name} {count}" for name, count in self.rules.items()]
        return ", ".join(sorted(rules)) or "-"


class Run(msgspec.Struct, frozen=True):
    """One entry of the journal."""

    entry: str
    command: str
    site: str
    why: str
    score: float | None
    is_gate_passed: bool
    days: list[Day]


def read_runs() -> Iterator[Run]:
    """Yield the entries in the order in which they were made."""
    for path in sorted(JOURNAL.glob("*.json")):
        entry = json.loads(path.read_text())
        yield Run(
            entry=entry["id"],
            command=entry["cmd"],
            site=entry.get("site") or "",
            why=entry["why"],
            score=entry.get("score"),
            is_gate_passed=bool((entry.get("figures") or {}).get("gate")),
            days=[_read_day(day) for day in entry.get("days") or []],
        )


def _read_day(day: dict[str, Any]) -> Day:
    return Day(
        name=day["name"],
        seed=day["seed"],
        kind=day.get("kind") or "",
        worth=day["G"],
        score=day.get("score"),
        top=day.get("top"),
        rules=day.get("rules") or {},
        fault=day.get("fault"),
        gate=day.get("gate"),
    )


def render_page(runs: list[Run]) -> str:
    """Return the text of the page."""
    parts = [
        HEAD,
        "\n## Where it stands\n\n",
        *_render_standing(runs),
        "\n## Hunts\n\n",
        *_render_hunts(runs),
        "\n## All runs\n\n",
        *_render_days(runs),
    ]
    return "".join(parts)


def _render_standing(runs: list[Run]) -> Iterator[str]:
    """Yield the newest score of each site, and its gates."""
    yield "| site | day | worth | score | mark `one` | what binds it |\n"
    yield "|---|---|---|---|---|---|\n"
    scores = [run for run in runs if run.command == "score"]
    for site in SITES:
        newest = [run for run in scores if run.site == site][-1:]
        for run in newest:
            for day in sorted(run.days, key=lambda day: day.name):
                yield (
                    f"| {site} | {day.name} | {day.worth:.3f} "
                    f"| {_number(day.score, 2)} | {_number(day.top, 3)} "
                    f"| {BINDS.get(day.kind, '')} |\n"
                )
    yield "\nScores in the order of the runs:\n\n"
    for run in scores:
        gate = "GATE passed" if run.is_gate_passed else "GATE failed"
        score = _number(run.score, 3)
        yield f"- {run.site} {score}, {gate}, entry {run.entry}: {run.why}\n"


def _render_hunts(runs: list[Run]) -> Iterator[str]:
    for run in runs:
        if run.command != "hunt" or not run.days:
            continue
        broken = [day for day in run.days if day.rules]
        names = "; ".join(f"{day.name}: {day.broken}" for day in broken)
        faults = sum(day.fault is not None for day in run.days)
        short = sum(day.gate is False for day in run.days)
        worths = sorted(day.worth for day in run.days)
        yield (
            f"- {run.site}, {len(run.days)} days, entry {run.entry} "
            f"({run.why}): {len(broken)} with a rule broken"
            f"{' (' + names + ')' if names else ''}, {faults} with a fault, "
            f"{short} short of the gate; worth {worths[0]:.3f} to "
            f"{worths[-1]:.3f}, median {statistics.median(worths):.3f}\n"
        )


def _render_days(runs: list[Run]) -> Iterator[str]:
    yield "| entry | site | day | seed | worth | rules broken | why |\n"
    yield "|---|---|---|---|---|---|---|\n"
    for run in runs:
        if run.command == "hunt":
            continue
        if not run.days:
            yield f"| {run.entry} | {run.site} | none | | | | {run.why} |\n"
        for day in run.days:
            yield (
                f"| {run.entry} | {run.site} | {day.name} | {day.seed} "
                f"| {day.worth:.3f} | {day.broken} | {run.why} |\n"
            )


def _number(value: float | None, digits: int) -> str:
    return "" if value is None else f"{value:.{digits}f}"


def main() -> None:
    """Print the page."""
    sys.stdout.write(render_page(list(read_runs())))


if __name__ == "__main__":
    main()
