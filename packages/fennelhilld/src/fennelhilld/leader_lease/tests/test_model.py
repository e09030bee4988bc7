"""A model of a change of leader under leases, checked in every order of steps.

Three hosts.  Host 0 and host 2 replace the leader, one after the other if need be.
Host 1 sends writes and reads to the old leader.  Any message may be late, any host may
be suspended between two steps, and host 1 may be cut off from the store, from the
others or from both: then it just does not take the steps that need them.

One host may start again without its memory, also a holder; what it has acknowledged
before still counts.  It knows the claims again once it has read the store.

Time is modelled by two events.  A lease is marked as old once more than half of the
hosts have acknowledged the claim; waiting for `LEASE_MS` after that ends all old ones.
The end of a holder's turn comes before another host may claim.
"""

from __future__ import annotations

from typing import NamedTuple

import pytest
from fennelhill_bench.explorer import Counterexample, explore

USER = 1  # the host that uses the old leader
HOLDERS = (0, 2)  # the hosts that may replace it
MAX_VERSIONS = 3  # of the claim row; claiming and abandoning take one each
NONE, NEW, OLD = "", "new", "old"


class Host(NamedTuple):
    seen: int = 0  # newest claim that the host knows
    acknowledged: int = 0  # newest claim for which it has given its lease up
    phase: str = "idle"  # of a holder: idle, claimed, fenced, ordered
    token: int = 0
    in_turn: bool = False
    remembers: bool = True  # whether it has read the store since its start


class State(NamedTuple):
    hosts: tuple = (Host(), Host(), Host())
    row: int = 0  # version of the claim row in the store
    lease: str = NONE  # of the user
    pending: tuple | None = None  # a read of the store: row seen, mark
    write: str = NONE  # of the user: sent, ran early, ran late
    majority: int = 0  # newest claim that most hosts have acknowledged
    waited: int = 0  # newest claim after which the leases were waited for
    old_leads: bool = True
    reached: bool = False  # whether the host that ordered it reached the old leader
    orders: frozenset = frozenset()  # tokens on their way to the platform
    highest_sent: int = 0
    promoted: bool = False
    new_commit: bool = False  # whether a write at the new leader was acknowledged
    abandoned: frozenset = frozenset()  # versions that ended a claim with no order
    restarts: int = 0  # hosts that may still start again
    problem: str = ""

    def is_free(self, version):
        """Return whether a host that knows this version may use the old leader."""
        return version == 0 or version in self.abandoned


