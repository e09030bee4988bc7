"""The decisions about issuing, checked in every order of messages.

Time advances in steps of `STEP_MS`.  Any message may be late, lost or repeated, and any
host may be suspended between two steps: then it just does not take the steps that are
possible.  The decisions are those of the product; each mutant replaces one of them.
"""

from __future__ import annotations

import itertools
import math

import pytest
from fennelhill_bench.explorer import Counterexample, explore
from fennelhilld.quotas.bucket import TokenBucket, TokenIssuer
from fennelhilld.quotas.election import (
    PROMISE_KEPT_MS,
    IssuerLease,
    PromiseBook,
    ZoneHosts,
)
from fennelhilld.quotas.issuing import PartitionIssuer
from fennelhilld.quotas.limits import Limit, QuotaBounds
from msgspec import structs

STEP_MS = 500.0


class Bounds(QuotaBounds, frozen=True):
    @property
    def permit_ms(self):
        return STEP_MS


COPIED = (PartitionIssuer, TokenIssuer, TokenBucket, PromiseBook, IssuerLease)


def clone(value):
    if isinstance(value, dict):
        return {key: clone(item) for key, item in value.items()}
    if not isinstance(value, COPIED):
        return value
    copied = object.__new__(type(value))
    for slot in value.__slots__:
        setattr(copied, slot, clone(getattr(value, slot)))
    return copied


def freeze(value):
    if isinstance(value, dict):
        return tuple((key, freeze(item)) for key, item in value.items())
    if isinstance(value, COPIED):
        return tuple(freeze(getattr(value, slot)) for slot in value.__slots__)
    return value


class World:
    """A state; equal to others with the same content."""

    def __init__(self, hosts, **content):
        self.hosts = hosts
        self.key = ()
        self.__dict__.update(content)

    def after(self, change, *arguments):
        copied = World(**vars(self))
        copied.hosts = [clone(host) for host in self.hosts]
        change(copied, *arguments)
        copied.key = copied.content()
        return copied

    def __hash__(self):
        return hash(self.key)

    def __eq__(self, other):
        return self.key == other.key

    def content(self):
        content = dict(vars(self), hosts=None, key=None)
        return (*map(freeze, self.hosts), *content.values())


