"""Simulate an upstream: search, fetch and actions over generated records."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, TypedDict, TypeVar, cast

import msgspec
from aiohttp import web

from burdockmill.messages.peer import Reason
from burdockmill.messages.upstream import (
    UpstreamAction,
    UpstreamActionAnswer,
    UpstreamCancel,
    UpstreamFetch,
    UpstreamFetchAnswer,
    UpstreamRefusal,
    UpstreamSearch,
    UpstreamSearchAnswer,
)
from burdockmill.rules.model import RequestKind
from burdockmill.slots import FULL_RANGE, SlotRange, overlap, slot_of, subtract
from burdockmill.standins.admission_control import ShedError
from burdockmill.standins.jobs import Job, JobKey
from burdockmill.standins.records import check_query, search_records
from burdockmill.standins.refusals import CONFLICT, GONE, RefusedError, rejected
from burdockmill.standins.server import (
    break_connection,
    json_response,
)
from burdockmill.standins.upstream_state import RanRow, UpstreamState

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from burdockmill.names import SnapshotId
    from burdockmill.standins.records import Record

DEADLINE_HEADER = "Deadline-Ms"
SHED_RETRY_AFTER_MS = 50
STATUS_BY_ACTION = {"approve": "approved", "book": "booked", "release": "released"}
BAD_REQUEST = 400
NOT_FOUND = 404


class CancelAnswer(TypedDict):
    """Report whether an attempt was cancelled."""

    cancelled: bool


AnyMessage = UpstreamSearch | UpstreamFetch | UpstreamAction
MessageT = TypeVar("MessageT", UpstreamSearch, UpstreamFetch, UpstreamAction)


class StandinUpstream(UpstreamState):
    """Serve one upstream over HTTP."""

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        match (request.method, request.path):
            case ("POST", "/v1/search"):
                return await self._run_attempt(request, UpstreamSearch, self._search)
            case ("POST", "/v1/fetch"):
                return await self._run_attempt(request, UpstreamFetch, self._fetch)
            case ("POST", "/v1/actions"):
                return await self._run_attempt(
                    request, UpstreamAction, self._run_action
                )
            case ("POST", "/v1/cancel"):
                return await self._cancel(request)
            case ("GET", "/v1/health"):
                return json_response(self.reported_health or self.health())
            case ("GET", "/v1/load"):
                return json_response(self.reported_load or self.load())
        return web.Response(status=NOT_FOUND)

    async def _cancel(self, request: web.BaseRequest) -> web.Response:
        try:
            message = msgspec.json.decode(await request.read(), type=UpstreamCancel)
        except msgspec.MsgspecError:
            return web.Response(status=BAD_REQUEST)
        key = JobKey(message["request_id"], message["attempt"])
        return json_response(CancelAnswer(cancelled=self.jobs.cancel(key)))

    async def _run_attempt(
        self,
        request: web.BaseRequest,
        message_type: type[MessageT],
        work: Callable[[MessageT, Job], Awaitable[object]],
    ) -> web.StreamResponse:
        try:
            message = msgspec.json.decode(await request.read(), type=message_type)
            remaining_ms = _remaining_ms(request)
        except (msgspec.MsgspecError, ValueError):
            return web.Response(status=BAD_REQUEST)
        faults = self.faults
        if faults.drop_before_running:
            return break_connection(request)
        key = JobKey(message["request_id"], message["attempt"])
        job = Job(stoppable=message_type is not UpstreamAction)
        try:
            self._check_admission(remaining_ms)
            answer = await self.jobs.run(
                key, job, remaining_ms, lambda job: work(message, job)
            )
        except ShedError:
            refused = RefusedError(Reason.SHED, retry_after_ms=SHED_RETRY_AFTER_MS)
            return self._refuse(key, refused)
        except RefusedError as refused:
            return self._refuse(key, refused)
        if self.draining:
            cast("dict[str, Any]", answer)["draining"] = True
        return await self._replies.write(
            request, cast("dict[str, Any]", answer), faults
        )

    def _check_admission(self, remaining_ms: float | None) -> None:
        if remaining_ms is not None and remaining_ms <= 0:
            raise RefusedError(Reason.DEADLINE)
        if self.drain_is_hard:
            raise RefusedError(Reason.DRAINING)
        if self.shed_all:
            raise ShedError

    def _refuse(self, key: JobKey, refused: RefusedError) -> web.Response:
        kind = str(refused.kind)
        self.refused_by_kind[kind] = self.refused_by_kind.get(kind, 0) + 1
        refusal = UpstreamRefusal(
            request_id=key.request_id,
            attempt=key.attempt,
            kind=kind,
            ran=refused.ran,
            snapshots=list(self.snapshots),
        )
        if refused.retry_after_ms is not None:
            refusal["retry_after_ms"] = refused.retry_after_ms
        if self.draining:
            refusal["draining"] = True
        return json_response(refusal, refused.status)

    async def _search(self, message: UpstreamSearch, job: Job) -> UpstreamSearchAnswer:
        snapshot = message["snapshot"]
        covered = self._held_slots(message["slots"])
        _check_query(message["query"])
        async with self.admission.enter():
            if snapshot not in self.snapshots:
                raise RefusedError(Reason.SNAPSHOT_GONE, status=GONE)
            row = self._start(job, message, RequestKind.SEARCH, "", snapshot)
            await self._wait_service_time(row)
            found = search_records(
                self.records.records_in(snapshot, covered),
                message["query"],
                message["limit"],
            )
        return UpstreamSearchAnswer(
            request_id=message["request_id"],
            attempt=message["attempt"],
            shard=message["shard"],
            snapshot=snapshot,
            slots=[list(piece) for piece in covered],
            total=found.total,
            hit_count=len(found.hits),
            hits=found.hits,
            snapshots=list(self.snapshots),
        )

    async def _fetch(self, message: UpstreamFetch, job: Job) -> UpstreamFetchAnswer:
        key = message["key"]
        self._check_holds(key)
        async with self.admission.enter():
            row = self._start(
                job, message, RequestKind.FETCH, key, self._newest_snapshot()
            )
            await self._wait_service_time(row)
            record = self._current_record(key)
        return UpstreamFetchAnswer(
            request_id=message["request_id"],
            attempt=message["attempt"],
            shard=message["shard"],
            key=key,
            found=record is not None,
            record=record,
            snapshots=list(self.snapshots),
        )

    async def _run_action(
        self, message: UpstreamAction, job: Job
    ) -> UpstreamActionAnswer:
        key = message["key"]
        status = _status_after(message["action"])
        self._check_holds(key)
        async with self.admission.enter():
            record = self._current_record(key)
            if record is None:
                raise rejected()
            row = self._start(
                job, message, RequestKind.ACTION, key, self._newest_snapshot()
            )
            changed = record.copy()
            changed["status"] = status
            self.overlay[key] = changed
            await self._wait_service_time(row)
        return UpstreamActionAnswer(
            request_id=message["request_id"],
            attempt=message["attempt"],
            shard=message["shard"],
            key=key,
            result=changed,
            snapshots=list(self.snapshots),
        )

    def _start(
        self,
        job: Job,
        message: AnyMessage,
        kind: RequestKind,
        key: str,
        snapshot: SnapshotId,
    ) -> RanRow:
        job.start()
        row = RanRow(
            message["request_id"],
            message["attempt"],
            kind,
            key,
            snapshot,
            self._clock.now_ms(),
        )
        self.log.append(row)
        return row

    async def _wait_service_time(self, row: RanRow) -> None:
        wait_ms = 0.0 if self.service_ms is None else self.service_ms(row)
        if self.cold_requests_left > 0:
            self.cold_requests_left -= 1
            wait_ms += self.cold_extra_ms
        wait_ms *= self.faults.slow_factor
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / 1000)

    def _held_slots(self, requested: list[int]) -> tuple[SlotRange, ...]:
        if len(requested) != 2:
            raise rejected()
        not_held = subtract((FULL_RANGE,), self.holdings)
        return subtract((SlotRange(*requested),), not_held)

    def _check_holds(self, key: str) -> None:
        slot = slot_of(key)
        if not overlap((SlotRange(slot, slot),), self.holdings):
            raise RefusedError(Reason.NOT_OWNER, status=CONFLICT)

    def _current_record(self, key: str) -> Record | None:
        return self.overlay.get(key) or self.records.latest(key)

    def _newest_snapshot(self) -> SnapshotId:
        return max(self.snapshots, default=0)


def _remaining_ms(request: web.BaseRequest) -> float | None:
    header = request.headers.get(DEADLINE_HEADER)
    return None if header is None else float(header)


def _check_query(query: object) -> None:
    try:
        check_query(query)
    except ValueError as error:
        raise rejected() from error


def _status_after(action: object) -> str:
    if isinstance(action, dict):
        for name, status in STATUS_BY_ACTION.items():
            if action.get(name) is True:
                return status
    raise rejected()
