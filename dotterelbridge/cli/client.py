"""HTTP client for the operators' listener of a daemon."""

import argparse
from typing import Any

import httpx

from dotterelbridge.cli.argument_parsers import DEFAULT_SERVER
from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus
from dotterelbridge.errors import DotterelbridgeError
from dotterelbridge.settings import read_secret_file


class CommandFailed(DotterelbridgeError):
    """A command failed; holds the exit status of the program."""

    def __init__(self, status: ExitStatus, problem: str, remedy: str) -> None:
        super().__init__(problem, remedy)
        self.status = status


class OperatorClient:
    """Sends requests to the operators' listener."""

    def __init__(self, client: httpx.Client) -> None:
        self._client = client

    def fetch_json(self, path: str, **query: Any) -> Any:
        """Send a GET request and return the decoded JSON body."""
        return self.send_request("GET", path, query=query).json()

    def send_request(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        body: bytes | None = None,
    ) -> httpx.Response:
        """Send a request and return the response if it is successful.

        :raises CommandFailed: no response, or an error response.
        """
        try:
            response = self._client.request(
                method, path, params=query, content=body
            )
        except httpx.TransportError as error:
            raise CommandFailed(
                ExitStatus.UNREACHABLE,
                f"no response from {self._client.base_url}: {error}",
                "check --server and that the daemon runs; repeating the "
                "command is safe",
            ) from error
        if response.is_success:
            return response
        raise _create_command_error(response)


def create_client(
    args: argparse.Namespace, env: Environment
) -> OperatorClient:
    """Create a client from the arguments and environment variables."""
    server = (
        args.server
        or env.variables.get("DOTTERELBRIDGE_SERVER")
        or DEFAULT_SERVER
    )
    token_file = args.token_file or env.variables.get(
        "DOTTERELBRIDGE_TOKEN_FILE"
    )
    headers = {}
    if token_file:
        token = read_secret_file(token_file).decode("ascii", "replace")
        headers["Authorization"] = f"Bearer {token}"
    return OperatorClient(
        httpx.Client(
            base_url=server,
            headers=headers,
            timeout=args.timeout,
            transport=env.transport,
            trust_env=False,
        )
    )


def _create_command_error(response: httpx.Response) -> CommandFailed:
    try:
        error = response.json()["error"]
        problem, remedy = error["message"], error["remedy"]
    except (ValueError, KeyError, TypeError):
        problem = f"the daemon responded with status {response.status_code}"
        remedy = "check that --server names an operators' listener"
    if response.status_code == httpx.codes.UNAUTHORIZED:
        status = ExitStatus.UNAUTHORIZED
    elif response.is_client_error:
        status = ExitStatus.REFUSED
    else:
        status = ExitStatus.ERROR
    return CommandFailed(status, problem, remedy)
