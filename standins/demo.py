"""Runs an end-to-end demo on this machine: stand-ins, a daemon and calls.

``python -m standins.demo`` exits when the calls are done; with ``--keep`` it
keeps running until Ctrl-C and prints curl commands for trying it.
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

TARGETS_BY_PORT_NAME = {
    "engine1": "quote-engine-1",
    "engine2": "quote-engine-2",
    "service": "booking-1",
}
"""Name of the target on each named port."""

SHEET_CSV = """\
kind,business,name,version,base,memory_mb,priority,deadline_ms,min_copies,\
callers_at,idempotent
model,liffeyside,quotes,1,,4000,urgent,20000,1,dublin,true
adapter,liffeyside,quotes-grants,1,quotes,200,normal,20000,1,dublin,true
service,liffeyside,booking,1,,0,urgent,20000,1,dublin,false
"""

SETTINGS_TEMPLATE = """\
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
    """The processes of the demo and its calls to them."""

    def __init__(self, folder: pathlib.Path) -> None:
        self.folder = folder
        self._processes: list[subprocess.Popen] = []
        names = ("caller", "operator", "peer", "engine1", "engine2", "service")
        self.ports = dict(zip(names, find_free_ports(len(names)), strict=True))
        self.caller_url = f"http://127.0.0.1:{self.ports['caller']}"

    @property
    def daemon(self) -> subprocess.Popen:
        """The daemon process, which is started last."""
        return self._processes[-1]

    def start(self) -> None:
        """Write the configuration files and start all processes."""
        (self.folder / "token").write_text("demo-operator-token")
        (self.folder / "secret").write_text("demo-peer-secret")
        (self.folder / "sheet.csv").write_text(SHEET_CSV)
        settings = SETTINGS_TEMPLATE.format(folder=self.folder, **self.ports)
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
        wait_for(self._is_daemon_ready, "the daemon is ready")

    def _is_daemon_ready(self) -> bool:
        for process in self._processes:
            if process.poll() is not None:
                raise SystemExit(
                    f"{process.args} exited during startup; see {self.folder}"
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
        connection_options = ["--server", server, "--token-file", token]
        return run_tool([*connection_options, *arguments], Environment())

    def submit_sheet(self) -> None:
        """Submit the sheet and wait until it is active."""
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
        ) as response:
            print_response_head(response)
            for line in response.iter_lines():
                if line.startswith("data: {"):
                    choice = json.loads(line[6:])["choices"][0]
                    print(choice["delta"].get("content", ""), end="")
        print()

    def send_booking(self, key: str) -> None:
        """Send one booking with an idempotency key; print the response."""
        print(f"\nbooking with Idempotency-Key {key}:")
        response = httpx.post(
            f"{self.caller_url}/services/booking/bookings",
            json={"fitter": "Niamh", "day": "2026-12-07"},
            headers={"Idempotency-Key": key},
            timeout=CALL_TIMEOUT_S,
        )
        print_response_head(response)
        print(response.text)

    def print_run_counts(self) -> None:
        """Print the number of runs that each target reports."""
        print("\nrequests that each target ran:")
        for name in TARGETS_BY_PORT_NAME:
            url = f"http://127.0.0.1:{self.ports[name]}/standin/truth"
            runs = httpx.get(url, timeout=CALL_TIMEOUT_S).json()["runs"]
            print(
                f"  {TARGETS_BY_PORT_NAME[name]}: {sum(runs.values())} run(s)"
            )

    def stop(self) -> None:
        """Stop all processes, the daemon first."""
        for process in reversed(self._processes):
            process.send_signal(signal.SIGTERM)
            try:
                process.wait(START_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()

    def print_usage(self) -> None:
        """Print commands for trying the running demo."""
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


def print_response_head(response: httpx.Response) -> None:
    """Print the status and the headers that dotterelbridge adds."""
    names = ("dotterelbridge-request-id", "dotterelbridge-run")
    values = [f"{name}: {response.headers.get(name)}" for name in names]
    print(f"  {response.status_code}  {'  '.join(values)}")


def wait_for(condition, description: str) -> None:
    """Poll until the condition holds; exit after START_TIMEOUT_S."""
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        if condition():
            return
        time.sleep(0.1)
    raise SystemExit(f"timed out waiting until {description}")


def run_scenario(demo: Demo) -> None:
    """Send the calls of the demo and print the responses."""
    demo.submit_sheet()
    demo.send_chat()
    demo.send_booking("k-1")
    demo.send_booking("k-1")
    demo.print_run_counts()
    demo.run_tool("status")
    demo.run_tool("targets")
    demo.run_tool("models")


def main() -> None:
    """Run the demo."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true")
    keep = parser.parse_args().keep
    with tempfile.TemporaryDirectory(prefix="dotterelbridge-") as folder:
        demo = Demo(pathlib.Path(folder))
        try:
            demo.start()
            run_scenario(demo)
            if keep:
                demo.print_usage()
                signal.pause()
        except KeyboardInterrupt:
            print("\nstopping")
        finally:
            demo.stop()


if __name__ == "__main__":
    main()
