"""Generates the shipped traces: ``python -m bench.generate [--seed N]``."""

import argparse
from collections.abc import Iterator
import math
import pathlib
import random

import msgspec

from bench.trace import Call
from bench.trace import Event
from bench.trace import Fault
from bench.trace import FaultKind
from bench.trace import Request
from bench.trace import SheetChange
from bench.trace import write_trace
from dotterelbridge.ids import Business
from dotterelbridge.ids import FailureDomain
from dotterelbridge.ids import Priority
from dotterelbridge.sheet.parser import COLUMNS

TRACES = pathlib.Path(__file__).parent / "traces"
CHAT_DEADLINE_MS = 1500
BURST_DEADLINE_MS = 600
BACKGROUND_DEADLINE_MS = 20_000
SERVICE_DEADLINE_MS = 1000
HANG_UP_SHARE = 0.02
SERVICE_SHARE = 0.15


class Site(msgspec.Struct, frozen=True, kw_only=True):
    """What the generator knows of a deployment."""

    business: Business
    domains: tuple[FailureDomain, ...]
    models: int
    adapters: int


LIFFEYSIDE = Site(
    business=Business("liffeyside"),
    domains=tuple(map(FailureDomain, ("dublin", "cork", "galway"))),
    models=20,
    adapters=40,
)
TRINACRIA = Site(
    business=Business("trinacria"),
    domains=tuple(map(FailureDomain, ("catania", "palermo", "messina"))),
    models=20,
    adapters=60,
)
SMALL = Site(
    business=Business("liffeyside"),
    domains=tuple(map(FailureDomain, ("north", "south"))),
    models=3,
    adapters=2,
)


class Generator:
    """Draws the events of one trace."""

    def __init__(
        self, site: Site, seed: int, deadline_ms: int = CHAT_DEADLINE_MS
    ) -> None:
        self._site = site
        self._deadline_ms = deadline_ms
        self._random = random.Random(f"{site.business} {seed}")
        names = [f"model-{n}" for n in range(site.models)]
        names += [f"adapter-{n}" for n in range(site.adapters)]
        self._names = names
        self._weights = [1 / (rank + 1) for rank in range(len(names))]

    def draw_times(
        self, start_s: float, end_s: float, rate: float
    ) -> Iterator[int]:
        """Yield Poisson arrival times in milliseconds."""
        at = start_s + self._random.expovariate(rate)
        while at < end_s:
            yield int(at * 1000)
            at += self._random.expovariate(rate)

    def draw_day(
        self, seconds: float, least: float, most: float
    ) -> Iterator[Event]:
        """Yield a day's mix, quiet at both ends and busy at noon."""
        for at_ms in self.draw_times(0, seconds, most):
            phase = at_ms / 1000 / seconds
            rate = least + (most - least) * math.sin(math.pi * phase) ** 2
            if self._random.random() < rate / most:
                yield self.draw_request(at_ms)

    def draw_request(self, at_ms: int) -> Request:
        """Return one request of the ordinary mix."""
        if self._random.random() < SERVICE_SHARE:
            return self._draw_booking(at_ms)
        priority = self._random.choices(list(Priority), (6, 3, 1))[0]
        name = self._random.choices(self._names, self._weights)[0]
        return self.draw_chat(at_ms, name, priority)

    def draw_chat(self, at_ms: int, name: str, priority: Priority) -> Request:
        """Return one chat with a model or adapter."""
        background = priority is Priority.BACKGROUND
        hangs_up = self._random.random() < HANG_UP_SHARE
        return Request(
            at_ms=at_ms,
            business=self._site.business,
            failure_domain=self._random.choice(self._site.domains),
            call=Call.CHAT,
            model=name,
            priority=priority,
            deadline_ms=(
                BACKGROUND_DEADLINE_MS if background else self._deadline_ms
            ),
            prompt_tokens=self._random.randint(64, 768),
            output_tokens=self._random.randint(8, 96 if background else 40),
            prefix=f"{name} instructions {self._random.randint(0, 2)}",
            hang_up_after_ms=300 if hangs_up and not background else 0,
        )

    def _draw_booking(self, at_ms: int) -> Request:
        return Request(
            at_ms=at_ms,
            business=self._site.business,
            failure_domain=self._random.choice(self._site.domains),
            call=Call.SERVICE,
            service="booking",
            priority=Priority.URGENT,
            deadline_ms=SERVICE_DEADLINE_MS,
            idempotency_key=f"{self._random.getrandbits(64):016x}",
        )