class Model:
    """The protocol; a flag that is False removes one of its parts.

    ``wait`` lets a holder wait for leases that were not given up, ``answer_proof``
    checks the lease again when a write is answered, ``read_proof`` checks it before a
    read, ``demotion`` demotes the old leader first, ``turn`` ends a holder's right to
    order before another host may claim, ``majority`` asks more than half of the hosts
    for a confirmation, ``sent_time`` counts a proof's age from the query,
    ``fence_first`` orders the promotion only after the leases have ended,
    ``left_open`` abandons no claim that replaced an open one, and ``memory`` lets a
    host that has forgotten claims confirm none and get no lease.
    """

    PARTS = (
        "wait",
        "answer_proof",
        "read_proof",
        "demotion",
        "turn",
        "majority",
        "sent_time",
        "fence_first",
        "left_open",
        "memory",
    )

    def __init__(self, missing="", ends_at_once=False, max_versions=MAX_VERSIONS):
        for part in self.PARTS:
            setattr(self, part, part != missing)
        self.ends_at_once = ends_at_once
        self.max_versions = max_versions

    def steps(self, state):
        yield from self._lease_steps(state)
        yield from self._write_steps(state)
        yield from self._platform_steps(state)
        for number in range(len(state.hosts)):
            yield from self._learning_steps(state, number)
            yield from self._restart_steps(state, number)
        for number in HOLDERS:
            yield from self._holder_steps(state, number)

    def _restart_steps(self, state, number):
        host = state.hosts[number]
        if state.restarts:
            forgetful = Host(acknowledged=host.acknowledged, remembers=False)
            hosts = list(state.hosts)
            hosts[number] = forgetful
            restarts = state.restarts - 1
            following = state._replace(hosts=tuple(hosts), restarts=restarts)
            if number == USER:
                following = following._replace(lease=NONE, pending=None, write=NONE)
            yield f"host {number} starts again without its memory", following
        if not host.remembers and number != USER:
            yield (
                f"host {number} reads the store",
                self._replace_host(state, number, seen=state.row, remembers=True),
            )

    def _may_vouch(self, host):
        return host.remembers or not self.memory

    def _lease_steps(self, state):
        user = state.hosts[USER]
        if state.lease:
            yield "the user's lease expires", state._replace(lease=NONE)
        if state.pending is None:
            yield (
                "the user asks the store",
                state._replace(pending=(state.row, NEW)),
            )
        else:
            row, mark = state.pending
            following = state._replace(pending=None)
            following = self._replace_host(following, USER, remembers=True)
            if row > user.seen:
                following = self._learn(following, USER, row)
            elif state.is_free(user.seen):
                lease = mark if self.sent_time else NEW
                following = following._replace(lease=lease)
            yield "the user gets the store's answer", following
        agreeing = 1 + sum(
            self._may_vouch(state.hosts[number])
            and state.hosts[number].seen <= user.seen
            for number in HOLDERS
        )
        needed = 2 if self.majority else 1
        free = state.is_free(user.seen) and self._may_vouch(user)
        if agreeing >= needed and free:
            yield "most hosts confirm to the user", state._replace(lease=NEW)

    def _write_steps(self, state):
        user = state.hosts[USER]
        free = state.is_free(user.seen)
        usable = free and bool(state.lease)
        if usable and not state.write:
            yield "the user sends a write", state._replace(write="sent")
        if (usable or (free and not self.read_proof)) and state.new_commit:
            yield (
                "the user sends a read to the old leader",
                state._replace(problem="a read missed a write at the new leader"),
            )
        if state.write == "sent":
            if not state.old_leads:
                yield "the old leader refuses the write", state._replace(write=NONE)
            else:
                ran = "ran late" if state.promoted else "ran early"
                following = state._replace(write=ran)
                if state.promoted and state.reached:
                    following = following._replace(
                        problem="a leader that could be demoted ran a late write"
                    )
                yield "the old leader runs the write", following
        elif state.write:
            counts = bool(state.lease) and (free or user.acknowledged < user.seen)
            following = state._replace(write=NONE)
            if state.write == "ran late" and (counts or not self.answer_proof):
                following = following._replace(
                    problem="a write at the replaced leader was acknowledged"
                )
            yield "the user gets the answer to its write", following
        if state.promoted and not state.new_commit:
            yield (
                "a host writes at the new leader",
                state._replace(new_commit=True),
            )

    def _learning_steps(self, state, number):
        host = state.hosts[number]
        newest = max(other.seen for other in state.hosts)
        if host.seen < newest:
            yield (
                f"host {number} hears of claim {newest}",
                self._learn(state, number, newest),
            )
        if host.acknowledged < host.seen and not state.is_free(host.seen):
            following = self._replace_host(state, number, acknowledged=host.seen)
            if number == USER:
                following = following._replace(lease=NONE)
            yield f"host {number} gives its lease up for claim {host.seen}", following

    def _holder_steps(self, state, number):
        host = state.hosts[number]
        if host.phase == "idle":
            other = state.hosts[HOLDERS[1 - HOLDERS.index(number)]]
            free = not other.in_turn and host.remembers
            if host.seen == state.row < self.max_versions and free:
                token = state.row + 1
                claimed = self._replace_host(
                    state._replace(row=token),
                    number,
                    seen=token,
                    acknowledged=token,
                    phase="claimed",
                    token=token,
                    in_turn=True,
                )
                yield f"host {number} makes claim {token}", claimed
            return
        if host.in_turn:
            yield (
                f"the turn of host {number} ends",
                self._replace_host(state, number, in_turn=False),
            )
        if host.phase == "claimed":
            yield from self._fencing_steps(state, number, host)
            yield from self._abandoning_steps(state, number, host)
        elif host.phase == "fenced" and (host.in_turn or not self.turn):
            following = self._replace_host(state, number, phase="ordered")
            if host.token < state.highest_sent:
                following = following._replace(problem="an older token was sent")
            following = following._replace(
                orders=state.orders | {host.token},
                highest_sent=max(host.token, state.highest_sent),
            )
            yield f"host {number} orders the promotion", following
            old_leads = state.old_leads and not self.demotion
            yield (
                f"host {number} reaches the old leader and orders the promotion",
                following._replace(reached=True, old_leads=old_leads),
            )

    def _fencing_steps(self, state, number, host):
        acknowledging = sum(other.acknowledged >= host.token for other in state.hosts)
        if acknowledging >= 2 and state.majority < host.token:
            pending = state.pending
            yield (
                f"most hosts have acknowledged claim {host.token}",
                state._replace(
                    majority=host.token,
                    lease=OLD if state.lease else NONE,
                    pending=None if pending is None else (pending[0], OLD),
                ),
            )
        if state.majority == host.token and state.waited < host.token:
            lease = NONE if state.lease == OLD else state.lease
            pending = state.pending
            if self.sent_time and pending is not None and pending[1] == OLD:
                pending = None  # The lease that it gives has expired.
            yield (
                f"host {number} waits for the other leases to expire",
                state._replace(waited=host.token, lease=lease, pending=pending),
            )
        complete = (
            acknowledging == len(state.hosts)
            or state.waited >= host.token
            or (state.majority >= host.token and not self.wait)
            or not self.fence_first
        )
        if complete:
            yield (
                f"host {number} knows that no host uses the old leader",
                self._replace_host(state, number, phase="fenced"),
            )

    def _abandoning_steps(self, state, number, host):
        replaced_open = not state.is_free(host.token - 1)
        if state.row != host.token or (self.left_open and replaced_open):
            return
        version = state.row + 1
        yield (
            f"host {number} abandons claim {host.token}",
            self._replace_host(
                state._replace(row=version, abandoned=state.abandoned | {version}),
                number,
                seen=version,
                phase="idle",
                in_turn=False,
            ),
        )

    def _platform_steps(self, state):
        for token in state.orders:
            following = state._replace(orders=state.orders - {token}, promoted=True)
            if self.ends_at_once:
                following = following._replace(old_leads=False)
            yield f"the platform carries out the order with token {token}", following
        if state.promoted and state.old_leads:
            yield "the old leader notices", state._replace(old_leads=False)

    def _learn(self, state, number, version):
        return self._replace_host(state, number, seen=version)

    def _replace_host(self, state, number, **changes):
        hosts = list(state.hosts)
        hosts[number] = hosts[number]._replace(**changes)
        return state._replace(hosts=tuple(hosts))


