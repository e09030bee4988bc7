"""The operators' command line."""

from __future__ import annotations

import asyncio
import secrets
import sys
import time

import fire
import msgspec
from fennelhill_core.codes import CODES
from fennelhill_core.settings import Settings, SettingsError, hash_token

from fennelhill.fleet import ask_all, merge_events, render_event

EXIT_PROBLEM = 1
EXIT_BAD_SETTINGS = 2
TOKEN_BYTES = 24
MS_PER_S = 1000


class Fennelhill:
    """Looks at a fennelhill fleet, and explains what it did.

    Start here:

        fennelhill check fleet.yaml               is the settings file usable?
        fennelhill status fleet.yaml              who is up, who leads, who waits?
        fennelhill timeline fleet.yaml            what happened, and why?
        fennelhill explain 2002                   what does a result code mean?
        fennelhill token                          a bearer token for a customer team
    """

    def check(self, settings: str) -> None:
        """Check a settings file and print every problem.

        Parameters
        ----------
        settings : str
            Path of the YAML file.
        """
        loaded = _load(settings)
        hosts, groups = len(loaded.entry_hosts), len(loaded.groups)
        print(f"{settings}: valid, {hosts} entry hosts and {groups} database groups")

    def status(self, settings: str) -> None:
        """Print what each daemon believes; exit 1 if one does not answer.

        Parameters
        ----------
        settings : str
            Path of the YAML file.
        """
        replies = asyncio.run(ask_all(_load(settings), "/status"))
        for reply in replies:
            name = f"{reply.host.id:<12} {reply.host.zone:<8}"
            if reply.problem:
                print(f"{name} no answer: {reply.problem}")
                continue
            print(f"{name} {_summarize(msgspec.json.decode(reply.body))}")
        if any(reply.problem for reply in replies):
            raise SystemExit(EXIT_PROBLEM)

    def timeline(
        self, settings: str, group: str = "", kind: str = "", last_s: float = 3600
    ) -> None:
        """Print the events of all daemons as one line of time.

        Parameters
        ----------
        settings : str
            Path of the YAML file.
        group : str
            Only events of this database group.
        kind : str
            Only events whose kind begins so, as ``failover``.
        last_s : float
            How far to look back, in seconds.
        """
        since_ms = int((time.time() - last_s) * MS_PER_S)
        replies = asyncio.run(ask_all(_load(settings), f"/events?since={since_ms}"))
        events = merge_events(replies)
        known = {event.id: event for event in events}
        for event in events:
            if event.kind.startswith(kind) and group in ("", event.group):
                print(render_event(event, known))
        for reply in replies:
            if reply.problem:
                print(f"missing: {reply.host.id}: {reply.problem}", file=sys.stderr)

    def explain(self, code: int) -> None:
        """Explain a result code.

        Parameters
        ----------
        code : int
            The number that a caller saw.
        """
        found = CODES.get(code)
        if found is None:
            print(f"there is no code {code}; see docs/ERRORS.md", file=sys.stderr)
            raise SystemExit(EXIT_PROBLEM)
        print(f"{found.number} {found.name}: {found.outcome.value}")
        print(f"  for the caller:   {found.caller}")
        print(f"  for the operator: {found.operator}")

    def token(self, token: str = "") -> None:
        """Print a bearer token and the hash that belongs into the settings.

        Parameters
        ----------
        token : str
            An existing token; empty to make a new one.
        """
        chosen = str(token) or secrets.token_urlsafe(TOKEN_BYTES)
        print(f"token:        {chosen}")
        print(f"token_sha256: {hash_token(chosen)}")


def _summarize(status: dict) -> str:
    state = "leaving" if status["closing"] else "serving"
    primaries = ", ".join(
        f"{name}: {group['primary'] or 'no primary'} (term {group['term']})"
        for name, group in sorted(status["groups"].items())
    )
    owns = ", ".join(
        f"{name} ({owner['connections']} connections, {owner['waiting']} waiting)"
        for name, owner in sorted(status["owns"].items())
    )
    return f"{state}; owns {owns or 'nothing'}; {primaries}"


def _load(path: str) -> Settings:
    try:
        return Settings.from_file(path)
    except SettingsError as error:
        for problem in error.problems:
            print(f"settings: {problem}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_SETTINGS) from error


def main() -> None:
    """Run the command line."""
    fire.Fire(Fennelhill, name="fennelhill")
