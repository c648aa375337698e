"""Free what the frames of a task that failed or was cancelled refer to."""

from __future__ import annotations

import asyncio

from burdockmill.errors import free_frames


def free_task_frames(task: asyncio.Task) -> None:
    """Drop the tracebacks of the error that ended a task, if one did.

    One of the variables of its frames is often the task, or what refers to it: without
    this they stay until the cyclic garbage collector runs.
    """
    try:
        # A task keeps a traceback beside its error, until its result is asked for.
        task.result()
    except (Exception, asyncio.CancelledError) as error:
        free_frames(error)
