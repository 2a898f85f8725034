"""Damaged input on links and over HTTP: no process dies and no task starts."""

import asyncio
import random
import unittest

from plantainhitch.protocol import codec, messages as m
from plantainhitch.transport.links import LENGTH_PREFIX
from tests.harness import Fleet, ProcessTestCase
from tests.test_codec import SAMPLES

SEED = 11
FRAMES = 4_000
CONNECTIONS = 60


def mutate(data, rng):
    """Return ``data`` with some bytes replaced, cut off or added."""
    damaged = bytearray(data)
    for _ in range(rng.randint(1, 8)):
        if damaged:
            damaged[rng.randrange(len(damaged))] = rng.randrange(256)
    cut = rng.choice((0, 0, 1, 7, 8, len(damaged) // 2))
    return bytes(damaged[: len(damaged) - cut]) + rng.randbytes(rng.choice((0, 0, 3)))


def bad_frame(rng):
    """Return a damaged frame that can't be decoded.

    Links trust their peers, so a frame that can still be decoded would be obeyed.
    """
    while True:
        frame = codec.encode(m.Envelope(rng.choice(SAMPLES), 1, 2, 3))
        damaged = mutate(frame, rng)
        if isinstance(codec.decode(damaged), codec.BadFrame):
            return damaged


class DecoderFuzz(unittest.TestCase):
    """The decoder returns a value for any bytes and never raises an error."""

    def test_damaged_frames(self):
        rng = random.Random(SEED)
        frames = [codec.encode(m.Envelope(message, 1, 2, 3)) for message in SAMPLES]
        kinds = set()
        for _ in range(FRAMES):
            received = codec.decode(mutate(rng.choice(frames), rng))
            kinds.add(type(received))
        self.assertEqual(kinds, {m.Envelope, codec.BadFrame})


class ProcessFuzz(ProcessTestCase):
    """An entry and an agent survive damaged input and go on serving other callers."""

    async def test_links_and_http(self):
        async with Fleet(entries=1, agents=1) as fleet:
            rng = random.Random(SEED)
            entry, agent = fleet.entries[0], fleet.agents[0].process
            for _ in range(CONNECTIONS):
                damaged = bad_frame(rng)
                hello = codec.encode(m.Envelope(SAMPLES[0], 1, 0, 0))
                sent = rng.choice((damaged, LENGTH_PREFIX.pack(len(damaged)) + damaged))
                for process in (entry, agent):
                    greeting = rng.choice((b"", LENGTH_PREFIX.pack(len(hello)) + hello))
                    await send(process.ready["link"], greeting + sent)
                request = b"PUT /v1/submissions/x HTTP/1.1\r\nHost: a\r\n\r\n{}"
                await send(entry.ready["http"], mutate(request, rng))
                await send(agent.ready["http"], mutate(request, rng))
                await self.send_bad_json(fleet, entry, rng)
            self.assertTrue(entry.is_running and agent.is_running)
            self.assertEqual(await fleet.starts(), [])
            await fleet.wait_until_linked()
            (submission_id,) = await fleet.open_ids(entry)
            answer = await fleet.submit(entry, submission_id, fleet.new_job(2))
            self.assertEqual(answer.json()["state"], "complete")
            self.assertEqual(await fleet.violations(), [])

    async def send_bad_json(self, fleet, entry, rng):
        body = b'{"class": "render", "tasks": [{"index": 0, "body": 1}], "x": 1}'
        response = await fleet.http.post(
            fleet.url(entry, "/v1/submissions"),
            content=mutate(body, rng),
            headers={"content-type": "application/json"},
        )
        self.assertIn(response.status_code, (400, 404))
        self.assertTrue(response.json()["error"]["not_run"])


async def send(address, data):
    """Send ``data`` on a connection of its own and close the connection."""
    host, _, port = address.rpartition(":")
    _, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    await writer.drain()
    writer.close()
