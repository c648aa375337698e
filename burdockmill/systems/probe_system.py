"""Find out which members live by probing neighbours, directly and indirectly."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.messages.actions import Action, LogDecision, SendToPeer
from burdockmill.messages.events import (
    Event,
    HostStarted,
    PeerDelivered,
    PeerReceived,
    PeerUnreachable,
    RevisionSeen,
    WokeLate,
)
from burdockmill.messages.fleet import (
    MemberStatus,
    News,
    Probe,
    ProbeAsk,
    ProbeKind,
    ProbeReached,
)
from burdockmill.systems._intake import CONFIG, apply_updates, disseminate
from burdockmill.systems._news import apply_member_update, member_update
from burdockmill.systems._probes import contradicts, send_probe
from burdockmill.systems._sync import compare_digests
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.names import HostId
    from burdockmill.systems._ring import Ring
    from burdockmill.world import World

PROBE_MS = 1_000.0
LATE_MS = 400.0
SUSPECT_MS = 500.0
DEAD_MS = 1_000.0
REPEAT_MS = 300.0
SUCCESSORS = 2
HELPERS = 3
FIRST_PEERS = 3
REVISION_SETTLE_MS = 600.0


class DueKey(NamedTuple):
    """Name what falls due; `host` is empty where there is none."""

    kind: str
    host: HostId = ""


PROBE = DueKey("probe")


class ProbeSystem(System):
    """Probe ring neighbours; suspect, and call dead."""

    name = "probe"
    handles = (
        HostStarted,
        Probe,
        ProbeAsk,
        ProbeReached,
        PeerDelivered,
        PeerUnreachable,
        WokeLate,
    )

    def __init__(self, ring: Ring) -> None:
        self._ring = ring
        self._turn = 0
        self._stage_by_host: dict[HostId, str] = {}
        self._askers_by_target: dict[HostId, set[HostId]] = {}

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Take in evidence, and probe what is due."""
        actions: list[Action] = []
        for event in world.take_events(self.name):
            self._take(world, event, now_ms, actions)
        for key in world.due(self.name).take(now_ms):
            self._on_due(world, key, now_ms, actions)
        return actions

    def _take(
        self, world: World, event: Event, now_ms: float, actions: list[Action]
    ) -> None:
        match event:
            case HostStarted():
                self._start(world, event, now_ms, actions)
            case PeerReceived(message=Probe() as probe):
                self._receive(world, event.sender, probe, now_ms, actions)
            case PeerReceived(message=ProbeAsk() as ask):
                asking = self._askers_by_target.setdefault(ask.target, set())
                asking.add(event.sender)
                self._send(world, ask.target, now_ms, actions)
            case PeerReceived(message=ProbeReached() as reached):
                self._heard(world, reached.target, now_ms)
            case PeerDelivered(message=Probe()):
                self._heard(world, event.host, now_ms)
                for asker in sorted(self._askers_by_target.pop(event.host, ())):
                    actions.append(SendToPeer(asker, ProbeReached(event.host)))
            case PeerUnreachable():
                self._unreachable(world, event, now_ms, actions)
            case WokeLate():
                self._forget_suspicions(world)

    def _start(
        self, world: World, event: HostStarted, now_ms: float, actions: list[Action]
    ) -> None:
        due = world.due(self.name)
        due.schedule(PROBE, now_ms + world.rng.uniform(0.0, PROBE_MS))
        near = [one.host for one in event.seeds if one.domain == world.domain]
        others = [one.host for one in event.seeds if one.domain != world.domain]
        for host in [*near, *others][:FIRST_PEERS]:
            self._send(world, host, now_ms, actions, kind=ProbeKind.ASK)

    def _receive(
        self,
        world: World,
        host: HostId,
        probe: Probe,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        before = world.member_by_host.get(host)
        stranger = before is None or not before.alive
        self._heard(world, host, now_ms)
        said = News(members=(probe.sender,))
        fresh = apply_updates(world, host, said, now_ms, actions)
        told = apply_updates(world, host, probe.news, now_ms, actions)
        disseminate(
            world,
            fresh._replace(
                members=(*fresh.members, *told.members),
                holdings=told.holdings,
                listed=told.listed,
            ),
        )
        known = world.member_by_host.get(host)
        if probe.kind is ProbeKind.ASK and known is not None:
            told = News(members=(member_update(known),))
            self._send(world, host, now_ms, actions, told, kind=ProbeKind.ANSWER)
        elif known is not None and contradicts(known, probe.sender):
            self._send(
                world, host, now_ms, actions, News(members=(member_update(known),))
            )
        confirmed_ms = now_ms - probe.confirmed_age_ms
        world.fleet.confirmed_ms = max(world.fleet.confirmed_ms, confirmed_ms)
        world.put_event(CONFIG, RevisionSeen(host, probe.revision))
        if self._is_behind(world, probe, now_ms):
            self._send(world, host, now_ms, actions, kind=ProbeKind.ANSWER)
        compare_digests(world, host, probe.digests, stranger, now_ms, actions)

    def _is_behind(self, world: World, probe: Probe, now_ms: float) -> bool:
        since_ms = now_ms - world.fleet.in_force_since_ms
        in_force = world.revision
        is_settled = since_ms > REVISION_SETTLE_MS
        return (
            probe.revision < in_force and is_settled and probe.kind == ProbeKind.PLAIN
        )

    def _heard(self, world: World, host: HostId, now_ms: float) -> None:
        fleet = world.fleet
        fleet.heard_ms = now_ms
        fleet.heard_ms_by_host[host] = now_ms
        row = world.member_by_host.get(host)
        if row is not None:
            fleet.heard_ms_by_domain[row.domain] = now_ms
        if self._stage_by_host.pop(host, None) is not None:
            for kind in ("late", "suspect", "dead", "repeat"):
                world.due(self.name).cancel(DueKey(kind, host))

    def _unreachable(
        self,
        world: World,
        event: PeerUnreachable,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        row = world.member_by_host.get(event.host)
        if not world.fleet.started or row is None or not row.alive:
            return
        if row.domain != world.domain or event.host == world.host:
            return
        if self._askers_by_target.pop(event.host, None) is not None:
            return
        stage = self._stage_by_host.get(event.host)
        if stage is None and not row.suspect:
            self._send(world, event.host, now_ms, actions, watch=True)
        elif stage == "late":
            self._ask_helpers(world, event.host, now_ms, actions)

    def _on_due(
        self, world: World, key: DueKey, now_ms: float, actions: list[Action]
    ) -> None:
        match key.kind:
            case "probe":
                self._probe_next(world, now_ms, actions)
            case "late":
                self._ask_helpers(world, key.host, now_ms, actions)
            case "suspect":
                self._suspect(world, key.host, now_ms, actions)
            case "repeat":
                self._repeat(world, key.host, now_ms, actions)
            case "dead":
                self._call_dead(world, key.host, now_ms, actions)

    def _probe_next(self, world: World, now_ms: float, actions: list[Action]) -> None:
        world.due(self.name).schedule(PROBE, now_ms + PROBE_MS)
        self._turn += 1
        near = self._ring.successors(world, SUCCESSORS)
        if near:
            target = near[self._turn % len(near)]
            if target not in self._stage_by_host:
                self._send(world, target, now_ms, actions, watch=True)

    def _send(
        self,
        world: World,
        host: HostId,
        now_ms: float,
        actions: list[Action],
        news: News | None = None,
        watch: bool = False,
        kind: ProbeKind = ProbeKind.PLAIN,
    ) -> None:
        send_probe(world, host, now_ms, actions, news, kind)
        if watch and host not in self._stage_by_host:
            self._stage_by_host[host] = "late"
            world.due(self.name).schedule(DueKey("late", host), now_ms + LATE_MS)

    def _ask_helpers(
        self, world: World, host: HostId, now_ms: float, actions: list[Action]
    ) -> None:
        self._stage_by_host[host] = "asked"
        world.due(self.name).cancel(DueKey("late", host))
        places = self._ring.places(world)
        others = [
            place.host for place in places if place.host not in (world.host, host)
        ]
        for helper in world.rng.sample(others, min(HELPERS, len(others))):
            actions.append(SendToPeer(helper, ProbeAsk(host)))
        self._send(world, host, now_ms, actions)
        world.due(self.name).schedule(DueKey("suspect", host), now_ms + SUSPECT_MS)

    def _suspect(
        self, world: World, host: HostId, now_ms: float, actions: list[Action]
    ) -> None:
        row = world.member_by_host.get(host)
        if row is None or not row.alive:
            self._stage_by_host.pop(host, None)
            return
        self._stage_by_host[host] = "suspected"
        due = world.due(self.name)
        due.schedule(DueKey("dead", host), now_ms + DEAD_MS)
        self._tell(world, host, MemberStatus.SUSPECT, now_ms, actions)
        self._repeat(world, host, now_ms, actions)

    def _forget_suspicions(self, world: World) -> None:
        for host in self._stage_by_host:
            for kind in ("late", "suspect", "dead", "repeat"):
                world.due(self.name).cancel(DueKey(kind, host))
        self._stage_by_host.clear()

    def _repeat(
        self, world: World, host: HostId, now_ms: float, actions: list[Action]
    ) -> None:
        row = world.member_by_host.get(host)
        if row is None or self._stage_by_host.get(host) != "suspected":
            return
        self._send(world, host, now_ms, actions, News(members=(member_update(row),)))
        world.due(self.name).schedule(DueKey("repeat", host), now_ms + REPEAT_MS)

    def _call_dead(
        self, world: World, host: HostId, now_ms: float, actions: list[Action]
    ) -> None:
        self._stage_by_host.pop(host, None)
        world.due(self.name).cancel(DueKey("repeat", host))
        self._tell(world, host, MemberStatus.DEAD, now_ms, actions)

    def _tell(
        self,
        world: World,
        host: HostId,
        status: MemberStatus,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        row = world.member_by_host.get(host)
        if row is None:
            return
        news = member_update(row)._replace(status=status)
        if apply_member_update(world, news, now_ms):
            disseminate(world, News(members=(news,)))
            world.counter_by_name[f"members_called_{status.name.lower()}"] += 1
            choice = f"{host} {status.name.lower()}"
            actions.append(LogDecision("member", "", choice, "no probe was answered"))
