"""Decisions about replacing a leader, as functions without side effects."""

from __future__ import annotations

import msgspec
import xxhash

from fennelhilld.links.messages import TargetStatus
from fennelhilld.promotion.messages import LeaderView, Survey

# Hosts claim a group in turn.  A turn is a little longer than the store takes to
# answer a claim (6 ms) and to announce it through the feed, so that the next host
# has seen the claim before its own turn.
TURN_MS = 30.0


class Candidate(msgspec.Struct, frozen=True):
    """A target that could lead.

    Parameters
    ----------
    target_id : str
        Its id.
    status : TargetStatus
        Its answer to a status probe.
    cold : bool
        Whether it is still warming up after a start, and answers slowly.
    """

    target_id: str
    status: TargetStatus
    cold: bool = False


def most_advanced(candidates: list[Candidate]) -> Candidate | None:
    """Choose the candidate that has received the most of the log.

    Entries that the chosen target lacks are rolled back on the others, so the log
    position is compared first; among equals a target that is not cold is preferred.

    Parameters
    ----------
    candidates : list of Candidate
        Targets that answered a probe and may lead.

    Returns
    -------
    Candidate or None
        None if there are no candidates.
    """
    return max(
        candidates,
        key=lambda candidate: (
            candidate.status.received,
            not candidate.cold,
            candidate.target_id,
        ),
        default=None,
    )


def logs_needed(targets: int, leader_listed: bool, sync_replicas: int) -> int:
    """Return how many logs must be known so that one has all acknowledged commits.

    Each of them is in the log of the leader and of `sync_replicas` others.  A target
    whose log is not known may be one of these.

    Parameters
    ----------
    targets : int
        Number of listed targets, those included that are leaving.
    leader_listed : bool
        Whether the leader is known to be one of them.
    sync_replicas : int
        Replicas that have received a commit when it is acknowledged; at least 1.

    Returns
    -------
    int
        Number of targets, of which at least one has a complete log.
    """
    return max(1, targets + (not leader_listed) - sync_replicas)


def with_complete_log(candidates: list[Candidate]) -> list[Candidate]:
    """Return the candidates that lack nothing which another one has received.

    Parameters
    ----------
    candidates : list of Candidate
        The targets whose logs are known.

    Returns
    -------
    list of Candidate
        Those with the longest log.
    """
    longest = max((candidate.status.received for candidate in candidates), default=None)
    return [
        candidate for candidate in candidates if candidate.status.received == longest
    ]


def leader_is_lost(survey: Survey, target_id: str) -> bool:
    """Return whether a leader that this host can't reach counts as lost.

    Parameters
    ----------
    survey : Survey
        Answers of the other hosts.
    target_id : str
        The leader in question.

    Returns
    -------
    bool
        True if fewer than half of the informed hosts that answered still see the
        leader, counting this host as one that answered and does not see it.  False if
        other hosts were queried and no informed one answered, because this host may be
        cut off, or all others may have just started.
    """
    informed = _informed(survey.views)
    if survey.queried and not informed:
        return False
    return 2 * _seeing(informed, target_id) < len(informed) + 1


def _informed(views: list[LeaderView]) -> list[LeaderView]:
    return [view for view in views if view.informed]


def _seeing(views: list[LeaderView], target_id: str) -> int:
    return sum(view.sees and view.leader == target_id for view in views)


def answered_by_most(views: list[LeaderView], queried: int) -> bool:
    """Return whether more than half of the hosts answered, the one that asks included.

    Parameters
    ----------
    views : list of LeaderView
        Answers so far.
    queried : int
        Number of hosts that were queried.

    Returns
    -------
    bool
        True if the host that asks is not cut off.
    """
    return 2 * (len(views) + 1) > queried + 1


def survey_is_decided(views: list[LeaderView], queried: int, target_id: str) -> bool:
    """Return whether the missing answers can't change what follows from a survey.

    Parameters
    ----------
    views : list of LeaderView
        Answers so far.
    queried : int
        Number of hosts that were queried.
    target_id : str
        The leader in question.

    Returns
    -------
    bool
        True if more than half of the hosts answered, the one that asks included, and
        the leader counts as lost, or as seen, whatever the others answer.
    """
    if not answered_by_most(views, queried):
        return False
    missing = queried - len(views)
    informed = _informed(views)
    seeing = _seeing(informed, target_id)
    most_counted = len(informed) + missing + 1
    lost = 2 * (seeing + missing) < most_counted
    return lost or 2 * seeing >= most_counted


def turn_delay_ms(host: str, other_hosts: list[str], group: str) -> float:
    """Return how long a host waits before it claims a group.

    Parameters
    ----------
    host : str
        This host.
    other_hosts : list of str
        The other hosts that may claim the group.
    group : str
        The group; the order of the hosts differs between groups.

    Returns
    -------
    float
        Milliseconds.
    """
    order = sorted({*other_hosts, host}, key=lambda name: _turn_order_key(group, name))
    return order.index(host) * TURN_MS


def restoring_turn(subject: str, host: str, other_hosts: list[str], group: str) -> int:
    """Return in which turn a host writes a row again that the store has lost.

    Parameters
    ----------
    subject : str
        The host that the row speaks of, which comes first.
    host : str
        This host.
    other_hosts : list of str
        The other hosts.
    group : str
        What the row is about; the order of the hosts differs between groups.

    Returns
    -------
    int
        0 for the subject itself, from 1 for the others.
    """
    if host == subject:
        return 0
    names = {*other_hosts, host} - {subject}
    order = sorted(names, key=lambda name: _turn_order_key(group, name))
    return order.index(host) + 1


def _turn_order_key(group: str, host: str) -> int:
    return xxhash.xxh64_intdigest(f"{group}/{host}".encode())
