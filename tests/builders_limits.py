"""Build an owner system with its world, and drive it without a fleet."""

from __future__ import annotations

import random

import msgspec

from burdockmill.errors import Ran
from burdockmill.messages.actions import SendToPeer, SendToUpstream
from burdockmill.messages.events import (
    PeerReceived,
    RulesAccepted,
    UpstreamAnswered,
    UpstreamFailed,
    UpstreamRefused,
)
from burdockmill.messages.peer import (
    NO_BODY,
    Part,
    Reason,
    WorkAnswer,
    WorkCancel,
    WorkRequest,
)
from burdockmill.rules.model import (
    AllowRule,
    LeavingRule,
    RequestKind,
    RuleSet,
    ServiceRule,
    UpstreamRule,
)
from burdockmill.slots import FULL_RANGE
from burdockmill.systems.config_system import ConfigSystem
from burdockmill.systems.owner_system import OwnerSystem
from burdockmill.systems.routing import Router
from burdockmill.tables.rows import MemberRow
from burdockmill.world import World

DOMAIN = "waw-a"


def make_upstream(name="u1", slots=2, connections=25, domain=DOMAIN):
    return UpstreamRule(name, "Tests", domain, "127.0.0.1:9", slots, connections, 6)


def make_rule_set(*upstreams, revision=1, leaving=(), rate=None):
    upstreams = upstreams or (make_upstream(),)
    allow = AllowRule("payroll", "Tests", "leave", frozenset(RequestKind), rate)
    return RuleSet(
        revision=revision,
        service_by_name={"leave": ServiceRule("leave", "Tests")},
        upstream_by_id={rule.name: rule for rule in upstreams},
        shards_by_service={},
        caller_by_digest={},
        allow_by_caller_service={("payroll", "leave"): allow},
        leaving_by_upstream={name: LeavingRule(name, "Tests") for name in leaving},
    )


class OwnerBench:
    """Post events to one owner system and record what it sends."""

    def __init__(self, *upstreams, seed=1):
        self.world = World("own", DOMAIN, random.Random(seed))
        self.world.member_by_host["own"] = MemberRow("own", DOMAIN, "r", "127.0.0.1:1")
        self.owner = OwnerSystem(Router())
        self.config = ConfigSystem()
        self.now_ms = 0.0
        self.sent: list[SendToUpstream] = []
        self.outcomes = []
        self.actions = []
        self.count = 0
        self.set_rules(make_rule_set(*upstreams))

    def set_rules(self, rules):
        accepted = RulesAccepted(rules, "tests")
        self.world.put_event("config", accepted)
        self.config.run(self.world, self.now_ms)
        self.post(accepted)

    def post(self, event):
        self.world.put_event("owner", event)
        self.run()

    def run(self):
        made = self.owner.run(self.world, self.now_ms)
        self.actions.extend(made)
        for action in made:
            if isinstance(action, SendToUpstream):
                self.sent.append(action)
            if isinstance(action, SendToPeer) and isinstance(
                action.message, WorkAnswer
            ):
                request_id = action.message.request_id
                self.outcomes.extend((request_id, o) for o in action.message.outcomes)

    def advance(self, by_ms):
        self.advance_to(self.now_ms + by_ms)

    def advance_to(self, until_ms):
        while (due := self.world.due("owner").next_due_ms()) is not None:
            if due > until_ms:
                break
            self.now_ms = max(self.now_ms, due)
            self.run()
        self.now_ms = until_ms

    def submit(self, caller="payroll", remaining_ms=1_000.0, upstream="u1", **changes):
        self.count += 1
        request_id = changes.pop("request_id", f"{caller}-{self.count}")
        request = WorkRequest(
            request_id=request_id,
            kind=changes.pop("kind", RequestKind.FETCH),
            service="leave",
            caller=caller,
            snapshot=1,
            remaining_ms=remaining_ms,
            limit=10,
            key="LR-1",
            body=NO_BODY,
            parts=[Part(1, upstream, "leave-0", FULL_RANGE)],
        )
        self.post(PeerReceived("entry", request))
        return request_id

    def cancel(self, request_id):
        self.post(PeerReceived("entry", WorkCancel(request_id, [1])))

    def answer(self, request_id, upstream="u1"):
        body = msgspec.Raw(b"{}")
        self.post(
            UpstreamAnswered(
                request_id, 1, upstream, 1, (), 1, [], body, True, (1,), False
            )
        )

    def shed(self, request_id, reason=Reason.SHED, upstream="u1"):
        self.post(UpstreamRefused(request_id, 1, upstream, reason, 50, (1,), False))

    def fail(self, request_id, reason=Reason.BROKEN, upstream="u1"):
        self.post(UpstreamFailed(request_id, 1, upstream, reason, Ran.UNKNOWN))

    def outcome_of(self, request_id):
        found = [outcome for name, outcome in self.outcomes if name == request_id]
        assert len(found) <= 1, f"{request_id} ended twice: {found}"
        return found[0] if found else None

    def sent_ids(self):
        return [send.request_id for send in self.sent]

    def admission(self, upstream="u1"):
        return self.owner._admissions.get(upstream)

    def train(self, took_ms=10.0, rounds=12, upstream="u1"):
        """Complete attempts so that the owner can estimate service times."""
        for _ in range(rounds):
            request_id = self.submit(upstream=upstream)
            self.advance(took_ms)
            self.answer(request_id, upstream)
