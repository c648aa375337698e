"""Activate newer revisions of the rules, and disseminate them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from returns.result import Success

from burdockmill.messages.actions import Action, LogDecision, SendToPeer
from burdockmill.messages.events import (
    Event,
    PeerReceived,
    PeerRevisionReceived,
    RevisionRead,
    RulesAccepted,
    RulesDeltasReceived,
)
from burdockmill.messages.fleet import (
    ChunkRequest,
    ChunkText,
    GossipUpdates,
    RulesDelta,
    RulesRequest,
    RulesResponse,
)
from burdockmill.rules.store import RulesLoader
from burdockmill.systems._active_rules import (
    activate_changes,
    activate_rules,
    active_revision,
    must_wait_at_start,
    record_activation,
)
from burdockmill.systems._apply_updates import disseminate
from burdockmill.systems._chunk_fetch import ChunkFetch
from burdockmill.systems._delta_log import DeltaLog
from burdockmill.systems.system import System

if TYPE_CHECKING:
    from burdockmill.names import HostId, Revision
    from burdockmill.rules.index import RuleChanges
    from burdockmill.world import World

REQUEST_DELAY_MS = 500.0
REQUEST_RETRY_MS = 700.0
FETCH_TIMEOUT_MS = 2_000.0
# A large revision is parsed one chunk at a time, with this pause for other events.
PARSE_STEP_MS = 1.0
PLATFORM = "platform"
START_RECHECK_MS = 200.0
REQUEST, FETCH, PARSE, DEFERRED = "request", "fetch", "parse", "deferred"


class ConfigSystem(System):
    """Activate newer revisions of the rules, never older ones."""

    name = "config"
    handles = (
        RulesAccepted,
        RevisionRead,
        RulesDeltasReceived,
        PeerRevisionReceived,
        RulesRequest,
        RulesResponse,
        ChunkRequest,
        ChunkText,
    )

    def __init__(self) -> None:
        self._log = DeltaLog()
        self._fetch: ChunkFetch | None = None
        self._loading: RulesLoader | None = None
        self._loading_source = ""
        self._deferred: RevisionRead | None = None
        self._revision_by_host: dict[HostId, Revision] = {}

    def run(self, world: World, now_ms: float) -> list[Action]:
        """Load revisions that arrive, serve them to peers, and request missing ones."""
        actions: list[Action] = []
        for event in world.drain_events(self.name):
            self._handle(world, event, now_ms, actions)
        for key in world.due(self.name).pop_due(now_ms):
            if key == REQUEST:
                self._request_rules(world, now_ms, actions)
            elif key == FETCH:
                self._abandon_fetch(world, now_ms)
            elif key == DEFERRED and self._deferred is not None:
                self._handle_revision(world, self._deferred, now_ms, actions)
            elif key == PARSE:
                self._parse_next(world, now_ms, actions)
        return actions

    def _handle(
        self, world: World, event: Event, now_ms: float, actions: list[Action]
    ) -> None:
        match event:
            case RulesAccepted() if event.rules is not world.rules:
                self._accept(world, event, now_ms, actions)
            case RevisionRead():
                self._handle_revision(world, event, now_ms, actions)
            case RulesDeltasReceived():
                self._handle_deltas(world, event.sender, event.deltas, now_ms, actions)
            case PeerRevisionReceived():
                self._record_revision(world, event.sender, event.revision, now_ms)
            case PeerReceived(message=RulesRequest() as request):
                response = self._log.make_response(request.revision, world.fleet.store)
                actions.append(SendToPeer(event.sender, response))
            case PeerReceived(message=RulesResponse() as response):
                self._handle_response(world, event.sender, response, now_ms, actions)
            case PeerReceived(message=ChunkRequest() as chunk_request):
                for digest in chunk_request.digests:
                    text = world.fleet.store.text(digest)
                    if text is not None:
                        actions.append(
                            SendToPeer(event.sender, ChunkText(digest, text))
                        )
            case PeerReceived(message=ChunkText() as chunk):
                self._handle_chunk(world, chunk, now_ms, actions)

    def _accept(
        self, world: World, event: RulesAccepted, now_ms: float, actions: list[Action]
    ) -> None:
        revision = event.rules.revision
        if self._is_not_newer(world, revision, event.source, actions):
            return
        activate_rules(world, event.rules, now_ms)
        actions.append(record_activation(world, event.rules, event.source, now_ms))

    def _handle_revision(
        self, world: World, event: RevisionRead, now_ms: float, actions: list[Action]
    ) -> None:
        revision = event.manifest["revision"]
        if self._is_not_newer(world, revision, event.source, actions):
            return
        if must_wait_at_start(world, revision, now_ms):
            self._deferred = event
            world.due(self.name).schedule(DEFERRED, now_ms + START_RECHECK_MS)
            return
        self._deferred = None
        entries = event.manifest["chunks"]
        names = tuple((entry["name"], entry["digest"]) for entry in entries)
        delta = world.fleet.store.delta_to(revision, names, event.text_by_digest)
        self._start_loading(world, delta, PLATFORM, now_ms, actions)

    def _handle_deltas(
        self,
        world: World,
        sender: HostId,
        deltas: tuple[RulesDelta, ...],
        now_ms: float,
        actions: list[Action],
    ) -> None:
        for delta in deltas:
            if delta.revision <= world.fleet.store.revision:
                continue
            self._revision_by_host[sender] = delta.revision
            if delta.base == world.fleet.store.revision and not delta.too_large:
                self._start_loading(world, delta, sender, now_ms, actions)
                continue
            self._record_revision(world, sender, delta.revision, now_ms)
            if self._fetch is None and self._loading is None:
                world.counter_by_name["config_deltas_missed"] += 1
                actions.append(
                    SendToPeer(sender, RulesRequest(world.fleet.store.revision))
                )

    def _handle_response(
        self,
        world: World,
        sender: HostId,
        response: RulesResponse,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        if response.deltas:
            self._handle_deltas(world, sender, tuple(response.deltas), now_ms, actions)
            return
        if response.revision <= active_revision(world) or self._fetch is not None:
            return
        self._fetch = ChunkFetch(sender, response, world.fleet.store)
        self._continue_fetch(world, now_ms, actions)

    def _handle_chunk(
        self, world: World, chunk: ChunkText, now_ms: float, actions: list[Action]
    ) -> None:
        if self._fetch is not None and self._fetch.accept(chunk):
            self._continue_fetch(world, now_ms, actions)

    def _continue_fetch(
        self, world: World, now_ms: float, actions: list[Action]
    ) -> None:
        fetch = self._fetch
        assert fetch is not None
        if fetch.is_complete:
            self._fetch = None
            world.due(self.name).cancel(FETCH)
            response = fetch.response
            if response.revision > active_revision(world):
                names = tuple(response.chunks)
                delta = world.fleet.store.delta_to(
                    response.revision, names, fetch.text_by_digest
                )
                self._start_loading(world, delta, fetch.host, now_ms, actions)
            return
        missing = fetch.next_request()
        if missing:
            actions.append(SendToPeer(fetch.host, ChunkRequest(missing)))
        world.due(self.name).schedule(FETCH, now_ms + FETCH_TIMEOUT_MS)

    def _abandon_fetch(self, world: World, now_ms: float) -> None:
        self._fetch = None
        world.counter_by_name["config_fetches_given_up"] += 1
        world.due(self.name).schedule(REQUEST, now_ms)

    def _start_loading(
        self,
        world: World,
        delta: RulesDelta,
        source: str,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        if self._loading is not None and self._loading.delta.revision >= delta.revision:
            return
        self._loading = RulesLoader(world.fleet.store, delta)
        self._loading_source = source
        self._parse_next(world, now_ms, actions)

    def _parse_next(self, world: World, now_ms: float, actions: list[Action]) -> None:
        loading = self._loading
        if loading is None:
            return
        steps = 1 if loading.delta.too_large else len(loading.delta.changes)
        for _ in range(steps):
            if not loading.reading_finished:
                loading.read_next()
        if not loading.reading_finished:
            world.due(self.name).schedule(PARSE, now_ms + PARSE_STEP_MS)
            return
        self._loading = None
        world.due(self.name).cancel(PARSE)
        self._finish_loading(world, loading, now_ms, actions)

    def _finish_loading(
        self,
        world: World,
        loading: RulesLoader,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        delta, source = loading.delta, self._loading_source
        if self._is_not_newer(world, delta.revision, source, actions):
            return
        result = loading.finish()
        if not isinstance(result, Success):
            refusal = result.failure()
            counter_name = "config_damaged" if refusal.damaged else "config_refused"
            world.counter_by_name[counter_name] += 1
            if not refusal.damaged:
                world.fleet.refused_revision = delta.revision
                world.fleet.refused_problems = refusal.problems
            choice = f"refused revision {delta.revision}"
            reason = "; ".join(refusal.problems)
            actions.append(LogDecision("config", "", choice, reason))
            return
        self._log.add(delta)
        self._activate(world, result.unwrap(), source, now_ms, actions)
        if source == PLATFORM:
            self._disseminate(world, delta)

    def _disseminate(self, world: World, delta: RulesDelta) -> None:
        if delta.too_large:
            delta = delta._replace(changes=())
        disseminate(world, GossipUpdates(rules=(delta,)))

    def _activate(
        self,
        world: World,
        changes: RuleChanges,
        source: str,
        now_ms: float,
        actions: list[Action],
    ) -> None:
        rules = changes.rules
        activate_changes(world, changes, now_ms)
        actions.append(record_activation(world, rules, source, now_ms))
        world.announce(RulesAccepted(rules, source, changes.upstreams))
        if world.is_starting(now_ms):
            # The first peer to respond may be behind the others.
            due = world.due(self.name)
            due.cancel(REQUEST)
            if self._revision_by_host:
                due.schedule(REQUEST, now_ms)

    def _record_revision(
        self, world: World, sender: HostId, revision: Revision, now_ms: float
    ) -> None:
        if revision <= active_revision(world):
            self._revision_by_host.pop(sender, None)
            return
        self._revision_by_host[sender] = revision
        world.fleet.newest_seen = max(world.fleet.newest_seen, revision)
        due = world.due(self.name)
        if REQUEST not in due:
            is_first = not world.rules or world.is_starting(now_ms)
            wait_ms = 0.0 if is_first else REQUEST_DELAY_MS
            due.schedule(REQUEST, now_ms + wait_ms)

    def _request_rules(
        self, world: World, now_ms: float, actions: list[Action]
    ) -> None:
        active = active_revision(world)
        ahead = {
            host: revision
            for host, revision in self._revision_by_host.items()
            if revision > active
        }
        self._revision_by_host = ahead
        if not ahead:
            return
        world.due(self.name).schedule(REQUEST, now_ms + REQUEST_RETRY_MS)
        if self._fetch is None and self._loading is None:
            newest = max(ahead.values())
            hosts = sorted(host for host in ahead if ahead[host] == newest)
            world.counter_by_name["config_asked"] += 1
            host = world.rng.choice(hosts)
            actions.append(SendToPeer(host, RulesRequest(world.fleet.store.revision)))

    def _is_not_newer(
        self, world: World, revision: Revision, source: str, actions: list[Action]
    ) -> bool:
        active = active_revision(world)
        if revision > active:
            return False
        if revision < active:
            world.counter_by_name["config_older_ignored"] += 1
            choice = f"ignored revision {revision} from {source}"
            reason = f"{active} is the active revision"
            actions.append(LogDecision("config", "", choice, reason))
        return True
