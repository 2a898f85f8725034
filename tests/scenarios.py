"""Random traffic and faults for a ``Fleet``, reproducible from a seed.

``Traffic`` simulates callers that submit jobs and requests, resubmit at other entries,
fetch answers and use their own keys. Each function in ``FAULTS`` injects one fault and
ends it again. Under any fault, the answers have to agree with the endpoints' ledgers.
"""

import asyncio

import httpx

RETRY_DELAY_S = 0.2
CALLER_TIMEOUT_S = 30
ENDPOINT_FAULTS = {
    "refuses": {"refuse": True},
    "resets": {"reset": True},
    "half": {"half_answer": True},
    "fails": {"fail_all": True},
    "late": {"late_ms": 2_500},
    "slow": {"slowness": 8.0},
    "hangs": {"hang": True, "next_tasks": 2},
}


class Traffic:
    """Callers of a fleet; ``finish`` returns when all of them have ended."""

    def __init__(self, fleet, rng):
        self._fleet = fleet
        self._rng = rng
        self._tasks = []

    def start(self, jobs, requests, spread_s):
        """Start this many jobs and requests, at random times within ``spread_s``."""
        calls = [self._job_call() for _ in range(jobs)]
        calls += [self._request_call() for _ in range(requests)]
        for call in calls:
            delay_s = self._rng.uniform(0, spread_s)
            self._tasks.append(asyncio.create_task(self._call_after(delay_s, call)))

    async def finish(self):
        """Wait for all callers; raise the first exception of one of them."""
        await asyncio.gather(*self._tasks)

    async def _call_after(self, delay_s, call):
        await asyncio.sleep(delay_s)
        await call

    def _job_call(self):
        rng = self._rng
        job = self._fleet.new_job(rng.randint(1, 8), sleep_ms=rng.randint(10, 300))
        behaviours = (
            self._submit_at_one_entry,
            self._resubmit_elsewhere,
            self._submit_at_two_entries,
            self._submit_by_key,
        )
        behaviour = rng.choice(behaviours)
        return behaviour(job, rng.randrange(100), rng.choice(("render", "sync")))

    def _request_call(self):
        rng = self._rng
        is_sync = rng.random() < 0.5
        return self._fleet.request(
            self._entry(rng.randrange(100)),
            "sync" if is_sync else "ping",
            repeatable=is_sync,
            sleep_ms=rng.randint(10, 300),
        )

    def _entry(self, entry_number):
        # An entry that is being stopped is no longer in the list: callers reach entries
        # through a load balancer, which removes an entry before it stops.
        entries = self._fleet.entries
        return entries[entry_number % len(entries)]

    async def _open_id(self, entry_number):
        """Return an id from the first entry that issues one, or None."""
        for attempt in range(20):
            try:
                (submission_id,) = await self._fleet.open_ids(
                    self._entry(entry_number + attempt)
                )
                return submission_id
            except httpx.HTTPError:
                await asyncio.sleep(RETRY_DELAY_S)
        return None

    async def _submit_at_one_entry(self, job, entry_number, class_name):
        submission_id = await self._open_id(entry_number)
        if submission_id is not None:
            await self._submit_until_answered(
                job, entry_number, class_name, submission_id
            )

    async def _resubmit_elsewhere(self, job, entry_number, class_name):
        submission_id = await self._open_id(entry_number)
        if submission_id is None:
            return
        await self._fleet.submit(
            self._entry(entry_number), submission_id, job, class_name, wait_ms=0
        )
        await self._submit_until_answered(
            job, entry_number + 1, class_name, submission_id
        )
        await self._fleet.fetch(
            self._entry(entry_number), submission_id, job, wait_ms=100
        )

    async def _submit_at_two_entries(self, job, entry_number, class_name):
        submission_id = await self._open_id(entry_number)
        if submission_id is None:
            return
        await asyncio.gather(
            self._submit_until_answered(job, entry_number, class_name, submission_id),
            self._submit_until_answered(
                job, entry_number + 1, class_name, submission_id
            ),
        )

    async def _submit_by_key(self, job, entry_number, class_name):
        await self._submit_until_answered(
            job, entry_number, class_name, "", key=job.trace_id
        )

    async def _submit_until_answered(
        self, job, entry_number, class_name, submission_id, key=None
    ):
        """Submit until there is an answer or a refusal other than 503.

        Each retry goes to the next entry.
        """
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + CALLER_TIMEOUT_S
        while loop.time() < deadline_s:
            entry = self._entry(entry_number)
            response = await self._fleet.submit(
                entry, submission_id, job, class_name, wait_ms=3_000, key=key
            )
            if response is not None and response.status_code not in (202, 503):
                return
            entry_number += 1
            await asyncio.sleep(RETRY_DELAY_S)


# Faults: each takes the fleet, a random source and the duration in seconds.


async def cut_link(fleet, rng, duration_s):
    """Reset the links of an agent and refuse new ones."""
    link = rng.choice(fleet.agents).link
    link.cut()
    await asyncio.sleep(duration_s)
    link.heal()


