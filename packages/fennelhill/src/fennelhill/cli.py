"""The operators' command line."""

from __future__ import annotations

import asyncio
import secrets
import sys
import time
from pathlib import Path
from urllib.parse import urlencode

import fire
import msgspec
import yaml
from fennelhill_core.codes import CODES
from fennelhill_core.digest import key_digest
from fennelhill_core.platform import StoreUnavailableError
from fennelhill_core.platform_clients import HttpTableService
from fennelhill_core.settings import (
    EntryHost,
    Settings,
    SettingsError,
    Team,
    hash_token,
)
from fennelhill_core.subtrees import SubtreeStore

from fennelhill.fleet import (
    MS_PER_S,
    fetch_from_all,
    fetch_from_hosts,
    merge_events,
    render_event,
)
from fennelhill.loglines import (
    STANDARD_INPUT,
    LogLine,
    read_log,
    request_history,
    timeline,
)
from fennelhill.organisations import (
    describe_organisation,
    organisation_name,
    organisation_samples,
)

EXIT_PROBLEM = 1
EXIT_BAD_INPUT = 2
TOKEN_BYTES = 24
CHANGE_ID_BYTES = 8
POLL_INTERVAL_S = 0.5
SETTINGS_SUFFIXES = (".yaml", ".yml")