def change_sheets(
    name: str, times_s: list[float], first: int = 1
) -> Iterator[SheetChange]:
    """Yield submissions that alternate between two sheets."""
    for count, at_s in enumerate(times_s):
        yield SheetChange(
            at_ms=int(at_s * 1000),
            sheet=f"{name}-{'ab'[count % 2]}.csv",
            number=first + count,
        )


def create_faults(*rows: tuple[float, FaultKind, str]) -> Iterator[Fault]:
    """Yield faults from (seconds, kind, subject)."""
    for at_s, kind, subject in rows:
        yield Fault(at_ms=int(at_s * 1000), fault=kind, subject=subject)


def create_day(site: Site, seed: int, seconds: float) -> list[Event]:
    """Return an ordinary day, compressed."""
    day = Generator(site, seed).draw_day(seconds, 3, 18)
    return [*change_sheets(site.business, [0]), *day]


def create_burst(seed: int) -> list[Event]:
    """Return a tenfold burst on one model over overnight batches.

    At the peak the work asks for about nine tenths of what all engines
    of the deployment generate, and more than those with the model have
    left.
    """
    generator = Generator(LIFFEYSIDE, seed, BURST_DEADLINE_MS)
    batches = [
        generator.draw_chat(at_ms, f"model-{at_ms % 20}", Priority.BACKGROUND)
        for at_ms in generator.draw_times(0, 60, 13)
    ]
    live = [
        generator.draw_request(at_ms)
        for at_ms in generator.draw_times(0, 60, 6)
    ]
    burst = [
        generator.draw_chat(at_ms, "model-7", Priority.URGENT)
        for rate, start_s, end_s in ((3, 0, 60), (27, 20, 40))
        for at_ms in generator.draw_times(start_s, end_s, rate)
    ]
    sheet = change_sheets(LIFFEYSIDE.business, [0])
    return [*sheet, *batches, *live, *burst]


def create_sick_targets(seed: int) -> list[Event]:
    """Return targets that go silent, slow, lost, leaving and crossed."""
    generator = Generator(LIFFEYSIDE, seed, BURST_DEADLINE_MS)
    faults = create_faults(
        (8, FaultKind.SILENCE, "target:quote-engine-1"),
        (12, FaultKind.SILENCE, "target:booking-1"),
        (18, FaultKind.SLOW, "target:quote-engine-3"),
        (30, FaultKind.CONTINUE, "target:quote-engine-3"),
        (34, FaultKind.KILL, "target:quote-engine-5"),
        (42, FaultKind.RESTART, "target:quote-engine-5"),
        (46, FaultKind.LEAVE, "target:quote-engine-4"),
        (52, FaultKind.CROSSED, "target:quote-engine-2"),
        (55, FaultKind.CONTINUE, "target:quote-engine-2"),
    )
    sheet = change_sheets(LIFFEYSIDE.business, [0])
    return [*sheet, *generator.draw_day(60, 8, 20), *faults]


def create_lost_domain(seed: int) -> list[Event]:
    """Return the loss of a whole failure domain and its return."""
    generator = Generator(TRINACRIA, seed)
    faults = create_faults(
        (20, FaultKind.KILL, "domain:palermo"),
        (40, FaultKind.RESTART, "domain:palermo"),
    )
    sheets = change_sheets(TRINACRIA.business, [0, 30, 55])
    return [*sheets, *generator.draw_day(60, 6, 12), *faults]