async def hold_link(fleet, rng, duration_s):
    """Hold all bytes to and from an agent, then deliver them."""
    link = rng.choice(fleet.agents).link
    link.hold()
    await asyncio.sleep(duration_s)
    link.heal()


async def hold_then_cut_link(fleet, rng, duration_s):
    """Hold all bytes to and from an agent, then lose them with the connections."""
    link = rng.choice(fleet.agents).link
    link.hold()
    await asyncio.sleep(duration_s)
    link.cut()
    link.heal()


async def pause_agent(fleet, rng, duration_s):
    """Suspend an agent process and resume it."""
    process = rng.choice(fleet.agents).process
    process.pause()
    await asyncio.sleep(duration_s)
    process.resume()


async def kill_agent(fleet, rng, duration_s):
    """Kill an agent and restart it at the same addresses."""
    async with fleet.replacing(rng, fleet.agents) as agent:
        await agent.process.kill()
        await asyncio.sleep(duration_s)
        await fleet.restart_agent(agent)


async def stop_agent(fleet, rng, duration_s):
    """Stop an agent gracefully and restart it at the same addresses."""
    async with fleet.replacing(rng, fleet.agents) as agent:
        agent.process.terminate()
        await agent.process.wait()
        await asyncio.sleep(duration_s)
        await fleet.restart_agent(agent)


async def pause_entry(fleet, rng, duration_s):
    """Suspend an entry process and resume it."""
    entry = rng.choice(fleet.entries)
    entry.pause()
    await asyncio.sleep(duration_s)
    entry.resume()


async def kill_entry(fleet, rng, duration_s):
    """Kill an entry and start another at the same addresses."""
    async with fleet.replacing(rng, fleet.entries) as entry:
        await entry.kill()
        await asyncio.sleep(duration_s)
        await fleet.restart_entry(entry)
        fleet.entries.remove(entry)


async def stop_entry(fleet, rng, duration_s):
    """Remove an entry from the load balancer, stop it gracefully, start another."""
    async with fleet.replacing(rng, fleet.entries) as entry:
        fleet.entries.remove(entry)
        entry.terminate()
        await entry.wait()
        await asyncio.sleep(duration_s)
        await fleet.start_entry()


async def platform_outage(fleet, rng, duration_s):
    """Make the platform answer every call with 503."""
    await fleet.set_platform_faults(outage=True)
    await asyncio.sleep(duration_s)
    await fleet.set_platform_faults()


async def platform_slow(fleet, rng, duration_s):
    """Delay each call to the platform by two seconds."""
    await fleet.set_platform_faults(delay_ms=2_000)
    await asyncio.sleep(duration_s)
    await fleet.set_platform_faults()


async def platform_loses_replies(fleet, rng, duration_s):
    """Lose the replies to some writes that the platform has applied."""
    await fleet.set_platform_faults(lose_replies=rng.randint(1, 4))
    await asyncio.sleep(duration_s)
    await fleet.set_platform_faults()


async def drain_endpoint(fleet, rng, duration_s):
    """Drain an endpoint as an operator does, then resume it."""
    name = rng.choice(fleet.agents).name
    entry = rng.choice(fleet.entries)
    for operation in ("drain", "resume"):
        url = fleet.url(entry, f"/v1/endpoints/{name}/{operation}")
        try:
            await fleet.http.post(url)
        except httpx.HTTPError:
            return
        await asyncio.sleep(duration_s)


def endpoint_fault(name):
    """Return the function that injects a fault of ``ENDPOINT_FAULTS``."""

    async def inject(fleet, rng, duration_s):
        agent = rng.choice(fleet.agents)
        await fleet.set_endpoint_faults(agent, **ENDPOINT_FAULTS[name])
        await asyncio.sleep(duration_s)
        await fleet.set_endpoint_faults(agent)

    return inject


FAULTS = {
    "link cut": cut_link,
    "link held": hold_link,
    "link held, then cut": hold_then_cut_link,
    "agent paused": pause_agent,
    "agent killed": kill_agent,
    "agent stopped": stop_agent,
    "entry paused": pause_entry,
    "entry killed": kill_entry,
    "entry stopped": stop_entry,
    "platform outage": platform_outage,
    "platform slow": platform_slow,
    "platform loses replies": platform_loses_replies,
    "endpoint drained": drain_endpoint,
    **{f"endpoint {name}": endpoint_fault(name) for name in ENDPOINT_FAULTS},
}


async def run_with_faults(fleet, rng, fault_names, *, jobs, requests, duration_s):
    """Run traffic with the named faults injected concurrently; return violations."""
    traffic = Traffic(fleet, rng)
    traffic.start(jobs, requests, spread_s=duration_s)
    await asyncio.sleep(0.1)
    await asyncio.gather(
        *(FAULTS[name](fleet, rng, duration_s) for name in fault_names)
    )
    await traffic.finish()
    return await fleet.violations()
