"""HTTP client for the operators' listener of one daemon."""

import argparse
from typing import Any

import httpx

from dotterelbridge.cli.argument_parsers import DEFAULT_SERVER
from dotterelbridge.cli.environment import Environment
from dotterelbridge.cli.exit_status import ExitStatus
from dotterelbridge.errors import DotterelbridgeError
from dotterelbridge.settings import read_secret_file


class CommandFailed(DotterelbridgeError):
    """A command failed; carries the exit status."""

    def __init__(self, status: ExitStatus, problem: str, remedy: str) -> None:
        super().__init__(problem, remedy)
        self.status = status


class OperatorClient:
    """Requests to the operators' listener."""

    def __init__(self, client: httpx.Client) -> None:
        self._client = client

    def get(self, path: str, **query: Any) -> Any:
        """Return the JSON answer to a GET."""
        return self.call("GET", path, query=query).json()

    def call(
        self,
        method: str,
        path: str,
        query: dict[str, Any] | None = None,
        body: bytes | None = None,
    ) -> httpx.Response:
        """Send a request and return a successful answer.

        :raises CommandFailed: no answer, or an error answer.
        """
        try:
            answer = self._client.request(
                method, path, params=query, content=body
            )
        except httpx.TransportError as error:
            raise CommandFailed(
                ExitStatus.UNREACHABLE,
                f"no answer from {self._client.base_url}: {error}",
                "check --server and that the daemon runs; repeating the "
                "command is safe",
            ) from error
        if answer.is_success:
            return answer
        raise _describe_failure(answer)


def create_client(
    args: argparse.Namespace, env: Environment
) -> OperatorClient:
    """Return a client as the arguments and variables say."""
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


def _describe_failure(answer: httpx.Response) -> CommandFailed:
    try:
        error = answer.json()["error"]
        problem, remedy = error["message"], error["remedy"]
    except (ValueError, KeyError, TypeError):
        problem = f"the daemon answered {answer.status_code}"
        remedy = "check that --server names an operators' listener"
    if answer.status_code == httpx.codes.UNAUTHORIZED:
        status = ExitStatus.UNAUTHORIZED
    elif answer.is_client_error:
        status = ExitStatus.REFUSED
    else:
        status = ExitStatus.ERROR
    return CommandFailed(status, problem, remedy)
