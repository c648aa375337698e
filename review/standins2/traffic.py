"""Send requests at a steady rate to all hosts of a site."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from review.standins2.client import Answer, ask
from review.standins2.host import Host
from review.standins2.record import Record


class Traffic:
    """Send requests in turn to hosts; keep what was answered."""

    def __init__(
        self,
        record: Record,
        hosts: Callable[[], list[Host]],
        path: str,
        per_s: float,
        deadline_ms: int = 2_000,
    ) -> None:
        self.answers: list[Answer] = []
        # When each request was sent, in milliseconds of the record, and to which host.
        self.sent: dict[str, tuple[float, str]] = {}
        self._record = record
        self._hosts = hosts
        self._path = path
        self._interval_s = 1.0 / per_s
        self._deadline_ms = deadline_ms
        self._count = 0

    async def run(self, seconds: float) -> None:
        """Send for a time, then wait for the last answers."""
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        tasks = []
        number = 0
        while number * self._interval_s < seconds:
            await asyncio.sleep(begun_s + number * self._interval_s - loop.time())
            tasks.append(asyncio.create_task(self._send()))
            number += 1
        await asyncio.gather(*tasks)

    async def _send(self) -> None:
        hosts = self._hosts()
        self._count += 1
        host = hosts[self._count % len(hosts)]
        path = f"{self._path}{self._count}"
        answer = await ask(
            self._record, host.front, "club.example", path, self._deadline_ms
        )
        self.answers.append(answer)
        self.sent[answer.request_id] = (answer.sent_ms, host.name)
        self._record.add(
            f"{answer.request_id} sent {answer.sent_ms:.0f} to {host.name},"
            f" answered {answer.status}"
        )
