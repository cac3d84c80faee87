"""Keyed bookings through real daemons that are killed and stopped.

``python -m bench.keyed --seed N`` starts nine daemons and a booking
service for each failure domain. Callers send each booking again through
other VMs until it is answered, while daemons are killed without warning,
started again, stopped by SIGSTOP and continued. The services' own records
judge: no key ran twice, each answer belongs to its booking, and a key of
which every answer said that it did not run did not run.
"""

import argparse
from collections.abc import Iterator
import contextlib
import json
from pathlib import Path
import random
import subprocess
import sys
import tempfile
import time
import uuid

import anyio
import httpx

from bench.daemons import DOMAINS
from bench.daemons import Daemons
from bench.state_group import print_result
from bench.state_group import silence_logs
from standins.ports import find_free_ports
from standins.service import compute_expected_response

START_LIMIT_S = 60
CALL_LIMIT_S = 8.0
TRIES = 6
SHEET = """\
kind,business,name,version,base,memory_mb,priority,deadline_ms,min_copies,\
callers_at,idempotent
service,liffeyside,booking,,,,urgent,5000,1,,no
"""
SERVICE_SECTION = """
[target:booking-{domain}]
kind = service
failure_domain = {domain}
address = 127.0.0.1
port = {port}
service = booking
"""
HOME_SECTION = """
[claims]
home_keys = true
key_skew_s = 5
"""


class Services:
    """One booking service for each failure domain."""

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self.ports = dict(zip(DOMAINS, find_free_ports(3), strict=True))
        self._processes: list[subprocess.Popen] = []

    def start(self) -> None:
        """Start all services."""
        for domain, port in self.ports.items():
            command = [
                sys.executable,
                "-m",
                "standins.service",
                "--port",
                str(port),
                "--target",
                f"booking-{domain}",
                "--delay-ms",
                "150",
                "--truth-file",
                str(self._truth_path(domain)),
            ]
            self._processes.append(subprocess.Popen(command))

    def stop(self) -> None:
        """End all services."""
        for process in self._processes:
            process.kill()
            process.wait()

    def read_runs(self) -> Iterator[str]:
        """Return the key of every run."""
        for domain in self.ports:
            path = self._truth_path(domain)
            if path.exists():
                for line in path.read_text().splitlines():
                    with contextlib.suppress(ValueError):
                        yield json.loads(line)["key"]

    def describe(self) -> str:
        """Return the services' sections of the settings."""
        return "".join(
            SERVICE_SECTION.format(domain=domain, port=port)
            for domain, port in self.ports.items()
        )

    def _truth_path(self, domain: str) -> Path:
        return self._folder / f"truth-{domain}"


class Booking:
    """One booking and what its caller was told."""

    def __init__(self, number: int, home: str | None) -> None:
        key = str(_create_uuid7())
        self.key = f"~{home}~{key}" if home else key
        self.body = json.dumps({"marker": f"booking-{number}"}).encode()
        self.told: list[str] = []

    @property
    def certainly_not_run(self) -> bool:
        """Whether every answer said that the booking did not run."""
        return bool(self.told) and set(self.told) == {"no"}