class Fennelhill:
    """Inspects a fennelhill fleet, explains its decisions and changes team settings.

    Start here:

        fennelhill check fleet.yaml               is the settings file valid?
        fennelhill status fleet.yaml              state of hosts, primaries and queues
        fennelhill timeline fleet.yaml            what happened, and why?
        fennelhill timeline LOG...                the same from log files
        fennelhill explain REQUEST_ID LOG...      why did this request end this way?
        fennelhill team_get fleet.yaml TEAM       a team's settings and their revision
        fennelhill team_put fleet.yaml TEAM F.yaml --expect=REVISION
        fennelhill explain 2002                   what does a result code mean?
        fennelhill token                          a bearer token for a customer team
        fennelhill organisation NAME HOST:PORT... its keys by digest, limit and use
        fennelhill key_digest                     the digest of a key (standard input)
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
        """Print the status of each daemon; exit 1 if one does not answer.

        Parameters
        ----------
        settings : str
            Path of the YAML file.
        """
        replies = asyncio.run(fetch_from_all(_load(settings), "/status"))
        for reply in replies:
            name = f"{reply.host.id:<12} {reply.host.zone:<8}"
            if reply.problem:
                print(f"{name} no answer: {reply.problem}")
                continue
            print(f"{name} {_summarize(msgspec.json.decode(reply.body))}")
        if any(reply.problem for reply in replies):
            raise SystemExit(EXIT_PROBLEM)

    def timeline(
        self,
        *sources: str,
        group: str = "",
        kind: str = "",
        last_s: float = 3600,
        json: bool = False,
    ) -> None:
        """Print the events of all daemons as one timeline.

        Parameters
        ----------
        *sources : str
            Log files of daemons, ``-`` for the standard input; or the path of the
            settings file (YAML), to query the daemons themselves.
        group : str
            Only events of this database group.
        kind : str
            Only events whose kind has this prefix, such as ``failover``.
        last_s : float
            Age of the oldest events, in seconds, when daemons are queried.
        json : bool
            Whether to print JSON lines; for logs only.
        """
        names = [str(source) for source in sources] or [STANDARD_INPUT]
        if names[0].endswith(SETTINGS_SUFFIXES):
            self._print_fleet_timeline(names[0], group, kind, last_s)
            return
        _print_lines(timeline(_read(names), group, kind), json)

    @staticmethod
    def _print_fleet_timeline(
        settings: str, group: str, kind: str, last_s: float
    ) -> None:
        since_ms = int((time.time() - last_s) * MS_PER_S)
        replies = asyncio.run(
            fetch_from_all(_load(settings), f"/events?since={since_ms}")
        )
        events = merge_events(replies)
        events_by_id = {event.id: event for event in events}
        for event in events:
            if event.kind.startswith(kind) and group in ("", event.group):
                print(render_event(event, events_by_id))
        for reply in replies:
            if reply.problem:
                print(f"no events of {reply.host.id}: {reply.problem}", file=sys.stderr)

    def team_get(self, settings: str, team: str) -> None:
        """Print a team's subtree, and its revision for `team_put`.

        Parameters
        ----------
        settings : str
            Path of the YAML file that the daemons were started with.
        team : str
            Name of the team.
        """
        current = asyncio.run(_store(_load(settings)).subtree(team))
        if current is None:
            print(f"{team}: never changed; the settings file applies (--expect=0)")
            return
        print(f"# revision {current.revision}, change {current.change_id}")
        print(
            yaml.safe_dump(msgspec.to_builtins(current.team), sort_keys=False), end=""
        )

    def team_put(
        self,
        settings: str,
        team: str,
        document: str,
        expect: int = 0,
        change_id: str = "",
        wait_s: float = 19,
    ) -> None:
        """Change a team's subtree, and wait until it is in force on every host.

        Parameters
        ----------
        settings : str
            Path of the YAML file that the daemons were started with.
        team : str
            Name of the team.
        document : str
            Path of a YAML file with the new content.
        expect : int
            Revision of the subtree, as printed by `team_get`.
        change_id : str
            Id of the change; pass the same one to retry after a lost answer.
        wait_s : float
            How long to wait for the hosts, in seconds.
        """
        loaded = _load(settings)
        change_id = str(change_id) or secrets.token_hex(CHANGE_ID_BYTES)
        print(f"change {change_id}")
        content = _read_team(document)
        revision = asyncio.run(_put_team(loaded, team, content, expect, change_id))
        print(f"accepted as revision {revision}")
        unconfirmed_hosts = asyncio.run(_wait_in_force(loaded, revision, wait_s))
        if unconfirmed_hosts:
            print(f"not confirmed by: {', '.join(unconfirmed_hosts)}", file=sys.stderr)
            raise SystemExit(EXIT_PROBLEM)
        print("in force on every host")

    def explain(self, what: str, *logs: str, json: bool = False) -> None:
        """Explain from logs how a request ended, or what a result code means.

        Parameters
        ----------
        what : str
            The id of a request, or the number of a result code.
        *logs : str
            Log files of daemons, ``-`` for the standard input.  Without log files, a
            number is taken as a result code.
        json : bool
            Whether to print JSON lines.
        """
        if logs or not str(what).isdigit():
            names = [str(log) for log in logs] or [STANDARD_INPUT]
            request_lines = request_history(_read(names), str(what))
            if not request_lines:
                print(f"no line names the request {what}", file=sys.stderr)
                raise SystemExit(EXIT_PROBLEM)
            _print_lines(request_lines, json)
            return
        code = int(what)
        result_code = CODES.get(code)
        if result_code is None:
            print(f"there is no code {code}; see docs/ERRORS.md", file=sys.stderr)
            raise SystemExit(EXIT_PROBLEM)
        print(f"{result_code.number} {result_code.name}: {result_code.outcome.value}")
        print(f"  for the caller:   {result_code.caller}")
        print(f"  for the operator: {result_code.operator}")

    def organisation(self, name: str, *hosts: str) -> None:
        """Print an organisation's keys by digest, its limit, and what it used.

        Exit 1 if a host does not answer.

        Parameters
        ----------
        name : str
            Name of the organisation, or the digest of one of its keys.
        *hosts : str
            ``ip:port`` of the hosts' metrics: their first internal ports.
        """
        addresses = [EntryHost(id=host, zone="", address=host) for host in hosts]
        path = f"/organisation?{urlencode({'name': name})}"
        replies = asyncio.run(fetch_from_hosts(addresses, path))
        for line in describe_organisation(replies):
            print(line)
        metrics = asyncio.run(fetch_from_hosts(addresses, "/metrics"))
        listed_name = organisation_name(replies) or str(name)
        for reply in metrics:
            for line in organisation_samples(reply, listed_name):
                print(line)
        if any(reply.problem for reply in replies + metrics):
            raise SystemExit(EXIT_PROBLEM)

    def key_digest(self) -> None:
        """Read a client's key from the standard input and print its digest.

        The key itself is not an argument, since arguments are visible to others.
        """
        print(key_digest(sys.stdin.readline().rstrip("\r\n")))

    def token(self, token: str = "") -> None:
        """Print a bearer token and its hash for the settings.

        Parameters
        ----------
        token : str
            An existing token; empty to generate one.
        """
        bearer_token = str(token) or secrets.token_urlsafe(TOKEN_BYTES)
        print(f"token:        {bearer_token}")
        print(f"token_sha256: {hash_token(bearer_token)}")


def _read(names: list[str]) -> list[LogLine]:
    try:
        return list(read_log(names))
    except OSError as error:
        print(f"logs: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_INPUT) from error


def _print_lines(lines: list[LogLine], as_json: bool) -> None:
    for line in lines:
        print(msgspec.json.encode(line).decode() if as_json else line.render())


def _store(settings: Settings) -> SubtreeStore:
    if not settings.platform.table_service:
        print("settings: platform.table_service is not set", file=sys.stderr)
        raise SystemExit(EXIT_BAD_INPUT)
    return SubtreeStore(HttpTableService(settings.platform.table_service))


def _read_team(path: str) -> Team:
    try:
        document = yaml.safe_load(Path(path).read_text(encoding="utf-8"))
        return msgspec.convert(document, Team)
    except (OSError, yaml.YAMLError, msgspec.ValidationError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        raise SystemExit(EXIT_BAD_INPUT) from error


async def _put_team(
    settings: Settings, name: str, team: Team, expected_revision: int, change_id: str
) -> int:
    try:
        result = await _store(settings).put(
            settings, name, team, expected_revision, change_id
        )
    except StoreUnavailableError as error:
        print(
            f"the call to the table service failed ({error.fault.value}); retry "
            f"with --change_id={change_id}",
            file=sys.stderr,
        )
        raise SystemExit(EXIT_PROBLEM) from error
    if result.is_ok():
        return result.unwrap()
    rejection = result.unwrap_err()
    for problem in rejection.problems:
        print(f"refused: {problem}", file=sys.stderr)
    if rejection.current is not None:
        current = rejection.current
        print(
            f"another change was faster: {current.change_id}, "
            f"revision {current.revision}; look at it with team_get",
            file=sys.stderr,
        )
    raise SystemExit(EXIT_PROBLEM)


async def _wait_in_force(settings: Settings, revision: int, wait_s: float) -> list[str]:
    """Return the hosts that do not confirm a revision within the time-out."""
    deadline_s = time.monotonic() + wait_s
    while True:
        unconfirmed_hosts = [
            reply.host.id
            for reply in await fetch_from_all(settings, "/status")
            if not reply.body
            or msgspec.json.decode(reply.body)["settings_revision"] < revision
        ]
        if not unconfirmed_hosts or time.monotonic() >= deadline_s:
            return unconfirmed_hosts
        await asyncio.sleep(POLL_INTERVAL_S)


def _summarize(status: dict) -> str:
    state = "leaving" if status["closing"] else "serving"
    state += f", settings revision {status['settings_revision']}"
    state += " (unconfirmed)" if status["settings_strict"] else ""
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
        raise SystemExit(EXIT_BAD_INPUT) from error


def main() -> None:
    """Run the command line."""
    fire.Fire(Fennelhill, name="fennelhill")
