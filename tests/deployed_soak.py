"""A soak of the deployed programs: ``python -m tests.deployed_soak --seeds 1-50``.

Each seed determines a schedule: traffic, and one to three faults that begin at random
times and may overlap. After them, every entry has to serve jobs again and to know a new
route, and the answers have to agree with the runs at the endpoints.
"""

import argparse
import asyncio
import contextlib
import itertools
import random
import signal
import sys
import time
from pathlib import Path

from .deployed_world import CONTACT_S, CPU_MILLIS, EVACUATE_S, World

TRAFFIC_DURATION_S = 5.0
JOBS_PER_S = 12
FAULT_DURATION_S = (0.2, 2.5)
# Entries close a link after 1.5 s of silence.
SILENCE_S = 1.6
# Between the losses of an entry and of an agent with its runs, either one first.
MAX_LOSS_INTERVAL_S = 1.5
LOST_PAIRS = (4, 6)
PAIR_INTERVAL_S = (1.0, 3.0)
MAX_WAIT_FOR_RUN_S = 2.0
LOSS_DURATION_S = (0.8, 2.5)
LATE_STOP_S = (0.3, 3.0)
AGENT_FIRST_SHARE = 1 / 4
# Of the processes whose hosts fail, those that are lost as well, up to this much later.
LOSS_BEHIND_SHARE = 1 / 2
MAX_LOSS_BEHIND_S = 0.9
RESTART_SHARE = 1 / 8
LONG_JOBS_PER_AGENT_S = 1.2
LONG_RUN_MS = (700, 2_500)
# A connection that was silent delivers at most this much later.
MAX_LATENESS_S = 0.6
STOP_TIMEOUT_S = 8.0
KIND_CHANGES = (2, 4)
KIND_CHANGE_INTERVAL_S = (0.6, 1.5)
KINDS = (("a", "r1-1"), ("a", "r1-1"), ("b", "r1-1"))
# From a crash to the first heartbeat of the next lifetime.
HEARTBEAT_PAUSE_S = (0.0, 1.5)
SIGNAL_CHECK_INTERVAL_S = 0.002
# Jobs whose tasks need an endpoint of the first kind.
LABELLED_SHARE = 2 / 3


async def kill_entry(world, rng, duration_s):
    """Kill an entry and restart it."""
    await _kill(rng.choice(world.entries), duration_s)


async def kill_agent(world, rng, duration_s):
    """Kill an agent and restart it."""
    await _kill(rng.choice(world.agents), duration_s)


async def kill_everything(world, rng, duration_s):
    """Kill all entries and agents at once and restart them."""
    await asyncio.gather(*(_kill(node, duration_s) for node in world.nodes))


async def pause_entry(world, rng, duration_s):
    """Suspend an entry process and resume it."""
    await _pause(rng.choice(world.entries), duration_s)


async def pause_agent(world, rng, duration_s):
    """Suspend an agent process and resume it."""
    await _pause(rng.choice(world.agents), duration_s)


async def replace_in_turn(world, rng, duration_s):
    """Stop one to three processes by SIGTERM, one at a time, and restart each."""
    nodes = rng.sample(world.nodes, rng.randint(1, 3))
    for node in nodes:
        node.heal()
        could_handle_it = node.handles_signals
        node.process.terminate()
        try:
            code = await node.process.wait(STOP_TIMEOUT_S)
        except TimeoutError:
            world.problems.append(
                f"{node.name} still runs {STOP_TIMEOUT_S} s after SIGTERM"
            )
            code = await node.process.kill()
        # Another fault may have killed it; SIGTERM may arrive before it can be handled.
        is_expected = code in (0, -signal.SIGKILL)
        if not is_expected and (code != -signal.SIGTERM or could_handle_it):
            world.problems.append(
                f"{node.name} ended with exit code {code} after SIGTERM"
            )
        await node.start()


async def cut_link(world, rng, duration_s):
    """Reset the links to a process and refuse new ones."""
    await _inject(rng.choice(world.nodes).link, "cut", duration_s)


async def hold_link(world, rng, duration_s):
    """Hold all bytes on the links to an agent, in both directions."""
    await _inject(rng.choice(world.agents).link, "hold", duration_s)


async def hold_link_one_way(world, rng, duration_s):
    """Hold the bytes that an agent sends on the links to it."""
    await _inject(rng.choice(world.agents).link, "hold_from_target", duration_s)


