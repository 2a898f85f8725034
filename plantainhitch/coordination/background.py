"""Helpers for the asyncio tasks that a node owns."""

import asyncio


def spawn(coroutine, tasks):
    """Start a task and return it; the set ``tasks`` holds a reference until it ends."""
    task = asyncio.create_task(coroutine)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


async def run_until_first_completed(coroutines, other_tasks=()):
    """Run ``coroutines`` until the first one ends, then cancel the others.

    The exception of a coroutine that has ended is raised. ``other_tasks`` is a
    collection of tasks that are cancelled as well, including those that were added to
    it in the meantime.
    """
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in (*tasks, *other_tasks):
            task.cancel()