class TestModel:
    @pytest.mark.parametrize("ends_at_once", [False, True])
    def test_keeps_all_promises_in_every_order_of_steps(self, ends_at_once):
        model = Model(ends_at_once=ends_at_once)
        assert explore(State(), model.steps, lambda state: state.problem) > 5_000

    @pytest.mark.parametrize("ends_at_once", [False, True])
    def test_keeps_all_promises_if_a_host_forgets_what_it_knew(self, ends_at_once):
        model = Model(ends_at_once=ends_at_once, max_versions=2)
        initial = State(restarts=1)
        assert explore(initial, model.steps, lambda state: state.problem) > 5_000

    def test_a_host_that_has_forgotten_breaks_a_promise_if_it_confirms(self):
        model = Model("memory", max_versions=2)
        with pytest.raises(Counterexample, match="missed a write"):
            explore(State(restarts=1), model.steps, lambda state: state.problem)

    @pytest.mark.parametrize(
        ("missing", "violation"),
        [
            ("wait", "was acknowledged|missed a write"),
            ("answer_proof", "was acknowledged"),
            ("read_proof", "missed a write"),
            ("demotion", "ran a late write"),
            ("turn", "an older token"),
            ("majority", "was acknowledged|missed a write"),
            ("sent_time", "was acknowledged|missed a write"),
            ("fence_first", "was acknowledged|missed a write"),
            ("left_open", "was acknowledged|missed a write"),
        ],
    )
    def test_removing_any_part_breaks_a_promise(self, missing, violation):
        model = Model(missing)
        with pytest.raises(Counterexample, match=violation) as caught:
            explore(State(), model.steps, lambda state: state.problem)
        print(f"without {missing}:\n{caught.value}")
        assert len(caught.value.steps) >= 3


class EraHost(NamedTuple):
    era: int = 0  # newest era that the host knows
    complete_era: int = 0  # in which it takes the store's claims for complete
    known: frozenset = frozenset()  # claims that it knows, by holder
    acknowledged: frozenset = frozenset()
    claim: tuple | None = None  # of a holder: era and number of its row
    phase: str = "idle"  # of a holder: idle, claimed, fenced, ordered
    turn_over: bool = False