async def delay_link(world, rng, duration_s):
    """Delay all bytes on the links to an agent."""
    forwarder = rng.choice(world.agents).link
    forwarder.delay_s = rng.uniform(0.02, 0.3)
    await asyncio.sleep(duration_s)
    forwarder.heal()


async def silence_connections(world, rng, duration_s):
    """Hold the open connections to two agents for longer than entries wait.

    The entries replace their links and place the tasks elsewhere. What they sent on the
    old ones arrives while these run.
    """
    agents = rng.sample(world.agents, 2)
    silences = [SILENCE_S + rng.uniform(0, MAX_LATENESS_S) for _ in agents]
    await asyncio.gather(
        *(
            _inject(agent.link, "hold_present", silence_s)
            for agent, silence_s in zip(agents, silences, strict=True)
        )
    )


async def odd_heartbeats(world, rng, duration_s):
    """Send agents heartbeats of another writer, as long as most faults last."""
    end_s = time.monotonic() + FAULT_DURATION_S[1]
    while time.monotonic() < end_s:
        number = rng.randrange(len(world.agents))
        await world.send_odd_heartbeats(number, rng)
        await asyncio.sleep(0.1)


async def silence_endpoint(world, rng, duration_s):
    """Hold all bytes between an agent and its endpoint."""
    await _inject(rng.choice(world.agents).endpoint, "hold", duration_s)


async def lose_answers_of_endpoint(world, rng, duration_s):
    """Hold the replies of an endpoint, which still carries orders out."""
    await _inject(rng.choice(world.agents).endpoint, "hold_from_target", duration_s)


async def cut_from_store(world, rng, duration_s):
    """Cut or hold the connections of two processes to the store."""
    fault = rng.choice(("cut", "hold", "hold_from_target"))
    nodes = rng.sample(world.nodes, 2)
    await asyncio.gather(*(_inject(node.store, fault, duration_s) for node in nodes))


async def store_outage(world, rng, duration_s):
    """Make the store refuse all calls or answer none."""
    attribute = rng.choice(("busy", "silent"))
    setattr(world.store, attribute, True)
    await asyncio.sleep(duration_s)
    setattr(world.store, attribute, False)


async def store_forgets(world, rng, duration_s):
    """Make the store drop its change history and lose two replies."""
    world.store.lose_replies = 2
    world.store.truncate_history()


async def crash_endpoint(world, rng, duration_s):
    """Crash an endpoint, which begins a new lifetime."""
    rng.choice(world.endpoints).crash()


async def deadly_jobs(world, rng, duration_s):
    """Submit jobs whose tasks crash each endpoint that starts them."""
    jobs = []
    for _ in range(rng.randint(1, 3)):
        job = world.submit(tasks=rng.randint(1, 2), is_deadly=True)
        jobs.append(asyncio.create_task(job))
        await asyncio.sleep(duration_s / 3)
    await asyncio.gather(*jobs)


async def resize_endpoints(world, rng, duration_s):
    """Shrink the capacity of some endpoints and let it grow again."""
    endpoints = rng.sample(world.endpoints, rng.randint(1, 3))
    for endpoint in endpoints:
        endpoint.resize(rng.choice((0, 1_000, 2_000)))
    await asyncio.sleep(CONTACT_S + duration_s)
    for endpoint in endpoints:
        endpoint.resize(CPU_MILLIS)


async def endpoint_fails_all(world, rng, duration_s):
    """Make all runs at an endpoint fail."""
    endpoint = rng.choice(world.endpoints)
    endpoint.fail_all = True
    await asyncio.sleep(duration_s)
    endpoint.fail_all = False


async def late_orders(world, rng, duration_s):
    """Make an endpoint carry out some start orders late, without a reply."""
    rng.choice(world.endpoints).unanswered_starts = rng.randint(1, 4)


async def foreign_fence(world, rng, duration_s):
    """Give an endpoint a fence from a clock that is ahead."""
    fence = int(time.time() * 1_000) + rng.randint(1_000, 500_000)
    rng.choice(world.endpoints).raise_fence(fence)


async def drain_endpoint(world, rng, duration_s):
    """Drain an endpoint, then crash it, which begins a new lifetime."""
    endpoint = rng.choice(world.endpoints)
    endpoint.draining = True
    await asyncio.sleep(duration_s)
    endpoint.crash()


