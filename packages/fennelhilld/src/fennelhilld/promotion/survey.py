"""Collects other hosts' views of a leader, for as long as they can matter."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable

from fennelhilld.promotion.choice import answered_by_most, survey_is_decided
from fennelhilld.promotion.messages import LeaderView, Survey


async def collect_views(
    queries: list[Awaitable[LeaderView | None]], group: str, target_id: str
) -> Survey:
    """Wait for answers until those that are missing can't change the result.

    The hosts of a zone that is partitioned off would each be waited for until their
    time-out.  Queries that are still open then go on, and are not waited for.

    Parameters
    ----------
    queries : list of awaitable
        One for each host; None means that it did not answer.
    group : str
        The group; empty if only the number of answers matters.
    target_id : str
        The leader in question; empty if it is unknown, so that all answers matter.

    Returns
    -------
    Survey
        How many hosts were queried, and the views that have come.
    """
    tasks = [asyncio.ensure_future(query) for query in queries]
    pending = set(tasks)
    views: list[LeaderView] = []
    while pending and not _is_decided(views, len(queries), group, target_id):
        done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
        answers = [task.result() for task in tasks if task in done]
        views += [view for view in answers if view is not None]
    return Survey(len(queries), views)


def _is_decided(
    views: list[LeaderView], queried: int, group: str, target_id: str
) -> bool:
    if not group:
        return answered_by_most(views, queried)
    return bool(target_id) and survey_is_decided(views, queried, target_id)
