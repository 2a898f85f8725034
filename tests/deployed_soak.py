"""A soak of the deployed programs: ``python -m tests.deployed_soak --seeds 1-50``.

Each seed draws a schedule: traffic, and one to three faults that begin at drawn
moments and may overlap. When they are over, every entry has to serve again, a new
route has to be known, and answers have to agree with what the endpoints saw.
"""

import argparse
import asyncio
import random
import signal
import sys
import time
from pathlib import Path

from .deployed_world import World

TRAFFIC_S = 5.0
JOBS_PER_S = 12
STAY_S = (0.2, 2.5)
REPLACED_S = 8.0


async def kill_entry(world, rng, stay_s):
    """An entry is killed, and started again a little later."""
    await _kill(rng.choice(world.entries), stay_s)


async def kill_agent(world, rng, stay_s):
    """An agent is killed, and started again a little later."""
    await _kill(rng.choice(world.agents), stay_s)


async def kill_everything(world, rng, stay_s):
    """All of our processes are killed at once."""
    await asyncio.gather(*(_kill(node, stay_s) for node in world.nodes))


async def pause_entry(world, rng, stay_s):
    """An entry stands still and goes on."""
    await _pause(rng.choice(world.entries), stay_s)


async def pause_agent(world, rng, stay_s):
    """An agent stands still and goes on."""
    await _pause(rng.choice(world.agents), stay_s)


async def replace_in_turn(world, rng, stay_s):
    """Some processes are stopped by SIGTERM in turn, and started again."""
    nodes = rng.sample(world.nodes, rng.randint(1, 3))
    for node in nodes:
        node.heal()
        was_up = node.has_started
        node.process.terminate()
        try:
            code = await node.process.wait(REPLACED_S)
        except TimeoutError:
            world.problems.append(f"{node.name} goes on {REPLACED_S} s after SIGTERM")
            code = await node.process.kill()
        # Another fault may kill it meanwhile; a signal may come before it is up.
        is_allowed = code in (0, -signal.SIGKILL)
        if not is_allowed and not (code == -signal.SIGTERM and not was_up):
            world.problems.append(f"{node.name} ended with {code} after SIGTERM")
        await node.start()


async def cut_link(world, rng, stay_s):
    """The links of a process are reset, and refused for a while."""
    await _with(rng.choice(world.nodes).link, "cut", stay_s)


async def hold_link(world, rng, stay_s):
    """The links of an agent are silent in both directions."""
    await _with(rng.choice(world.agents).link, "hold", stay_s)


async def hold_link_one_way(world, rng, stay_s):
    """What an agent sends reaches nobody."""
    await _with(rng.choice(world.agents).link, "hold_from_target", stay_s)


async def delay_link(world, rng, stay_s):
    """What goes over the links of an agent is late."""
    forwarder = rng.choice(world.agents).link
    forwarder.delay_s = rng.uniform(0.02, 0.3)
    await asyncio.sleep(stay_s)
    forwarder.heal()


async def silence_endpoint(world, rng, stay_s):
    """An agent and its endpoint don't reach one another."""
    await _with(rng.choice(world.agents).endpoint, "hold", stay_s)


async def lose_answers_of_endpoint(world, rng, stay_s):
    """An endpoint carries orders out, and its answers don't arrive."""
    await _with(rng.choice(world.agents).endpoint, "hold_from_target", stay_s)


async def cut_from_store(world, rng, stay_s):
    """Two processes don't reach the store."""
    how = rng.choice(("cut", "hold", "hold_from_target"))
    nodes = rng.sample(world.nodes, 2)
    await asyncio.gather(*(_with(node.store, how, stay_s) for node in nodes))


async def store_outage(world, rng, stay_s):
    """The store refuses everything, or answers nothing."""
    name = rng.choice(("busy", "silent"))
    setattr(world.store, name, True)
    await asyncio.sleep(stay_s)
    setattr(world.store, name, False)


async def store_forgets(world, rng, stay_s):
    """The store drops its history and loses two answers."""
    world.store.lose_replies = 2
    world.store.truncate_history()