async def restart_as_other_kind(world, rng, duration_s):
    """Crash endpoints in series; each is back as another kind, or with other room.

    The heartbeat comes later, and some crash again before.
    """
    for _ in range(rng.randint(*KIND_CHANGES)):
        endpoint = rng.choice(world.endpoints)
        endpoint.silent_until_s = time.monotonic() + rng.uniform(*HEARTBEAT_PAUSE_S)
        for _ in range(rng.choice((1, 1, 2))):
            labels = rng.choice(KINDS)
            cpu_millis = rng.choice((1_000, 2_000, CPU_MILLIS, CPU_MILLIS))
            world.add_event(f"{endpoint.name} restarts as {labels}, {cpu_millis}")
            endpoint.crash(labels, cpu_millis)
            await asyncio.sleep(rng.uniform(0, 0.3))
        await asyncio.sleep(rng.uniform(*KIND_CHANGE_INTERVAL_S))
    for endpoint in world.endpoints:
        endpoint.resize(CPU_MILLIS)
        if KINDS[0][0] not in endpoint.labels:
            endpoint.crash(KINDS[0])


async def signal_while_starting(world, rng, duration_s):
    """Stop or kill processes in turn, and send each SIGHUP while it starts again."""
    for node in rng.sample(world.nodes, rng.randint(2, 4)):
        node.heal()
        if rng.random() < 0.5:
            node.process.terminate()
            with contextlib.suppress(TimeoutError):
                await node.process.wait(STOP_TIMEOUT_S)
        await node.process.kill()
        await node.start()
        process = node.process
        while process.is_running and not node.is_loading:
            await asyncio.sleep(SIGNAL_CHECK_INTERVAL_S)
        world.add_event(f"SIGHUP to {node.name}")
        for _ in range(rng.randint(1, 8)):
            process.send_signal(signal.SIGHUP)
            await asyncio.sleep(rng.uniform(0, 0.1))
        if not process.is_running and await process.wait() == -signal.SIGHUP:
            world.problems.append(f"{node.name} was ended by SIGHUP")
            await node.start()


async def configuration_storm(world, rng, duration_s):
    """Change the configuration five times in quick succession."""
    for _ in range(5):
        world.configure()
        await asyncio.sleep(duration_s / 5)


async def evacuate_zones(world, rng, duration_s):
    """Evacuate a zone or all zones, and one that doesn't exist by an unreadable row."""
    count = rng.choice((1, 1, len(world.zones)))
    zones = [*rng.sample(world.zones, count), "no-such-zone"]
    values = (b"{}", {}, b"\xff")
    for zone in zones:
        world.evacuate(zone, rng.choice(values))
        await asyncio.sleep(rng.uniform(0, 0.3))
    await asyncio.sleep(EVACUATE_S + duration_s)
    for zone in zones:
        world.end_evacuation(zone)


async def lose_entries_and_agents(world, rng, duration_s):
    """Lose entries, and shortly before or after each an agent that has its runs."""
    pairs = []
    for _ in range(rng.randint(*LOST_PAIRS)):
        pairs.append(asyncio.create_task(_lose_pair(world, rng)))
        await asyncio.sleep(rng.uniform(*PAIR_INTERVAL_S))
    await asyncio.gather(*pairs)


async def lose_stops(world, rng, duration_s):
    """Carry out stops late and without a reply, while entries die or callers leave."""
    for _ in range(rng.randint(2, 4)):
        for endpoint in rng.sample(world.endpoints, 2):
            endpoint.unanswered_stops = rng.randint(1, 6)
            endpoint.late_stop_s = rng.uniform(*LATE_STOP_S)
        lose = rng.choice((_kill, _break_callers))
        await _lose(world, lose, rng.choice(world.entries), duration_s)
        await asyncio.sleep(rng.uniform(*PAIR_INTERVAL_S))
    for endpoint in world.endpoints:
        endpoint.unanswered_stops = 0


async def break_callers_of_paused_entries(world, rng, duration_s):
    """Suspend entries in turn, and reset their callers' connections meanwhile."""
    for _ in range(rng.randint(1, 3)):
        entry = rng.choice(world.entries)
        pause_s = rng.uniform(*FAULT_DURATION_S)
        await _lose(world, _pause_and_break_callers, entry, pause_s)