class Election:
    """Hosts of one zone that elect the issuer of one partition.

    Each query reaches a host and is answered at once, is lost, or is answered late.
    Only the candidates ask; one of the others' processes may start again.
    """

    def __init__(self, lists, candidates, rounds, steps, restarts=0):
        self.lists = lists  # by host, as it knows the zone
        self.names = sorted(lists)
        self.candidates = candidates
        self.rounds, self.restarts = rounds, restarts
        # All hosts remember their promises at first.
        self.start_ms = PROMISE_KEPT_MS
        self.end_ms = self.start_ms + steps * STEP_MS

    def start(self):
        hosts = [PartitionIssuer(name, 0, Bounds(), 1, 0.0) for name in self.names]
        return World(
            hosts,
            now_ms=self.start_ms,
            late=frozenset(),  # answers on their way
            rounds=0,
            restarts=0,
            permit=("", 0.0),  # issuer and end of the newest permit
            problem="",
        )

    def steps(self, world):
        if world.now_ms < self.end_ms:
            yield "time advances", self._after(world, self._advance)
        for name in self.candidates:
            host = world.hosts[self.names.index(name)]
            if world.rounds < self.rounds:
                yield from self._rounds(world, name)
            if self._issues(host, world):
                yield f"{name} ends as issuer", self._after(world, self._release, name)
        if world.restarts < self.restarts:
            for name in self.names:
                yield f"{name} starts again", self._after(world, self._restart, name)
        for message in world.late:
            yield (
                f"{message[0]} gets {message[2]}",
                self._after(world, self._receive, message),
            )

    def _rounds(self, world, name):
        others = sorted(self.lists[name].names - {name})
        voter = next(o for o in reversed(others) if o not in self.candidates)
        for fates in itertools.product(
            *(("lost", "answered", "late")[: 2 + (o == voter)] for o in others)
        ):
            outcome = dict(zip(others, fates, strict=True))
            following = self._after(world, self._ask, name, outcome)
            if following.rounds == world.rounds:
                return
            yield f"{name} asks {others}: {fates}", following

    def _after(self, world, change, *arguments):
        def change_and_permit(copied):
            change(copied, *arguments)
            for host in copied.hosts:
                if not host.issues_at(copied.now_ms):
                    continue
                giver, end_ms = copied.permit
                if host._host != giver and copied.now_ms < end_ms:
                    copied.problem = "a permit of a predecessor is still valid"
                # An issuer always has a permit out that has just been asked for.
                copied.permit = (host._host, copied.now_ms + STEP_MS)

        return world.after(change_and_permit)

    def violation(self, world):
        issuing = [host._host for host in world.hosts if self._issues(host, world)]
        if len(issuing) > 1:
            return "two hosts issue at the same time"
        return world.problem

    def _issues(self, host, world):
        return clone(host).issues_at(world.now_ms) if host.issuing else False

    def _advance(self, world):
        world.now_ms += STEP_MS
        for name, host in zip(self.names, world.hosts, strict=True):
            host.begin_if_ready(self.lists[name], world.now_ms)

    def _answer(self, world, name, query):
        host = world.hosts[self.names.index(name)]
        issuing = name != query.candidate and host.issues_at(world.now_ms)
        return host.book.answer(query, self.lists[name], issuing, world.now_ms)

    def _ask(self, world, name, fates):
        host = world.hosts[self.names.index(name)]
        query = host.next_query(self.lists[name], world.now_ms)
        if query is None:
            return
        world.rounds += 1
        answers = {name: self._answer(world, name, query)}
        for other, fate in fates.items():
            if fate != "lost":
                answer = self._answer(world, other, query)
                if fate == "answered":
                    answers[other] = answer
                else:
                    world.late |= {(name, other, answer, query)}
        for other, answer in answers.items():
            self._record(world, name, other, answer, query)

    def _record(self, world, name, other, answer, query):
        host = world.hosts[self.names.index(name)]
        release = host.record(other, answer, query, self.lists[name], world.now_ms)
        if release is not None:
            self._take_back(world, release)

    def _receive(self, world, message):
        world.late -= {message}
        name, other, answer, query = message
        if query.started == world.hosts[self.names.index(name)]._started:
            self._record(world, name, other, answer, query)

    def _take_back(self, world, release):
        for name in self.lists[release.candidate].names:
            self._answer(world, name, release)

    def _release(self, world, name):
        host = world.hosts[self.names.index(name)]
        self._take_back(world, host.give_up(self.lists[name], world.now_ms))

    def _restart(self, world, name):
        world.restarts += 1
        host = PartitionIssuer(name, 0, Bounds(), 2, world.now_ms)
        world.hosts[self.names.index(name)] = host


def zone_hosts(names, version=1):
    return ZoneHosts("z", frozenset(names), version)


def handover(steps=6, restarts=0):
    """Return an election in which the first two in order are candidates."""
    hosts = zone_hosts("abc")
    lists = dict.fromkeys("abc", hosts)
    return Election(lists, hosts.candidates(0)[:2], 2, steps, restarts)


def growth():
    """Return an election in which one host lacks the two that were added last."""
    newer = zone_hosts("abcde", version=2)
    lists = dict.fromkeys("bcde", newer) | {"a": zone_hosts("abc")}
    candidate = next(name for name in newer.candidates(0) if name in "cde")
    return Election(lists, ("a", candidate), 2, 1)


