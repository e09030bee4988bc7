"""What the hosts of a fleet know about an organisation, as text for operators."""

from __future__ import annotations

import re
from typing import Any

import msgspec

from fennelhill.fleet import HostReply

# A sample of the Prometheus format: name, labels, value.
SAMPLE = re.compile(r"^(\w+)\{(.*)\} (\S+)$", re.MULTILINE)
LABEL = re.compile(r'(\w+)="((?:[^"\\]|\\.)*)"')
HOST_LABELS = ("host", "zone", "organisation")


class HostView(msgspec.Struct):
    """The organisation in the configuration of one host.

    Parameters
    ----------
    version : int
        Version of the configuration.
    organisation : dict or None
        Name, digests of keys and limit; None if that version does not list it.
    """

    version: int
    organisation: dict[str, Any] | None = None


def describe_organisation(replies: list[HostReply]) -> list[str]:
    """Describe an organisation as each version in force has it.

    Parameters
    ----------
    replies : list of HostReply
        Answers to ``/organisation``.

    Returns
    -------
    list of str
        Lines, the newest version first; hosts that have an older one stand there.
    """
    hosts: dict[int, list[str]] = {}
    views: dict[int, HostView] = {}
    problems = []
    for reply in replies:
        try:
            view = msgspec.json.decode(reply.body, type=HostView)
        except msgspec.DecodeError as error:
            problems.append(f"{reply.host.id}: no answer: {reply.problem or error}")
            continue
        views[view.version] = view
        hosts.setdefault(view.version, []).append(reply.host.id)
    lines = []
    for version in sorted(views, reverse=True):
        lines.append(f"configuration {version} at {', '.join(hosts[version])}")
        lines += _describe(views[version].organisation)
    return lines + problems


def organisation_name(replies: list[HostReply]) -> str:
    """Return the name under which hosts list the organisation.

    Parameters
    ----------
    replies : list of HostReply
        Answers to ``/organisation``.

    Returns
    -------
    str
        Empty if no host lists it.
    """
    for reply in replies:
        try:
            found = msgspec.json.decode(reply.body, type=HostView).organisation
        except msgspec.DecodeError:
            continue
        if found is not None:
            return found["name"]
    return ""


def organisation_samples(reply: HostReply, name: str) -> list[str]:
    """Return the samples of a host's metrics that are labelled with an organisation.

    Parameters
    ----------
    reply : HostReply
        Answer to ``/metrics``.
    name : str
        Name of the organisation.

    Returns
    -------
    list of str
        One line for each sample; empty if the host has none, such as for an
        organisation that is not among the busiest ones.
    """
    lines = []
    for metric, labels, value in SAMPLE.findall(reply.body.decode(errors="replace")):
        pairs = dict(LABEL.findall(labels))
        if pairs.get("organisation") != name:
            continue
        others = [f"{k}={v}" for k, v in pairs.items() if k not in HOST_LABELS]
        lines.append(" ".join([reply.host.id, metric, *others, value]))
    return lines


def _describe(organisation: dict[str, Any] | None) -> list[str]:
    if organisation is None:
        return ["  not listed"]
    operations_per_s = organisation["operations_per_s"]
    limit = "unlimited"
    if operations_per_s is not None:
        limit = f"{operations_per_s:g} operations/s, burst {organisation['burst']:g}"
    lines = [f"  {organisation['name']}: {limit}"]
    digests = organisation["key_digests"]
    return lines + [
        f"  key {digest}" for digest in digests or ["none: nobody can call"]
    ]
