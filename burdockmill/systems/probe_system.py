"""Detect failed members by direct and indirect probes of ring neighbours."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from burdockmill.messages.actions import Action, LogDecision, SendToPeer
from burdockmill.messages.events import (
    Event,
    HostStarted,
    PauseDetected,
    PeerDelivered,
    PeerReceived,
    PeerRevisionReceived,
    PeerUnreachable,
)
from burdockmill.messages.fleet import (
    GossipUpdates,
    IndirectProbeRequest,
    IndirectProbeSucceeded,
    MemberStatus,
    Probe,
    ProbeKind,
)
from burdockmill.messages.store_position import StorePosition
from burdockmill.systems._anti_entropy import compare_digests
from burdockmill.systems._apply_updates import CONFIG, apply_updates, disseminate
from burdockmill.systems._fleet_rows import apply_member_update, member_update
from burdockmill.systems._probes import contradicts, send_probe
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.names import HostId
    from burdockmill.systems._ring import Ring
    from burdockmill.world import World

# A direct probe without a reply within its timeout is followed by indirect probes
# through other hosts. A member that these do not reach either is a suspect, and is
# declared dead when nothing is heard of it within the suspicion timeout.
PROBE_INTERVAL_MS = 1_000.0
DIRECT_PROBE_TIMEOUT_MS = 400.0
INDIRECT_PROBE_TIMEOUT_MS = 500.0
SUSPICION_TIMEOUT_MS = 1_000.0
SUSPECT_PROBE_INTERVAL_MS = 300.0
SUCCESSOR_COUNT = 2
INDIRECT_PROBE_HOSTS = 3
INITIAL_PEERS = 3
# A revision has this time to reach a peer by regular dissemination; a peer that still
# probes with an older one after that is sent a probe with the newer.
REVISION_SETTLE_MS = 600.0


class DueKey(NamedTuple):
    """Identify a timer; `host` is empty for the periodic probe."""

    kind: str
    host: HostId = ""


PROBE = DueKey("probe")


class ProbeSystem(System):
    """Probe ring neighbours; suspect those that do not reply, and declare them dead."""

    name = "probe"
    handles = (
        HostStarted,
        Probe,
        IndirectProbeRequest,
        IndirectProbeSucceeded,
        PeerDelivered,
        PeerUnreachable,
        PauseDetected,
    )

    def __init__(self, ring: Ring) -> None:
        self._ring = ring
        self._probe_turn = 0
        # "direct": a direct probe awaits its reply; "indirect": other hosts are
        # requested to probe; "suspected": the suspicion is disseminated.
        self._stage_by_host: dict[HostId, str] = {}
        self._requesters_by_target: dict[HostId, set[HostId]] = {}

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Handle evidence of live and failed members, and send probes that are due."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            self._handle(world, event, now_ms, actions)
        for key in world.due(self.name).pop_due(now_ms):
            self._on_due(world, key, now_ms, actions)
        return actions

    def _handle(
        self, world: World, event: Event, now_ms: float, actions: list[Action]
    ) -> None:
        match event:
            case HostStarted():
                self._start(world, event, now_ms, actions)
            case PeerReceived(message=Probe() as probe):
                self._handle_probe(world, event.sender, probe, now_ms, actions)
            case PeerReceived(message=IndirectProbeRequest() as request):
                requesters = self._requesters_by_target.setdefault(
                    request.target, set()
                )
                requesters.add(event.sender)
                self._send(world, request.target, now_ms, actions)
            case PeerReceived(message=IndirectProbeSucceeded() as reached):
                self._record_contact(world, reached.target, now_ms)
            case PeerDelivered(message=Probe()):
                self._record_contact(world, event.host, now_ms)
                for requester in sorted(self._requesters_by_target.pop(event.host, ())):
                    actions.append(
                        SendToPeer(requester, IndirectProbeSucceeded(event.host))
                    )
            case PeerUnreachable():
                self._handle_unreachable(world, event, now_ms, actions)
            case PauseDetected():
                self._clear_suspicions(world)

    def _start(
        self, world: World, event: HostStarted, now_ms: float, actions: list[Action]
    ) -> None:
        due = world.due(self.name)
        due.schedule(PROBE, now_ms + world.rng.uniform(0.0, PROBE_INTERVAL_MS))
        same_domain = [seed.host for seed in event.seeds if seed.domain == world.domain]
        cross_domain = [
            seed.host for seed in event.seeds if seed.domain != world.domain
        ]
        for host in [*same_domain, *cross_domain][:INITIAL_PEERS]:
            self._send(world, host, now_ms, actions, kind=ProbeKind.REQUEST)

    def _handle_probe(
        self,
        world: World,
        host: HostId,
        probe: Probe,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        previous = world.member_by_host.get(host)
        is_new_member = previous is None or not previous.alive
        self._record_contact(world, host, now_ms)
        sender_update = GossipUpdates(members=(probe.sender,))
        from_sender = apply_updates(world, host, sender_update, now_ms, actions)
        from_probe = apply_updates(world, host, probe.updates, now_ms, actions)
        disseminate(
            world,
            from_sender._replace(
                members=(*from_sender.members, *from_probe.members),
                holdings=from_probe.holdings,
                listed=from_probe.listed,
                limits=from_probe.limits,
            ),
        )
        current = world.member_by_host.get(host)
        if probe.kind is ProbeKind.REQUEST and current is not None:
            reply = GossipUpdates(members=(member_update(current),))
            self._send(world, host, now_ms, actions, reply, kind=ProbeKind.RESPONSE)
        elif current is not None and contradicts(current, probe.sender):
            self._send(
                world,
                host,
                now_ms,
                actions,
                GossipUpdates(members=(member_update(current),)),
            )
        confirmed_ms = now_ms - probe.confirmed_age_ms
        world.fleet.confirmed_ms = max(world.fleet.confirmed_ms, confirmed_ms)
        revision = PeerRevisionReceived(host, probe.revision, probe.store_era)
        world.put_event(CONFIG, revision)
        if self._is_behind(world, probe, now_ms):
            self._send(world, host, now_ms, actions, kind=ProbeKind.RESPONSE)
        compare_digests(world, host, probe.digests, is_new_member, now_ms, actions)

    def _is_behind(self, world: World, probe: Probe, now_ms: float) -> bool:
        since_ms = now_ms - world.fleet.active_since_ms
        reported = StorePosition(probe.store_era, probe.revision)
        active = StorePosition(world.catalog.era, world.revision)
        is_settled = since_ms > REVISION_SETTLE_MS
        return reported < active and is_settled and probe.kind == ProbeKind.ONE_WAY

    def _record_contact(self, world: World, host: HostId, now_ms: float) -> None:
        fleet = world.fleet
        fleet.last_contact_ms = now_ms
        fleet.last_contact_ms_by_host[host] = now_ms
        row = world.member_by_host.get(host)
        if row is not None:
            fleet.last_contact_ms_by_domain[row.domain] = now_ms
        if self._stage_by_host.pop(host, None) is not None:
            for kind in ("direct", "indirect", "suspicion", "suspect_probe"):
                world.due(self.name).cancel(DueKey(kind, host))

    def _handle_unreachable(
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
        if self._requesters_by_target.pop(event.host, None) is not None:
            return
        stage = self._stage_by_host.get(event.host)
        if stage is None and not row.suspect:
            self._send(world, event.host, now_ms, actions, await_reply=True)
        elif stage == "direct":
            self._request_indirect_probes(world, event.host, now_ms, actions)

    def _on_due(
        self, world: World, key: DueKey, now_ms: float, actions: list[Action]
    ) -> None:
        match key.kind:
            case "probe":
                self._probe_next(world, now_ms, actions)
            case "direct":
                self._request_indirect_probes(world, key.host, now_ms, actions)
            case "indirect":
                self._suspect(world, key.host, now_ms, actions)
            case "suspect_probe":
                self._probe_suspect(world, key.host, now_ms, actions)
            case "suspicion":
                self._declare_dead(world, key.host, now_ms, actions)

    def _probe_next(self, world: World, now_ms: float, actions: list[Action]) -> None:
        world.due(self.name).schedule(PROBE, now_ms + PROBE_INTERVAL_MS)
        self._probe_turn += 1
        successors = self._ring.successors(world, SUCCESSOR_COUNT)
        if successors:
            target = successors[self._probe_turn % len(successors)]
            if target not in self._stage_by_host:
                self._send(world, target, now_ms, actions, await_reply=True)

    def _send(
        self,
        world: World,
        host: HostId,
        now_ms: float,
        actions: list[Action],
        updates: GossipUpdates | None = None,
        await_reply: bool = False,
        kind: ProbeKind = ProbeKind.ONE_WAY,
    ) -> None:
        send_probe(world, host, now_ms, actions, updates, kind)
        if await_reply and host not in self._stage_by_host:
            self._stage_by_host[host] = "direct"
            world.due(self.name).schedule(
                DueKey("direct", host), now_ms + DIRECT_PROBE_TIMEOUT_MS
            )

    def _request_indirect_probes(
        self, world: World, host: HostId, now_ms: float, actions: list[Action]
    ) -> None:
        self._stage_by_host[host] = "indirect"
        world.due(self.name).cancel(DueKey("direct", host))
        members = self._ring.members(world)
        others = [
            member.host for member in members if member.host not in (world.host, host)
        ]
        for helper in world.rng.sample(others, min(INDIRECT_PROBE_HOSTS, len(others))):
            actions.append(SendToPeer(helper, IndirectProbeRequest(host)))
        self._send(world, host, now_ms, actions)
        world.due(self.name).schedule(
            DueKey("indirect", host), now_ms + INDIRECT_PROBE_TIMEOUT_MS
        )

    def _suspect(
        self, world: World, host: HostId, now_ms: float, actions: list[Action]
    ) -> None:
        row = world.member_by_host.get(host)
        if row is None or not row.alive:
            self._stage_by_host.pop(host, None)
            return
        self._stage_by_host[host] = "suspected"
        due = world.due(self.name)
        due.schedule(DueKey("suspicion", host), now_ms + SUSPICION_TIMEOUT_MS)
        self._apply_status(world, host, MemberStatus.SUSPECT, now_ms, actions)
        self._probe_suspect(world, host, now_ms, actions)

    def _clear_suspicions(self, world: World) -> None:
        for host in self._stage_by_host:
            for kind in ("direct", "indirect", "suspicion", "suspect_probe"):
                world.due(self.name).cancel(DueKey(kind, host))
        self._stage_by_host.clear()

    def _probe_suspect(
        self, world: World, host: HostId, now_ms: float, actions: list[Action]
    ) -> None:
        row = world.member_by_host.get(host)
        if row is None or self._stage_by_host.get(host) != "suspected":
            return
        self._send(
            world, host, now_ms, actions, GossipUpdates(members=(member_update(row),))
        )
        world.due(self.name).schedule(
            DueKey("suspect_probe", host), now_ms + SUSPECT_PROBE_INTERVAL_MS
        )

    def _declare_dead(
        self, world: World, host: HostId, now_ms: float, actions: list[Action]
    ) -> None:
        self._stage_by_host.pop(host, None)
        world.due(self.name).cancel(DueKey("suspect_probe", host))
        self._apply_status(world, host, MemberStatus.DEAD, now_ms, actions)

    def _apply_status(
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
        update = member_update(row)._replace(status=status)
        if apply_member_update(world, update, now_ms):
            disseminate(world, GossipUpdates(members=(update,)))
            world.counter_by_name[f"members_called_{status.name.lower()}"] += 1
            choice = f"{host} {status.name.lower()}"
            actions.append(LogDecision("member", "", choice, "no reply to any probe"))