async def crash_endpoint(world, rng, stay_s):
    """An endpoint crashes and begins a new lifetime."""
    rng.choice(world.endpoints).crash()


async def endpoint_fails_all(world, rng, stay_s):
    """All runs at an endpoint fail."""
    endpoint = rng.choice(world.endpoints)
    endpoint.fail_all = True
    await asyncio.sleep(stay_s)
    endpoint.fail_all = False


async def late_orders(world, rng, stay_s):
    """Some orders are carried out late, without an answer."""
    rng.choice(world.endpoints).unanswered_starts = rng.randint(1, 4)


async def foreign_fence(world, rng, stay_s):
    """An endpoint has seen the fence of a clock that is ahead."""
    fence = int(time.time() * 1_000) + rng.randint(1_000, 500_000)
    rng.choice(world.endpoints).raise_fence(fence)


async def drain_endpoint(world, rng, stay_s):
    """An endpoint drains, ends, and begins a new lifetime."""
    endpoint = rng.choice(world.endpoints)
    endpoint.draining = True
    await asyncio.sleep(stay_s)
    endpoint.crash()


async def configuration_storm(world, rng, stay_s):
    """The configuration changes in quick succession."""
    for _ in range(5):
        world.configure()
        await asyncio.sleep(stay_s / 5)


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


async def _kill(node, stay_s):
    await node.process.kill()
    await asyncio.sleep(stay_s / 4)
    await node.start()


async def _pause(node, stay_s):
    node.process.pause()
    await asyncio.sleep(stay_s)
    node.process.resume()


async def _with(forwarder, how, stay_s):
    getattr(forwarder, how)()
    await asyncio.sleep(stay_s)
    forwarder.heal()


async def play(world, rng, faults=None):
    """Play one schedule; return the names of its faults and what was broken."""
    faults = faults or rng.sample(FAULTS, rng.choice((1, 2, 2, 3)))
    jobs = []

    async def later(fault):
        await asyncio.sleep(rng.uniform(0, TRAFFIC_S / 2))
        await fault(world, rng, rng.uniform(*STAY_S))

    under_way = [asyncio.create_task(later(fault)) for fault in faults]
    end = time.monotonic() + TRAFFIC_S
    while time.monotonic() < end:
        jobs.append(asyncio.create_task(world.submit()))
        await asyncio.sleep(rng.expovariate(JOBS_PER_S))
    await asyncio.gather(*under_way)
    names = [fault.__name__ for fault in faults]
    await world.recover(" + ".join(names))
    await world.check_configuration()
    await asyncio.gather(*jobs)
    return names, world.violations()


async def run_seed(seed, faults=None, keep=None):
    """Play the schedule of a seed in a world of its own; return what was broken."""
    rng = random.Random(seed)
    began = time.monotonic()
    async with World(rng) as world:
        names, found = await play(world, rng, faults)
        answers = [job.statuses[-1] for job in world.submissions if job.statuses]
        served = answers.count(200) / len(answers)
        print(
            f"seed {seed}: {' + '.join(names)}; {len(answers)} jobs, {served:.2f} "
            f"answered, {time.monotonic() - began:.1f} s, {len(found)} violations",
            flush=True,
        )
        for line in found:
            print(f"  {line}", flush=True)
        if found and keep:
            for node in world.nodes:
                (keep / f"{seed}-{node.name}.log").write_bytes(node.log.read_bytes())
    return found


async def main(seeds, keep):
    """Play seeds one after another; return the exit code."""
    broken = [seed for seed in seeds if await run_seed(seed, keep=keep)]
    print(f"{len(seeds)} seeds, broken: {broken or 'none'}")
    return 1 if broken else 0


def _seeds(text):
    first, _, last = text.partition("-")
    return range(int(first), int(last or first) + 1)


if __name__ == "__main__":
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=_seeds, default="1-50")
    parser.add_argument("--keep", type=Path, help="folder for logs of broken seeds")
    options = parser.parse_args()
    sys.exit(asyncio.run(main(options.seeds, options.keep)))
