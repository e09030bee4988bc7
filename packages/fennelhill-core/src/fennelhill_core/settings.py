"""The settings file: its format, and the checks it must pass before use."""

from __future__ import annotations

import enum
import hashlib
from pathlib import Path
from typing import Annotated, Literal

import msgspec
import yaml
from msgspec import Meta

Name = Annotated[str, Meta(pattern=r"^[a-z0-9][a-z0-9._-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]
PositiveMs = Annotated[float, Meta(gt=0)]
NonNegativeMs = Annotated[float, Meta(ge=0)]
Count = Annotated[int, Meta(ge=1)]


class SettingsError(Exception):
    """The settings are invalid.

    Parameters
    ----------
    problems : list of str
        All problems found, each with its path.
    """

    def __init__(self, problems: list[str]) -> None:
        super().__init__("; ".join(problems))
        self.problems = problems


class Kind(enum.Enum):
    """Whether a request class reads or writes."""

    READ = "read"
    WRITE = "write"


class Acknowledgement(enum.Enum):
    """What a write waits for before it is acknowledged."""

    CONFIRMED = "confirmed"
    PRIMARY = "primary"


class Priority(enum.IntEnum):
    """Priority of requests under overload; lower numbers are served first."""

    BOOKING = 0
    NORMAL = 1
    POLL = 2


class _Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Refuses unknown fields, so that misspelt names are found."""


class EntryHost(_Settings):
    """A host that runs the daemon.

    Parameters
    ----------
    id : str
        Name of the entry host.
    zone : str
        Availability zone of the entry host.
    address : str
        ``ip:port`` for callers and for the other entry hosts.
    """

    id: Name
    zone: Name
    address: Address


class Target(_Settings):
    """One database server of a group.

    Parameters
    ----------
    id : str
        Name of the target.
    zone : str
        Availability zone of the target.
    address : str
        ``ip:port`` of the target.
    slots : int
        Number of requests that the target runs concurrently.
    connections : int
        Maximum number of connections that the target accepts.
    """

    id: Name
    zone: Name
    address: Address
    slots: Count
    connections: Annotated[int, Meta(ge=4)]


class Group(_Settings):
    """A database group: one primary at a time, the others replicate from it.

    Parameters
    ----------
    targets : list of Target
        The targets of the group.
    driver : str
        Name of the registered target driver.
    """

    targets: Annotated[list[Target], Meta(min_length=1)]
    driver: str = "jsonrpc"


class RequestClass(_Settings):
    """What a customer team promises and accepts for one class of requests.

    Parameters
    ----------
    kind : Kind
        Read or write.
    allowed_age_ms : float
        Staleness that a read accepts, in milliseconds; 0 reads the confirmed
        primary.
    idempotent : bool
        Whether the write may run twice without harm.
    ack : Acknowledgement
        What a write waits for.
    deadline_ms : float
        Deadline where the caller gives none, in milliseconds.
    priority : str
        ``booking``, ``normal`` or ``poll``.
    """

    kind: Kind
    allowed_age_ms: NonNegativeMs = 0
    idempotent: bool = False
    ack: Acknowledgement = Acknowledgement.CONFIRMED
    deadline_ms: PositiveMs = 1000
    priority: str = "normal"

    @property
    def tier(self) -> Priority:
        """The priority as an ordered value."""
        return Priority[self.priority.upper()]


class Team(_Settings):
    """A customer team: its credentials, groups and request classes.

    Parameters
    ----------
    token_sha256 : str
        Hash of the bearer token, in hexadecimal.
    groups : list of str
        Database groups that the team may reach.
    classes : dict
        Request classes by name.
    weight : float
        Share of a target under overload, relative to other teams.
    unconfirmed : str
        What an entry host does while it can't confirm that these settings are the
        latest: ``strict`` serves no stale reads, and treats every write as
        non-idempotent and with ``ack`` ``confirmed``; ``serve`` continues unchanged.
    """

    token_sha256: Annotated[str, Meta(pattern=r"^[0-9a-f]{64}$")]
    groups: list[Name]
    classes: dict[Name, RequestClass]
    weight: Annotated[float, Meta(gt=0)] = 1.0
    unconfirmed: Literal["strict", "serve"] = "strict"


class Limits(_Settings):
    """Bounds on sizes, times and retries.

    Parameters
    ----------
    body_bytes : int
        Largest request body, in bytes.
    answer_rows : int
        Maximum number of rows in an answer.
    deadline_max_ms : float
        Longest deadline that a caller can set, in milliseconds; a longer one is
        reduced to it.
    transaction_idle_ms : float
        Time after which a transaction without a new statement is ended, in
        milliseconds.
    transaction_contended_idle_ms : float
        The same if another request has timed out on a lock at the target since the
        transaction began.
    transaction_total_ms : float
        Longest duration of a transaction, in milliseconds.
    queue_requests : int
        Maximum number of requests in the queue of a target.
    connect_timeout_ms : float
        Time within which a connection to a target or to another entry host must be
        opened, in milliseconds.
    connects_at_once : int
        Maximum number of connections that a connection pool opens at the same time.
    connection_check_ms : float
        Time between checks of the idle connections of a pool, in milliseconds.
    answer_timeout_ms : float
        Longest wait for a target's answer to statements, in milliseconds.
    replica_wait_ms : float
        Longest wait of a read for a replica to catch up, in milliseconds.
    sample_ms : float
        Longest time between status queries to the targets of a group that is in use
        or whose primary does not answer, in milliseconds.
    idle_sample_ms : float
        The same for all other groups.
    sample_timeout_ms : float
        Time-out for status queries, pings and other short calls, in milliseconds.
        Requests are held while the primary has not answered for longer than this.
    primary_silence_ms : float
        Time without an answer after which a primary may be replaced, in milliseconds.
    retry_ratio : float
        Retries that each successful request adds to its team's budget on this host.
    retry_burst : int
        Most retries in a team's budget, which starts full.
    key_retention_ms : float
        Time for which idempotency keys are kept, in milliseconds.
    shutdown_ms : float
        Time that a graceful shutdown leaves to requests in progress and open
        transactions, in milliseconds.
    peer_silence_ms : float
        Time for which an entry host avoids another one that did not answer, in
        milliseconds.
    host_list_ms : float
        Time between fetches of the host list, in milliseconds.
    settings_poll_ms : float
        Time between checks for changed team settings, in milliseconds.
    settings_currency_ms : float
        Time since the settings were last found to be the latest, in milliseconds,
        after which they count as unconfirmed.
    """

    body_bytes: Count = 256 * 1024
    answer_rows: Count = 5000
    deadline_max_ms: PositiveMs = 30_000
    transaction_idle_ms: PositiveMs = 5_000
    transaction_contended_idle_ms: PositiveMs = 500
    transaction_total_ms: PositiveMs = 30_000
    queue_requests: Count = 2_000
    connect_timeout_ms: PositiveMs = 500
    connects_at_once: Count = 2
    connection_check_ms: PositiveMs = 1_000
    answer_timeout_ms: PositiveMs = 2_000
    replica_wait_ms: NonNegativeMs = 30
    sample_ms: PositiveMs = 150
    idle_sample_ms: PositiveMs = 500
    sample_timeout_ms: PositiveMs = 450
    primary_silence_ms: PositiveMs = 600
    retry_ratio: Annotated[float, Meta(ge=0, le=1)] = 0.2
    retry_burst: Count = 20
    key_retention_ms: PositiveMs = 24 * 3600 * 1000
    shutdown_ms: PositiveMs = 10_000
    peer_silence_ms: PositiveMs = 1_500
    host_list_ms: PositiveMs = 1_000
    settings_poll_ms: PositiveMs = 1_000
    settings_currency_ms: PositiveMs = 12_000


class Fleet(_Settings):
    """Settings that all daemons share.

    Parameters
    ----------
    name : str
        Name of the deployment.
    secret : str
        Signs session tokens and transaction ids and authenticates peers.
    previous_secret : str
        Former secret, which still verifies tokens while the secret is replaced.
    """

    name: Name
    secret: Annotated[str, Meta(min_length=16)]
    previous_secret: str = ""


class Platform(_Settings):
    """Addresses of the platform's services.

    Parameters
    ----------
    table_service : str
        ``ip:port`` of the table service; empty where there is none.
    host_list : str
        ``ip:port`` of the host list; empty where there is none.
    object_store : str
        ``ip:port`` of the object store; empty where there is none.
    """

    table_service: str = ""
    host_list: str = ""
    object_store: str = ""


class Settings(_Settings):
    """The whole settings file.

    Parameters
    ----------
    version : int
        Version of this format.
    fleet : Fleet
        Settings that all daemons share.
    entry_hosts : list of EntryHost
        All hosts that run the daemon.
    groups : dict
        Database groups by name.
    teams : dict
        Customer teams by name.
    platform : Platform
        Addresses of the platform's services.
    limits : Limits
        Bounds on sizes, times and retries.
    read_policy : str
        Name of the registered policy that chooses the replicas to try for a read.
    owner_policy : str
        Name of the registered policy that decides which entry hosts hold the
        connections to a target.
    """

    version: Annotated[int, Meta(ge=1, le=1)]
    fleet: Fleet
    entry_hosts: Annotated[list[EntryHost], Meta(min_length=1)]
    groups: dict[Name, Group]
    teams: dict[Name, Team]
    platform: Platform = Platform()
    limits: Limits = Limits()
    read_policy: str = "least_wait"
    owner_policy: str = "rendezvous"

    @classmethod
    def from_yaml(cls, text: str) -> Settings:
        """Parse and check settings.

        Parameters
        ----------
        text : str
            A YAML document.

        Returns
        -------
        Settings
            The checked settings.

        Raises
        ------
        SettingsError
            With all problems found.
        """
        try:
            document = yaml.safe_load(text)
            settings = msgspec.convert(document, cls)
        except yaml.YAMLError as error:
            raise SettingsError([f"not valid YAML: {error}"]) from error
        except msgspec.ValidationError as error:
            raise SettingsError([str(error)]) from error
        problems = list(settings.problems())
        if problems:
            raise SettingsError(problems)
        return settings

    @classmethod
    def from_file(cls, path: str | Path) -> Settings:
        """Read and check a settings file.

        Parameters
        ----------
        path : str or Path
            The file.

        Returns
        -------
        Settings
            The checked settings.

        Raises
        ------
        SettingsError
            If the file can't be read, or its settings are invalid.
        """
        try:
            text = Path(path).read_text(encoding="utf-8")
        except OSError as error:
            raise SettingsError([f"{path}: {error.strerror}"]) from error
        return cls.from_yaml(text)

    def problems(self) -> list[str]:
        """List violations of the rules that the types don't express.

        Returns
        -------
        list of str
            One sentence per problem, with its path; empty if there is none.
        """
        problems = []
        problems += _duplicate_problems(
            "entry_hosts", [host.id for host in self.entry_hosts]
        )
        targets = [t.id for group in self.groups.values() for t in group.targets]
        problems += _duplicate_problems("targets", targets)
        for team_name, team in self.teams.items():
            for group in team.groups:
                if group not in self.groups:
                    problems.append(f"teams.{team_name}.groups: no group {group!r}")
            for class_name, request_class in team.classes.items():
                path = f"teams.{team_name}.classes.{class_name}"
                problems += _class_problems(path, request_class)
        hashes = [team.token_sha256 for team in self.teams.values()]
        problems += _duplicate_problems("teams.*.token_sha256", hashes)
        if self.limits.transaction_contended_idle_ms > self.limits.transaction_idle_ms:
            problems.append(
                "limits.transaction_contended_idle_ms exceeds transaction_idle_ms"
            )
        if self.limits.sample_timeout_ms >= self.limits.primary_silence_ms:
            problems.append("limits.primary_silence_ms must exceed sample_timeout_ms")
        return problems

    def to_yaml(self) -> str:
        """Write the settings as YAML.

        Returns
        -------
        str
            A document that `from_yaml` accepts.
        """
        return yaml.safe_dump(msgspec.to_builtins(self), sort_keys=False)


def _duplicate_problems(path: str, names: list[str]) -> list[str]:
    duplicates = {name for name in names if names.count(name) > 1}
    return [f"{path}: {name!r} is listed twice" for name in sorted(duplicates)]


def _class_problems(path: str, request_class: RequestClass) -> list[str]:
    problems = []
    if request_class.priority.upper() not in Priority.__members__:
        priorities = ", ".join(name.lower() for name in Priority.__members__)
        problems.append(f"{path}.priority: must be one of {priorities}")
    if request_class.kind is Kind.WRITE and request_class.allowed_age_ms:
        problems.append(f"{path}.allowed_age_ms: only a read class may set it")
    return problems


def hash_token(token: str) -> str:
    """Hash a bearer token, for `Team.token_sha256`.

    Parameters
    ----------
    token : str
        The bearer token.

    Returns
    -------
    str
        SHA-256 in hexadecimal.
    """
    return hashlib.sha256(token.encode()).hexdigest()