def create_partition(seed: int) -> list[Event]:
    """Return a domain cut off, and a control VM isolated from all VMs."""
    generator = Generator(LIFFEYSIDE, seed)
    faults = create_faults(
        (15, FaultKind.PARTITION, "domain:galway|rest"),
        (20, FaultKind.PARTITION, "vm:dublin-vm-2|rest"),
        (25, FaultKind.LOSE_ORDER, "target:quote-engine-3"),
        (45, FaultKind.HEAL, "domain:galway|rest"),
        (50, FaultKind.HEAL, "vm:dublin-vm-2|rest"),
    )
    sheets = change_sheets(LIFFEYSIDE.business, [0, 30, 60])
    return [*sheets, *generator.draw_day(65, 6, 12), *faults]


def create_rolling_restart(seed: int) -> list[Event]:
    """Return a restart of each VM in turn while the sheet changes."""
    generator = Generator(TRINACRIA, seed)
    restarts = create_faults(
        *(
            (6 + 6 * number, FaultKind.RESTART, f"vm:{domain}-vm-{index}")
            for number, (index, domain) in enumerate(
                (index, domain)
                for index in (1, 2, 3)
                for domain in TRINACRIA.domains
            )
        )
    )
    sheets = change_sheets(
        TRINACRIA.business, [0, *(4.0 * n for n in range(1, 15))]
    )
    return [*sheets, *generator.draw_day(65, 6, 12), *restarts]


def create_small(seed: int) -> list[Event]:
    """Return the bounded trace that CI replays."""
    generator = Generator(SMALL, seed)
    faults = create_faults(
        (2, FaultKind.LOSE_ORDER, "target:engine-1"),
        (3, FaultKind.RESTART, "vm:south-vm-1"),
        (4, FaultKind.PARTITION, "domain:south|rest"),
        (7, FaultKind.HEAL, "domain:south|rest"),
        (8, FaultKind.KILL, "vm:north-vm-2"),
    )
    sheets = change_sheets("small", [0, 2.5, 9])
    return [*sheets, *generator.draw_day(10, 4, 12), *faults]


def format_rows(site: Site, deadline_ms: int) -> Iterator[str]:
    """Yield the lines of a sheet with the site's items."""
    yield ",".join(COLUMNS)
    tail = f"normal,{deadline_ms},1,,true"
    for number in range(site.models):
        yield f"model,{site.business},model-{number},1,,3000,{tail}"
    for number in range(site.adapters):
        base = f"model-{number % site.models}"
        name = f"adapter-{number}"
        yield f"adapter,{site.business},{name},1,{base},100,{tail}"
    yield (
        f"service,{site.business},booking,1,,0,urgent,"
        f"{SERVICE_DEADLINE_MS},1,,false"
    )


def main() -> None:
    """Write all traces and their sheets."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=7)
    seed = parser.parse_args().seed
    sites = {
        "liffeyside": LIFFEYSIDE,
        "trinacria": TRINACRIA,
        "small": SMALL,
    }
    for name, site in sites.items():
        for suffix, deadline_ms in (("a", 1500), ("b", 2000)):
            path = TRACES / f"{name}-{suffix}.csv"
            path.write_text("\n".join(format_rows(site, deadline_ms)) + "\n")
    traces = {
        "liffeyside-day": create_day(LIFFEYSIDE, seed, 60),
        "trinacria-day": create_day(TRINACRIA, seed, 60),
        "burst": create_burst(seed),
        "sick-targets": create_sick_targets(seed),
        "lost-domain": create_lost_domain(seed),
        "partition": create_partition(seed),
        "rolling-restart": create_rolling_restart(seed),
        "small": create_small(seed),
    }
    for name, events in traces.items():
        write_trace(TRACES / f"{name}.jsonl", events)


if __name__ == "__main__":
    main()
