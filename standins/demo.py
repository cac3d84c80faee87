"""Runs the whole path on this machine: stand-ins, a daemon, two calls.

``python -m standins.demo`` stops by itself; with ``--keep`` it goes on
until Ctrl-C and prints how to talk to it with curl.
"""

import argparse
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import httpx

from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.program import main as run_tool
from standins.ports import find_free_ports

START_TIMEOUT_S = 30
CALL_TIMEOUT_S = 30

TARGET_PORTS = {
    "engine1": "quote-engine-1",
    "engine2": "quote-engine-2",
    "service": "booking-1",
}
"""Targets by the name of their port."""

SHEET = """\
kind,business,name,version,base,memory_mb,priority,deadline_ms,min_copies,\
callers_at,idempotent
model,liffeyside,quotes,1,,4000,urgent,20000,1,dublin,true
adapter,liffeyside,quotes-grants,1,quotes,200,normal,20000,1,dublin,true
service,liffeyside,booking,1,,0,urgent,20000,1,dublin,false
"""

SETTINGS = """\
[daemon]
vm = dublin-vm-1
operator_port = {operator}
operator_token_file = {folder}/token
peer_secret_file = {folder}/secret
data_folder = {folder}/data
dump_file = {folder}/dump.json

[logs]
format = json

[serving]
host = 127.0.0.1
port = {caller}
balancer_lead_s = 0

[failure_domain:dublin]
business = liffeyside
region = dublin

[vm:dublin-vm-1]
failure_domain = dublin
address = 127.0.0.1
peer_port = {peer}
voter = true

[target:quote-engine-1]
kind = engine
failure_domain = dublin
address = 127.0.0.1
port = {engine1}

[target:quote-engine-2]
kind = engine
failure_domain = dublin
address = 127.0.0.1
port = {engine2}
fencing = ignored

[target:booking-1]
kind = service
failure_domain = dublin
address = 127.0.0.1
port = {service}
service = booking
"""