class Transfers:
    """Two issuers, of which the second asks the first for tokens."""

    RATE = 10.0
    INITIAL = 2.0
    LIMIT = Limit(RATE, 10.0)

    def start(self):
        issuers = [TokenIssuer(QuotaBounds()) for _ in range(2)]
        for issuer in issuers:
            issuer.bucket("o", self.LIMIT, 2, 0.0)
        return World(
            issuers, now_ms=0.0, queries=(), answers=(), used=0, problem="", asked=0
        )

    def steps(self, world):
        if world.now_ms < 200.0:
            yield "time advances", world.after(self._advance)
        if world.asked < 1:
            yield "tokens are asked for", world.after(self._ask)
        for query in set(world.queries):
            yield f"the query {query} arrives", world.after(self._give, query)
        for answer in set(world.answers):
            yield f"the answer {answer} arrives", world.after(self._receive, answer)
        following = world.after(self._take)
        if following.used > world.used:
            yield "the second issuer gives a permit", following

    def violation(self, world):
        levels = sum(host.buckets["o"].level for host in world.hosts)
        minted = 2 * (self.INITIAL + self.RATE * world.now_ms / 1_000.0)
        if world.used + levels > minted + 1e-6:
            return "more tokens than were minted"
        return ""

    def _advance(self, world):
        world.now_ms += 100.0

    def _ask(self, world):
        world.asked += 1
        asked = world.hosts[1].ask("o", 4, {"x": math.nan}, world.now_ms)
        # The datagram may arrive twice.
        world.queries += tuple(asked.values()) * 2

    def _give(self, world, query):
        world.queries = without(world.queries, query)
        number, tokens = query
        issuer = world.hosts[0]
        given = issuer.give(issuer.bucket("o", self.LIMIT, 2, world.now_ms), tokens)
        world.answers += ((number, given),) * 2

    def _receive(self, world, answer):
        world.answers = without(world.answers, answer)
        world.hosts[1].receive(*answer, 4, world.now_ms)

    def _take(self, world):
        bucket = world.hosts[1].bucket("o", self.LIMIT, 2, world.now_ms)
        world.used += bucket.take(1)


def without(messages, message):
    position = messages.index(message)
    return messages[:position] + messages[position + 1 :]


def check(model):
    return explore(model.start(), model.steps, model.violation)


def forget_the_wait(monkeypatch):
    answer = PromiseBook.answer

    def answer_at_once(*arguments):
        return structs.replace(answer(*arguments), wait_ms=0.0)

    monkeypatch.setattr(PromiseBook, "answer", answer_at_once)


def ignore_suspension(monkeypatch):
    monkeypatch.setattr(PartitionIssuer, "issues_at", lambda self, _: self.issuing)


def promise_what_was_forgotten(monkeypatch):
    start = PromiseBook.__init__

    def start_long_ago(self, host, partition, started_ms, permit_ms):
        start(self, host, partition, -math.inf, permit_ms)

    monkeypatch.setattr(PromiseBook, "__init__", start_long_ago)


def accept_an_older_list(monkeypatch):
    answer = PromiseBook.answer

    def answer_any(self, query, *arguments):
        return answer(self, structs.replace(query, version=9), *arguments)

    monkeypatch.setattr(PromiseBook, "answer", answer_any)


def receive_twice(monkeypatch):
    receive = TokenIssuer.receive

    def receive_again(self, number, *arguments):
        asked = self._asked.get(number)
        received = receive(self, number, *arguments)
        if asked is not None:
            self._asked[number] = asked
        return received

    monkeypatch.setattr(TokenIssuer, "receive", receive_again)


def keep_and_send(monkeypatch):
    monkeypatch.setattr(
        TokenIssuer, "give", lambda self, bucket, tokens: min(tokens, bucket.spare)
    )


class TestElection:
    # Guards against two hosts that mint the same part of a limit.
    def test_has_one_issuer_at_a_time_in_every_order_of_messages(self):
        assert check(handover()) > 5_000

    def test_has_one_issuer_although_a_host_forgot_its_promise(self):
        assert check(handover(steps=1, restarts=1)) > 1_000

    def test_has_one_issuer_although_a_host_lacks_the_newest_list(self):
        assert check(growth()) > 100

    @pytest.mark.parametrize(
        ("mutant", "model", "violation"),
        [
            (forget_the_wait, handover(), "a permit of a predecessor"),
            (ignore_suspension, handover(), "two hosts issue"),
            (promise_what_was_forgotten, handover(1, 1), "two hosts issue"),
            (accept_an_older_list, growth(), "two hosts issue"),
        ],
    )
    def test_without_one_of_its_rules_fails(
        self, mutant, model, violation, monkeypatch
    ):
        mutant(monkeypatch)
        with pytest.raises(Counterexample, match=violation):
            check(model)


class TestTransfers:
    # Guards against datagrams that count twice.
    def test_conserve_tokens_in_every_order_of_messages(self):
        assert check(Transfers()) > 100

    @pytest.mark.parametrize("mutant", [receive_twice, keep_and_send])
    def test_that_add_tokens_are_found(self, mutant, monkeypatch):
        mutant(monkeypatch)
        with pytest.raises(Counterexample, match="more tokens"):
            check(Transfers())