class EraState(NamedTuple):
    hosts: tuple = (EraHost(), EraHost(), EraHost())
    era: int = 0
    number: int = 0  # newest version of the store in this era
    row: int | None = None  # holder whose claim the store has
    returned: bool = False
    # None, or the claims that most hosts acknowledged after the lease was proven.
    lease: frozenset | None = None
    majority: frozenset = frozenset()  # claims that most hosts have acknowledged
    waited: frozenset = frozenset()  # claims after which leases were waited for
    orders: frozenset = frozenset()  # claims whose orders are on their way
    highest_sent: tuple = (-1, -1)
    promoted: bool = False
    problem: str = ""


class EraModel:
    """The protocol while the store comes back once from an older copy.

    Every host may learn of the new era at a different time.  A flag that is False
    removes one part: ``eras_in_versions`` orders claims and tokens by era first,
    ``eras_in_messages`` lets each message between hosts carry its sender's era,
    ``confirmation`` takes the returned store for complete only after more than half of
    the hosts have sent their claims, ``turn_respected`` acknowledges no newer claim
    while a lost one may be ordered, and ``holder_stops`` orders nothing under a claim
    of an older era than the holder knows.  Since its messages tell the holder of the
    era, hosts need not also refuse to acknowledge such a claim, but they do.
    """

    PARTS = (
        "eras_in_versions",
        "eras_in_messages",
        "confirmation",
        "turn_respected",
        "holder_stops",
    )

    def __init__(self, missing=""):
        for part in self.PARTS:
            setattr(self, part, part != missing)

    def steps(self, state):
        if not state.returned:
            returned = state._replace(returned=True, era=1)
            yield "the store comes back from a copy that is up to date", returned
            yield (
                "the store comes back and has lost all claims",
                returned._replace(row=None, number=0),
            )
        yield from self._user_steps(state)
        for holder in HOLDERS:
            yield from self._holder_steps(state, holder)
        for holder in state.orders:
            yield (
                f"the platform carries out the order of host {holder}",
                state._replace(orders=state.orders - {holder}, promoted=True),
            )

    def _user_steps(self, state):
        user = state.hosts[USER]
        usable = state.lease is not None and not user.known
        if usable and state.promoted:
            problem = "a write at the replaced leader was acknowledged"
            yield "the user writes to the old leader", state._replace(problem=problem)
        if state.lease is not None:
            yield "the user's lease expires", state._replace(lease=None)
        reading = self._notice(state, USER, state.era)
        if state.row is not None:
            reading = self._learn(reading, USER, {state.row})
        else:
            complete = user.complete_era == state.era or not self.confirmation
            if complete and not user.known:
                reading = reading._replace(lease=frozenset())
        yield "the user reads the store", reading
        for number in HOLDERS:
            asked = self._exchange(state, USER, number)
            other, asking = asked.hosts[number], asked.hosts[USER]
            if other.era == asking.era or not self.eras_in_messages:
                if other.known:
                    asked = self._learn(asked, USER, other.known)
                elif not asking.known:
                    asked = asked._replace(lease=frozenset())
                asked = self._change(asked, USER, complete_era=asking.era)
            yield f"the user and host {number} confirm their claims", asked

    def _holder_steps(self, state, holder):
        host = state.hosts[holder]
        if host.era < state.era:
            noticed = self._notice(state, holder, state.era)
            yield f"host {holder} reads the store", noticed
        if host.phase == "idle":
            yield from self._claim_steps(state, holder)
            return
        if not host.turn_over:
            yield (
                f"the turn of host {holder} ends",
                self._change(state, holder, turn_over=True),
            )
        for number in range(len(state.hosts)):
            if number != holder:
                yield (
                    f"host {holder} sends its claim to host {number}",
                    self._send_claim(state, holder, number),
                )
        acknowledging = sum(holder in other.acknowledged for other in state.hosts)
        if acknowledging >= 2 and holder not in state.majority:
            lease = None if state.lease is None else state.lease | {holder}
            yield (
                f"most hosts have acknowledged the claim of host {holder}",
                state._replace(majority=state.majority | {holder}, lease=lease),
            )
        if holder in state.majority - state.waited:
            ended = state.lease is not None and holder in state.lease
            yield (
                f"host {holder} waits for the other leases to expire",
                state._replace(
                    waited=state.waited | {holder},
                    lease=None if ended else state.lease,
                ),
            )
        fenced = acknowledging == len(state.hosts) or holder in state.waited
        if host.phase == "claimed" and fenced and self._may_order(host):
            yield f"host {holder} orders the promotion", self._order(state, holder)

    def _claim_steps(self, state, holder):
        host = state.hosts[holder]
        others_turn = any(not state.hosts[number].turn_over for number in host.known)
        if state.row is not None:
            others_turn = others_turn or not state.hosts[state.row].turn_over
        if host.era != state.era or others_turn:
            return
        claimed = state._replace(number=state.number + 1, row=holder)
        yield (
            f"host {holder} claims the group in era {state.era}",
            self._change(
                claimed,
                holder,
                phase="claimed",
                claim=(state.era, claimed.number),
                known=host.known | {holder},
                acknowledged=host.acknowledged | {holder},
            ),
        )

    def _send_claim(self, state, holder, number):
        following = self._exchange(state, holder, number)
        sender, host = following.hosts[holder], following.hosts[number]
        if self._outdated(sender, host) and holder not in host.known:
            return following
        for other in host.known - {holder}:
            rival = following.hosts[other]
            may_order = not rival.turn_over and rival.phase == "claimed"
            if may_order and self.turn_respected and rival.claim[0] < sender.claim[0]:
                return following
        following = self._learn(following, number, {holder})
        acknowledged = host.acknowledged | {holder}
        following = self._change(following, number, acknowledged=acknowledged)
        return following._replace(lease=None) if number == USER else following

    def _outdated(self, sender, host):
        return sender.claim[0] < host.era

    def _may_order(self, host):
        return not host.turn_over and (
            host.claim[0] == host.era or not self.holder_stops
        )

    def _order(self, state, holder):
        host = state.hosts[holder]
        token = host.claim if self.eras_in_versions else (0, host.claim[1])
        problem = ""
        if token <= state.highest_sent:
            problem = "a token was given twice or went back"
        elif host.claim[0] < host.era:
            problem = "an order under a claim that its holder knew may be lost"
        following = state._replace(
            orders=state.orders | {holder},
            highest_sent=max(token, state.highest_sent),
            problem=problem,
        )
        return self._change(following, holder, phase="ordered")

    def _exchange(self, state, first, second):
        """A message and its answer: both hosts learn the other's era."""
        if not self.eras_in_messages:
            return state
        era = max(state.hosts[first].era, state.hosts[second].era)
        return self._notice(self._notice(state, first, era), second, era)

    def _notice(self, state, number, era):
        return self._change(state, number, era=max(era, state.hosts[number].era))

    def _learn(self, state, number, claims):
        return self._change(state, number, known=state.hosts[number].known | claims)

    def _change(self, state, number, **changes):
        hosts = list(state.hosts)
        hosts[number] = hosts[number]._replace(**changes)
        return state._replace(hosts=tuple(hosts))


