"""The daemon that a command talks to, and the files that it reads."""

import dataclasses
import json
import pathlib
import typing
import urllib.error
import urllib.request

import cappa

from buckthornhold import reasons
from buckthornhold.tools import exits
from buckthornhold.tools import tables

TIMEOUT = 15.0


@dataclasses.dataclass(kw_only=True)
class Target:
    """Where the daemon is and who asks.

    Both can be given by BUCKTHORNCTL_ADDRESS and BUCKTHORNCTL_TOKEN.
    """

    address: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("BUCKTHORNCTL_ADDRESS"),
            help="Operators' address of any daemon, as IP:port",
        ),
    ]
    token: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env("BUCKTHORNCTL_TOKEN"),
            help="The operator's token",
        ),
    ]

    def call(self, method: str, path: str, body: dict | None = None) -> dict:
        """Call the daemon; exits with the documented code on failure."""
        request = urllib.request.Request(
            f"http://{self.address}{path}",
            method=method,
            data=None if body is None else json.dumps(body).encode(),
            headers={
                "Authorization": f"Bearer {self.token}",
                "Content-Type": "application/json",
            },
        )
        try:
            with urllib.request.urlopen(request, timeout=TIMEOUT) as answer:
                return json.load(answer)
        except urllib.error.HTTPError as error:
            raise self._explain_refusal(error) from error
        except urllib.error.URLError as error:
            raise self._explain_silence(error.reason) from error
        except (OSError, ValueError) as error:
            raise self._explain_lost_answer(method, body, error) from error

    def _explain_refusal(self, error: urllib.error.HTTPError) -> cappa.Exit:
        try:
            detail = json.load(error)["error"]
        except (ValueError, KeyError, TypeError):
            tables.print_error(f"{self.address}: {error}")
            return cappa.Exit(code=exits.ExitCode.REFUSED)
        tables.print_error(f"{detail['reason']}: {detail['detail']}")
        for conflict in detail.get("conflicts", ()):
            tables.print_error(f"  {conflict['key']}")
            for side in ("base", "theirs", "mine"):
                for line in conflict[side]:
                    tables.print_error(f"    {side}: {line}")
        if detail["ran"] != reasons.Ran.UNKNOWN:
            return cappa.Exit(code=exits.ExitCode.REFUSED)
        advice = "whether it took effect is not known; ask again later"
        if detail.get("change_id"):
            advice = (
                "it may have taken effect; later ask "
                f"'buckthornctl change {detail['change_id']}'"
            )
        tables.print_error(advice)
        return cappa.Exit(code=exits.ExitCode.OUTCOME_UNKNOWN)

    def _explain_silence(self, cause) -> cappa.Exit:
        tables.print_error(f"unreachable: {self.address}: {cause}")
        return cappa.Exit(code=exits.ExitCode.UNREACHABLE)

    def _explain_lost_answer(
        self, method: str, body: dict | None, error
    ) -> cappa.Exit:
        tables.print_error(f"no answer: {self.address}: {error}")
        if method == "GET":
            return cappa.Exit(code=exits.ExitCode.UNREACHABLE)
        change_id = (body or {}).get("change_id")
        where = "see the history"
        if change_id:
            where = f"ask 'buckthornctl change {change_id}'"
        tables.print_error(f"it may have taken effect; {where}")
        return cappa.Exit(code=exits.ExitCode.OUTCOME_UNKNOWN)


def read_file(path: str) -> str:
    """Return a local file's text; exits when it can't be read."""
    try:
        return pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        tables.print_error(f"{path}: {error.strerror}")
    except UnicodeDecodeError as error:
        before = error.object[: error.start]
        line = before.count(b"\n") + 1
        tables.print_error(f"{path}:{line}: the text is not UTF-8")
    raise cappa.Exit(code=exits.ExitCode.WRONG_INPUT)


def print_json(value) -> None:
    """Print a value for programs."""
    print(json.dumps(value, ensure_ascii=False))