class KeyedTrial:
    """Callers and faults over one set of daemons."""

    def __init__(self, daemons: Daemons, seed: int, homes: bool) -> None:
        self.daemons = daemons
        self.bookings: list[Booking] = []
        self.wrong_answers = 0
        self.answered = 0
        self.faults = {"killed": 0, "stopped": 0}
        self._random = random.Random(seed)
        self._homes = homes
        self._ends_at = 0.0

    async def run(self, duration_s: float, callers: int) -> None:
        """Load and disturb for a while."""
        self._ends_at = time.monotonic() + duration_s
        async with anyio.create_task_group() as group:
            group.start_soon(self._disturb)
            for _ in range(callers):
                group.start_soon(self._book_on_and_on)

    def _is_over(self) -> bool:
        return time.monotonic() >= self._ends_at

    async def _disturb(self) -> None:
        while not self._is_over():
            await anyio.sleep(self._random.uniform(1, 4))
            name = self._random.choice(self.daemons.names)
            if self._random.random() < 0.6:
                self.faults["killed"] += 1
                self.daemons.kill(name)
                await anyio.sleep(self._random.uniform(0, 2))
                self.daemons.start(name)
            else:
                self.faults["stopped"] += 1
                self.daemons.freeze(name)
                await anyio.sleep(self._random.uniform(0.5, 6))
                self.daemons.resume(name)

    async def _book_on_and_on(self) -> None:
        async with httpx.AsyncClient(
            timeout=CALL_LIMIT_S, trust_env=False
        ) as client:
            while not self._is_over():
                home = None
                if self._homes and self._random.random() < 0.5:
                    home = self._random.choice(DOMAINS)
                booking = Booking(len(self.bookings), home)
                self.bookings.append(booking)
                await self._book(client, booking)
                await anyio.sleep(self._random.uniform(0, 0.3))

    async def _book(self, client, booking: Booking) -> None:
        """Send a booking again and again through any VM."""
        for _ in range(TRIES):
            name = self._random.choice(self.daemons.names)
            url = self.daemons.find_caller_url(name)
            timeout = self._random.choice([0.2, CALL_LIMIT_S])
            try:
                answer = await client.post(
                    f"{url}/services/booking/bookings",
                    content=booking.body,
                    headers={
                        "Idempotency-Key": booking.key,
                        "Content-Type": "application/json",
                    },
                    timeout=timeout,
                )
            except httpx.HTTPError:
                booking.told.append("lost")
                await anyio.sleep(0.5)
                continue
            run = answer.headers.get("Dotterelbridge-Run", "missing")
            booking.told.append(run)
            if answer.status_code == httpx.codes.OK:
                self._check_answer(booking, answer)
                # One more resend must get the same answer.
                if self._random.random() < 0.7:
                    return
            await anyio.sleep(0.5)

    def _check_answer(self, booking: Booking, answer) -> None:
        self.answered += 1
        expected = {
            **compute_expected_response("bookings", booking.body),
            "run": 1,
        }
        if answer.json() != expected:
            self.wrong_answers += 1


def measure(seed: int, duration_s: float, callers: int, homes: bool) -> bool:
    """Run one trial; returns whether all rules held."""
    with tempfile.TemporaryDirectory() as folder:
        services = Services(Path(folder))
        more = services.describe() + (HOME_SECTION if homes else "")
        daemons = Daemons(Path(folder), more)
        trial = KeyedTrial(daemons, seed, homes)
        try:
            services.start()
            for name in daemons.names:
                daemons.start(name)
            _submit_sheet(daemons)
            # Home groups refuse keys for two clock skews after birth.
            time.sleep(15 if homes else 3)
            anyio.run(trial.run, duration_s, callers)
            runs = list(services.read_runs())
        finally:
            daemons.kill_all()
            services.stop()
    return _report(trial, runs, seed, homes)


def _submit_sheet(daemons: Daemons) -> None:
    ends_at = time.monotonic() + START_LIMIT_S
    while time.monotonic() < ends_at:
        with (
            contextlib.suppress(httpx.HTTPError),
            daemons.create_client(daemons.names[-1]) as client,
        ):
            answer = client.put(
                "/operators/v1/sheet", params={"number": 1}, content=SHEET
            )
            if answer.is_success:
                return
        time.sleep(0.5)
    raise SystemExit("the daemons accepted no sheet")


def _report(
    trial: KeyedTrial, runs: list[str], seed: int, homes: bool
) -> bool:
    ran = set(runs)
    untrue = [
        booking.key
        for booking in trial.bookings
        if booking.certainly_not_run and booking.key in ran
    ]
    told = [word for booking in trial.bookings for word in booking.told]
    ran_twice = len(runs) - len(ran)
    print_result(
        "keyed bookings under faults",
        seed=seed,
        home_keys=homes,
        bookings=len(trial.bookings),
        calls=len(told),
        answered=trial.answered,
        told={word: told.count(word) for word in sorted(set(told))},
        ran=len(ran),
        ran_twice=ran_twice,
        wrong_answers=trial.wrong_answers,
        untrue_refusals=len(untrue),
        **trial.faults,
    )
    return not (ran_twice or trial.wrong_answers or untrue)


def _create_uuid7() -> uuid.UUID:
    now_ms = time.time_ns() // 1_000_000
    tail = random.getrandbits(62) | 0b10 << 62
    number = now_ms << 80 | 0x7 << 76 | random.getrandbits(12) << 64 | tail
    return uuid.UUID(int=number)


def main() -> None:
    """Run one trial; exit status 1 when a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--duration", type=float, default=40.0)
    parser.add_argument("--callers", type=int, default=12)
    parser.add_argument("--homes", action="store_true")
    args = parser.parse_args()
    silence_logs()
    held = measure(args.seed, args.duration, args.callers, args.homes)
    sys.exit(0 if held else 1)


if __name__ == "__main__":
    main()