class TestEraModel:
    def test_keeps_all_promises_in_every_order_of_steps(self):
        model = EraModel()
        assert explore(EraState(), model.steps, lambda state: state.problem) > 5_000

    @pytest.mark.parametrize(
        ("missing", "violation"),
        [
            ("eras_in_versions", "given twice"),
            ("eras_in_messages", "was acknowledged|given twice"),
            ("confirmation", "was acknowledged"),
            ("turn_respected", "given twice or went back"),
            ("holder_stops", "knew may be lost"),
        ],
    )
    def test_removing_any_part_breaks_a_promise(self, missing, violation):
        model = EraModel(missing)
        with pytest.raises(Counterexample, match=violation) as caught:
            explore(EraState(), model.steps, lambda state: state.problem)
        print(f"without {missing}:\n{caught.value}")
        assert len(caught.value.steps) >= 3


class FleetHost(NamedTuple):
    knows: bool = False  # the claim
    acknowledged: bool = False  # as the holder counts it, also after a restart
    remembers: bool = True
    lease: str = NONE


class FleetState(NamedTuple):
    hosts: tuple = (FleetHost(),) * 4  # all but the holder, in any order
    claimed: bool = False
    majority: bool = False  # whether most hosts have acknowledged the claim
    waited: bool = False
    promoted: bool = False
    restarts: int = 2
    problem: str = ""