async def fail_as_hosts_do(world, rng, duration_s):
    """Refuse, delay and break connections of several processes at a time, in series."""
    rng = world.fault_rng
    rounds = []
    for _ in range(rng.randint(*LOST_PAIRS)):
        round_rng = random.Random(rng.getrandbits(64))
        rounds.append(asyncio.create_task(_fail_hosts(world, round_rng)))
        await asyncio.sleep(rng.uniform(*PAIR_INTERVAL_S))
    await asyncio.gather(*rounds)


FAULTS = (
    kill_entry,
    kill_agent,
    kill_everything,
    pause_entry,
    pause_agent,
    replace_in_turn,
    cut_link,
    hold_link,
    hold_link_one_way,
    delay_link,
    silence_endpoint,
    lose_answers_of_endpoint,
    cut_from_store,
    store_outage,
    store_forgets,
    crash_endpoint,
    endpoint_fails_all,
    late_orders,
    foreign_fence,
    drain_endpoint,
    configuration_storm,
)
# Seeds up to LAST_SEED_OF_FIRST_FAULTS draw from the first ones only, so that they
# still give the schedules that they are known for.
ALL_FAULTS = (*FAULTS, deadly_jobs, resize_endpoints)
LAST_SEED_OF_FIRST_FAULTS = 100
# Later seeds evacuate zones during all other faults, in a world of two zones.
LAST_SEED_WITHOUT_EVACUATION = 1_000
# Seeds after that silence connections during all other faults in place of it, and send
# odd heartbeats.
LAST_SEED_WITH_EVACUATION = 2_000
# Seeds after that lose entries with agents in place of it, while long jobs run; every
# fourth uses ``LARGE_WORLD``.
LAST_SEED_WITH_SILENCE = 3_000
LARGE_WORLD = {"entries": 4, "agents": 8}
# Seeds after that fail as hosts do as well; every fourth uses ``LARGEST_WORLD``.
LAST_SEED_WITH_LOST_OWNERS = 4_000
LARGEST_WORLD = {"entries": 6, "agents": 22}
# Seeds after that change the kinds of endpoints during all other faults, while many
# jobs need the first kind, and signal processes that start; every fourth uses
# ``LARGE_WORLD``.
LAST_SEED_WITH_HOST_FAILURES = 5_000
LOSSES_BESIDE_HOSTS = (
    (),
    (lose_entries_and_agents,),
    (lose_entries_and_agents, lose_stops),
    (lose_entries_and_agents, break_callers_of_paused_entries),
)
ZONES = ("z1", "z2")


async def _kill(node, duration_s):
    await _kill_for(node, duration_s / 4)


async def _kill_for(node, duration_s):
    await node.process.kill()
    await asyncio.sleep(duration_s)
    await node.start()


async def _pause(node, duration_s):
    node.process.pause()
    await asyncio.sleep(duration_s)
    node.process.resume()


async def _inject(forwarder, fault, duration_s):
    getattr(forwarder, fault)()
    await asyncio.sleep(duration_s)
    forwarder.heal()


async def _break_callers(entry, duration_s):
    entry.front.cut()
    entry.front.heal()


async def _pause_and_break_callers(entry, duration_s):
    entry.process.pause()
    await asyncio.sleep(duration_s / 4)
    await _break_callers(entry, duration_s)
    await asyncio.sleep(duration_s * 3 / 4)
    entry.process.resume()


async def _hold_entry(entry, duration_s):
    await asyncio.gather(
        _inject(entry.front, "hold", duration_s),
        _inject(entry.link, "hold", duration_s),
    )


async def _hold_link(agent, duration_s):
    await _inject(agent.link, "hold", duration_s)


async def _hold_endpoint(agent, duration_s):
    await _inject(agent.endpoint, "hold", duration_s)


HOST_FAULTS = (
    *("refuse", "refuse", "refuse_new", "accept_late"),
    *("lose_callers", "lose_target", "cut_answers"),
)
# An entry that isn't told that its callers left may run their jobs beside the next one.
FRONT_FAULTS = tuple(fault for fault in HOST_FAULTS if fault != "lose_callers")
ENTRY_LOSSES = (_kill_for, _pause_and_break_callers, _pause, _hold_entry)
ENTRY_LOSS_WEIGHTS = (3, 3, 1, 1)


