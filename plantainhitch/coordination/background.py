"""Running the tasks that a node owns."""

import asyncio


def spawn(coroutine, tasks):
    """Start a task and return it; the set ``tasks`` holds it until it ends."""
    task = asyncio.create_task(coroutine)
    tasks.add(task)
    task.add_done_callback(tasks.discard)
    return task


async def run_until_first_completed(owned, others=()):
    """Run the coroutines ``owned`` until the first ends, then cancel the rest.

    An error of one that has ended is raised. ``others`` are tasks that are cancelled
    at the end too, those that are added meanwhile included.
    """
    tasks = [asyncio.create_task(coroutine) for coroutine in owned]
    try:
        done, _ = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in done:
            task.result()
    finally:
        for task in (*tasks, *others):
            task.cancel()