class ForgetfulModel:
    """One claim in a fleet of five hosts, some of which start again.

    A fleet of three is too small to show what a host may take as a proof that it knows
    all claims again: there, any two other hosts include the holder.

    A flag that is False removes one part: with ``confirmed`` a host that has forgotten
    claims confirms none, with ``own_proof`` it uses no proof of another host, and with
    ``store_only`` only a read of the store ends that, not the word of most hosts.
    """

    PARTS = ("confirmed", "own_proof", "store_only")
    MAJORITY = 3

    def __init__(self, missing=""):
        for part in self.PARTS:
            setattr(self, part, part != missing)

    def steps(self, state):
        if not state.claimed:
            yield "the holder makes a claim", state._replace(claimed=True)
        yield from self._fencing_steps(state)
        for number, host in enumerate(state.hosts):
            for name, following in self._host_steps(state, number, host):
                hosts = tuple(sorted(following.hosts))
                yield f"{name} ({host})", following._replace(hosts=hosts)

    def _fencing_steps(self, state):
        acknowledging = 1 + sum(host.acknowledged for host in state.hosts)
        if acknowledging >= self.MAJORITY and not state.majority:
            hosts = [
                host._replace(lease=OLD) if host.lease else host for host in state.hosts
            ]
            yield (
                "most hosts have acknowledged the claim",
                state._replace(majority=True, hosts=tuple(sorted(hosts))),
            )
        if state.majority and not state.waited:
            hosts = [
                host._replace(lease=NONE) if host.lease == OLD else host
                for host in state.hosts
            ]
            yield (
                "the holder waits for the other leases to expire",
                state._replace(waited=True, hosts=tuple(sorted(hosts))),
            )
        if state.claimed and (state.waited or acknowledging == 5):
            yield "the target is promoted", state._replace(promoted=True)

    def _host_steps(self, state, number, host):
        if state.claimed and not (host.knows and host.acknowledged):
            yield (
                "a host acknowledges the claim",
                self._change(state, number, knows=True, acknowledged=True, lease=NONE),
            )
        if state.restarts:
            yield (
                "a host starts again",
                self._change(
                    state._replace(restarts=state.restarts - 1),
                    number,
                    knows=False,
                    remembers=False,
                    lease=NONE,
                ),
            )
        lease = NONE if state.claimed else NEW
        knows = host.knows or state.claimed
        yield (
            "a host reads the store",
            self._change(state, number, knows=knows, remembers=True, lease=lease),
        )
        if host.lease:
            yield "a lease expires", self._change(state, number, lease=NONE)
            if state.promoted:
                problem = "the replaced leader was used"
                yield "a host uses the leader", state._replace(problem=problem)
        if not host.knows:
            yield from self._proof_steps(state, number, host)

    def _proof_steps(self, state, number, host):
        others = [other for at, other in enumerate(state.hosts) if at != number]
        vouching = sum(
            not other.knows and (other.remembers or not self.confirmed)
            for other in others
        )
        if vouching >= self.MAJORITY and not self.store_only:
            remembering = self._change(state, number, remembers=True)
            yield "most other hosts tell a host what they know", remembering
        if vouching + 1 >= self.MAJORITY and (host.remembers or not self.confirmed):
            leased = self._change(state, number, lease=NEW)
            yield "most hosts confirm to a host", leased
        for other in others:
            if other.lease and (host.remembers or not self.own_proof):
                passed_on = self._change(state, number, lease=other.lease)
                yield "a host passes its proof on", passed_on

    def _change(self, state, number, **changes):
        hosts = list(state.hosts)
        hosts[number] = hosts[number]._replace(**changes)
        return state._replace(hosts=tuple(hosts))


class TestForgetfulModel:
    def test_keeps_its_promise_in_every_order_of_steps(self):
        model = ForgetfulModel()
        assert explore(FleetState(), model.steps, lambda state: state.problem) > 500

    @pytest.mark.parametrize("missing", ForgetfulModel.PARTS)
    def test_removing_any_part_breaks_the_promise(self, missing):
        model = ForgetfulModel(missing)
        with pytest.raises(Counterexample, match="was used") as caught:
            explore(FleetState(), model.steps, lambda state: state.problem)
        print(f"without {missing}:\n{caught.value}")