async def _lose(world, lose, node, duration_s):
    world.add_event(f"{lose.__name__} {node.name} for {duration_s:.2f} s")
    await lose(node, duration_s)
    world.add_event(f"{lose.__name__} {node.name} ends")


async def _lose_pair(world, rng):
    end_s = time.monotonic() + MAX_WAIT_FOR_RUN_S
    while not (pairs := world.owners_at_work()) and time.monotonic() < end_s:
        await asyncio.sleep(0.02)
    entry, agent = rng.choice(
        pairs or list(itertools.product(world.entries, world.agents))
    )
    (lose_entry,) = rng.choices(ENTRY_LOSSES, ENTRY_LOSS_WEIGHTS)
    lose_agent = rng.choice((_kill_for, _pause, _hold_link, _hold_endpoint))
    losses = [(lose_entry, entry), (lose_agent, agent)]
    durations_s = [rng.uniform(*LOSS_DURATION_S) for _ in losses]
    interval_s = rng.triangular(0, MAX_LOSS_INTERVAL_S)
    if rng.random() < AGENT_FIRST_SHARE:
        losses.reverse()

    async def lose_later(delay_s, loss, duration_s):
        await asyncio.sleep(delay_s)
        await _lose(world, *loss, duration_s)

    delays_s = (0, interval_s)
    await asyncio.gather(*map(lose_later, delays_s, losses, durations_s))