class Demo:
    """The processes of the demonstration and what talks to them."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._processes: list[subprocess.Popen] = []
        names = ("caller", "operator", "peer", "engine1", "engine2", "service")
        self.ports = dict(zip(names, find_free_ports(len(names)), strict=True))
        self.caller_url = f"http://127.0.0.1:{self.ports['caller']}"

    @property
    def daemon(self) -> subprocess.Popen:
        """The process of the daemon, the last one to start."""
        return self._processes[-1]

    def start(self) -> None:
        """Write the files and start all processes."""
        (self.folder / "token").write_text("demo-operator-token")
        (self.folder / "secret").write_text("demo-peer-secret")
        (self.folder / "sheet.csv").write_text(SHEET)
        settings = SETTINGS.format(folder=self.folder, **self.ports)
        (self.folder / "settings.ini").write_text(settings)
        for number in (1, 2):
            fencing = "enforced" if number == 1 else "ignored"
            self._start_engine(number, fencing)
        self._start("standins.service", "--port", self.ports["service"])
        config = self.folder / "settings.ini"
        self._start("dotterelbridge.daemon", "--config", config)
        self._wait_until_ready()

    def _start_engine(self, number: int, fencing: str) -> None:
        self._start(
            "standins.engine",
            "--port",
            self.ports[f"engine{number}"],
            "--target",
            f"quote-engine-{number}",
            "--business",
            "liffeyside",
            "--memory-mb",
            16000,
            "--kv-reserved-mb",
            4000,
            "--fencing",
            fencing,
        )

    def _start(self, module: str, *arguments: object) -> None:
        command = [sys.executable, "-m", module, *map(str, arguments)]
        log = (self.folder / f"{len(self._processes)}.log").open("wb")
        self._processes.append(
            subprocess.Popen(command, stdout=log, stderr=log)
        )

    def _wait_until_ready(self) -> None:
        wait_for(self._is_ready, "the daemon is ready")

    def _is_ready(self) -> bool:
        for process in self._processes:
            if process.poll() is not None:
                raise SystemExit(
                    f"{process.args} ended early; see {self.folder}"
                )
        try:
            return httpx.get(f"{self.caller_url}/readyz").is_success
        except httpx.TransportError:
            return False

    def run_tool(self, *arguments: str) -> int:
        """Run the command-line tool against the daemon."""
        print(f"\n$ dotterelbridge {' '.join(arguments)}", flush=True)
        server = f"http://127.0.0.1:{self.ports['operator']}"
        token = str(self.folder / "token")
        common = ["--server", server, "--token-file", token]
        return run_tool([*common, *arguments], Environment())

    def submit_sheet(self) -> None:
        """Put the sheet in force."""
        sheet = str(self.folder / "sheet.csv")
        self.run_tool("sheet", "submit", sheet, "--number", "1", "--wait")

    def send_chat(self) -> None:
        """Send one streamed chat completion and print the tokens."""
        body = {
            "model": "quotes",
            "stream": True,
            "max_tokens": 12,
            "messages": [
                {"role": "user", "content": "A quote for a walk-in shower"}
            ],
        }
        print("\nchat completion, streamed:")
        with httpx.stream(
            "POST",
            f"{self.caller_url}/v1/chat/completions",
            json=body,
            headers={"Dotterelbridge-Priority": "urgent"},
            timeout=CALL_TIMEOUT_S,
        ) as answer:
            print_head(answer)
            for line in answer.iter_lines():
                if line.startswith("data: {"):
                    choice = json.loads(line[6:])["choices"][0]
                    print(choice["delta"].get("content", ""), end="")
        print()

    def send_booking(self, key: str) -> None:
        """Send one keyed booking and print the answer."""
        print(f"\nbooking with Idempotency-Key {key}:")
        answer = httpx.post(
            f"{self.caller_url}/services/booking/bookings",
            json={"fitter": "Niamh", "day": "2026-12-07"},
            headers={"Idempotency-Key": key},
            timeout=CALL_TIMEOUT_S,
        )
        print_head(answer)
        print(answer.text)

    def show_runs(self) -> None:
        """Print what each target says that it ran."""
        print("\nwhere the requests went, as the targets tell it:")
        for name in TARGET_PORTS:
            url = f"http://127.0.0.1:{self.ports[name]}/standin/truth"
            runs = httpx.get(url, timeout=CALL_TIMEOUT_S).json()["runs"]
            print(f"  {TARGET_PORTS[name]}: {sum(runs.values())} run(s)")

    def stop(self) -> None:
        """End all processes, the daemon first."""
        for process in reversed(self._processes):
            process.send_signal(signal.SIGTERM)
            try:
                process.wait(START_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()

    def print_hints(self) -> None:
        """Print how to talk to the running set-up."""
        print(
            f"\nRunning; files in {self.folder}. Try:\n"
            f"  curl -N {self.caller_url}/v1/chat/completions "
            '-d \'{"model": "quotes", "stream": true, '
            '"messages": [{"role": "user", "content": "hi"}]}\'\n'
            f"  curl {self.caller_url}/services/booking/bookings "
            "-H 'Idempotency-Key: k-2' -d '{\"day\": \"2026-12-08\"}'\n"
            f"  dotterelbridge --server http://127.0.0.1:"
            f"{self.ports['operator']} --token-file "
            f"{self.folder}/token status\n"
            "Ctrl-C stops everything."
        )


def print_head(answer: httpx.Response) -> None:
    """Print the status and the headers that dotterelbridge adds."""
    names = ("dotterelbridge-request-id", "dotterelbridge-run")
    values = [f"{name}: {answer.headers.get(name)}" for name in names]
    print(f"  {answer.status_code}  {'  '.join(values)}")


def wait_for(condition, description: str) -> None:
    """Poll until the condition holds; give up after START_TIMEOUT_S."""
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        if condition():
            return
        time.sleep(0.1)
    raise SystemExit(f"gave up waiting until {description}")


def show_path(demo: Demo) -> None:
    """Send the calls of the demonstration and print what came back."""
    demo.submit_sheet()
    demo.send_chat()
    demo.send_booking("k-1")
    demo.send_booking("k-1")
    demo.show_runs()
    demo.run_tool("status")
    demo.run_tool("targets")
    demo.run_tool("models")


def main() -> None:
    """Run the demonstration."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true")
    keep = parser.parse_args().keep
    with tempfile.TemporaryDirectory(prefix="dotterelbridge-") as folder:
        demo = Demo(pathlib.Path(folder))
        try:
            demo.start()
            show_path(demo)
            if keep:
                demo.print_hints()
                signal.pause()
        except KeyboardInterrupt:
            print("\nstopping")
        finally:
            demo.stop()


if __name__ == "__main__":
    main()