async def _fail_hosts(world, rng):
    """Make the hosts of some entries or agents fail at the same moment, in one way."""
    nodes, addresses = rng.choice(
        (
            (world.agents, ("link", "link", "endpoint", "endpoint", "store")),
            (world.agents, ("link", "link", "endpoint", "endpoint", "store")),
            (world.entries, ("link", "front", "store")),
        )
    )
    nodes = rng.sample(nodes, rng.randint(1, len(nodes) // 2))
    address = rng.choice(addresses)
    fault = rng.choice(FRONT_FAULTS if address == "front" else HOST_FAULTS)
    is_restart = rng.random() < RESTART_SHARE

    async def fail(node):
        duration_s = rng.uniform(*LOSS_DURATION_S)
        if is_restart:
            await _lose(world, _kill_for, node, 0)
            return
        world.add_event(f"{fault} {node.name} {address} for {duration_s:.2f} s")
        failure = _inject(getattr(node, address), fault, duration_s)
        await asyncio.gather(failure, lose_behind(node))

    async def lose_behind(node):
        if rng.random() < LOSS_BEHIND_SHARE:
            loss = rng.choice((_pause, _hold_endpoint if node.endpoint else _pause))
            duration_s = rng.uniform(*LOSS_DURATION_S)
            await asyncio.sleep(rng.uniform(0, MAX_LOSS_BEHIND_S))
            await _lose(world, loss, node, duration_s)

    await asyncio.gather(*map(fail, nodes))


async def _submit_long(world):
    """Submit a job, often a long one, and submit it again at another entry."""
    entry, next_entry = world.rng.sample(world.entries, 2)
    run_ms = world.rng.choice((30, 200, *(world.rng.randint(*LONG_RUN_MS),) * 2))
    return await world.submit(entry, run_ms=run_ms, next_entry=next_entry)


async def _submit_labelled(world):
    """Submit a job, often one whose tasks need an endpoint of the first kind."""
    label = KINDS[0][0] if world.rng.random() < LABELLED_SHARE else ""
    return await world.submit(run_ms=world.rng.choice((30, 80, 200)), label=label)


async def run_schedule(world, rng, faults=None):
    """Run one schedule; return the names of its faults and the violations.

    Draws the faults from ``rng`` where none are given. The traffic lasts at least until
    all zones are in service again.
    """
    faults = faults or rng.sample(FAULTS, rng.choice((1, 2, 2, 3)))
    jobs = []

    async def inject_later(fault):
        await asyncio.sleep(rng.uniform(0, TRAFFIC_DURATION_S / 2))
        duration_s = rng.uniform(*FAULT_DURATION_S)
        world.add_event(f"{fault.__name__}, {duration_s:.2f} s")
        await fault(world, rng, duration_s)

    injections = [asyncio.create_task(inject_later(fault)) for fault in faults]
    submit, jobs_per_s = World.submit, JOBS_PER_S
    if lose_entries_and_agents in faults or fail_as_hosts_do in faults:
        submit, jobs_per_s = _submit_long, LONG_JOBS_PER_AGENT_S * len(world.agents)
    elif restart_as_other_kind in faults:
        submit, jobs_per_s = _submit_labelled, 2 * JOBS_PER_S
    end_s = time.monotonic() + TRAFFIC_DURATION_S
    while (
        time.monotonic() < end_s
        or world.is_evacuating
        or (submit is _submit_long and not all(task.done() for task in injections))
    ):
        jobs.append(asyncio.create_task(submit(world)))
        await asyncio.sleep(rng.expovariate(jobs_per_s))
    await asyncio.gather(*injections)
    fault_names = [fault.__name__ for fault in faults]
    await world.check_recovery(" + ".join(fault_names))
    await world.check_configuration()
    await asyncio.gather(*jobs)
    return fault_names, world.violations()


def _world_size(seed):
    if seed <= LAST_SEED_WITH_SILENCE or seed % 4:
        return {}
    is_largest = LAST_SEED_WITH_LOST_OWNERS < seed <= LAST_SEED_WITH_HOST_FAILURES
    return LARGEST_WORLD if is_largest else LARGE_WORLD


async def run_seed(seed, faults=None, keep=None):
    """Run the schedule of a seed in a new world; return the violations.

    Copies the logs to the folder ``keep`` where there are violations.
    """
    rng = random.Random(seed)
    if faults is None and seed > LAST_SEED_WITH_HOST_FAILURES:
        faults = rng.sample(ALL_FAULTS, rng.choice((0, 1, 1, 2)))
        faults += [restart_as_other_kind, signal_while_starting]
    elif faults is None and seed > LAST_SEED_WITH_LOST_OWNERS:
        # With few other faults, as many at once leave few runs that could overlap.
        faults = rng.sample(ALL_FAULTS, rng.choice((0, 0, 1)))
        faults += [fail_as_hosts_do, *rng.choice(LOSSES_BESIDE_HOSTS)]
    elif faults is None and seed > LAST_SEED_WITH_SILENCE:
        faults = rng.sample(ALL_FAULTS, rng.choice((0, 1, 1, 2)))
        faults.append(lose_entries_and_agents)
        faults.append(rng.choice((lose_stops, break_callers_of_paused_entries)))
    elif faults is None and seed > LAST_SEED_OF_FIRST_FAULTS:
        faults = rng.sample(ALL_FAULTS, rng.choice((1, 2, 2, 3)))
        if seed > LAST_SEED_WITH_EVACUATION:
            faults += [silence_connections, silence_connections, odd_heartbeats]
        elif seed > LAST_SEED_WITHOUT_EVACUATION:
            faults.append(evacuate_zones)
    zones = ZONES if faults and evacuate_zones in faults else ZONES[:1]
    size = _world_size(seed)
    began_s = time.monotonic()
    async with World(rng, zones=zones, **size) as world:
        fault_names, violations = await run_schedule(world, rng, faults)
        answers = [job.statuses[-1] for job in world.submissions if job.statuses]
        answered_share = answers.count(200) / len(answers)
        print(
            f"seed {seed}: {' + '.join(fault_names)}; {len(answers)} jobs, "
            f"{answered_share:.2f} answered, {time.monotonic() - began_s:.1f} s, "
            f"{len(violations)} violations, "
            f"own loop late by up to {world.max_loop_delay_s:.2f} s",
            flush=True,
        )
        for violation in violations:
            print(f"  {violation}", flush=True)
        if violations and keep:
            for node in world.nodes:
                (keep / f"{seed}-{node.name}.log").write_bytes(node.log.read_bytes())
            (keep / f"{seed}-history.log").write_text(world.history())
    return violations


async def main(seeds, keep):
    """Run the seeds one after another; return the exit code."""
    failed_seeds = [seed for seed in seeds if await run_seed(seed, keep=keep)]
    print(f"{len(seeds)} seeds, with violations: {failed_seeds or 'none'}")
    return 1 if failed_seeds else 0


def _seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=_seeds, default="101-150")
    parser.add_argument(
        "--keep", type=Path, help="folder for the logs of seeds with violations"
    )
    options = parser.parse_args()
    sys.exit(asyncio.run(main(options.seeds, options.keep)))
