"""A submission runs once, however often and wherever it is submitted again."""

import asyncio

from tests.harness import Fleet, ProcessTestCase


def code(response):
    """Return the error code of a response."""
    return response.json()["error"]["code"]


class ResubmissionTests(ProcessTestCase):
    """Separate processes; every test ends with the check of all starts."""

    async def assert_kept(self, fleet, starts):
        self.assertEqual(await fleet.violations(), [])
        self.assertEqual(len(await fleet.starts()), starts)

    async def test_same_answer_everywhere_and_no_second_start(self):
        async with Fleet() as fleet:
            first, second = fleet.entries
            ids = await fleet.open_ids(first, 4)
            at_once = fleet.new_job(4, sleep_ms=200)
            told = await asyncio.gather(
                *(fleet.submit(first, ids[0], at_once) for _ in range(5)),
                *(fleet.submit(second, ids[0], at_once) for _ in range(5)),
            )
            self.assertEqual({answer.text for answer in told}, {told[0].text})
            later = await fleet.submit(second, ids[0], at_once)
            self.assertEqual(later.text, told[0].text)

            lost = fleet.new_job(2, sleep_ms=200)
            running = await fleet.submit(first, ids[1], lost, wait_ms=0)
            self.assertEqual(running.status_code, 202)
            answer = await fleet.submit(second, ids[1], lost)
            self.assertEqual(answer.json()["state"], "complete")

            changed = fleet.new_job(2, other=True)
            for entry in fleet.entries:
                refused = await fleet.submit(entry, ids[1], changed)
                self.assertEqual((refused.status_code, code(refused)), CONFLICT)
            await self.assert_kept(fleet, 6)

    async def test_ids_that_were_never_issued(self):
        async with Fleet(agents=1) as fleet:
            first, second = fleet.entries
            (known,) = await fleet.open_ids(first)
            tag = "A" if known[-2] != "A" else "B"
            forged = known[:-2] + tag + known[-1]
            foreign = "A" * 22 + known[22:]
            for entry in (first, second):
                for identity in (forged, foreign):
                    job = fleet.new_job(1)
                    refused = await fleet.submit(entry, identity, job)
                    self.assertEqual(code(refused), "id_unknown")
                refused = await fleet.submit(entry, "no-id", fleet.new_job(1))
                self.assertEqual(code(refused), "id_malformed")
            await self.assert_kept(fleet, 0)

    async def test_owner_paused_killed_and_replaced(self):
        async with Fleet() as fleet:
            owner, other = fleet.entries
            paused, killed, unused = await fleet.open_ids(owner, 3)
            job = fleet.new_job(4, sleep_ms=300)
            await fleet.submit(owner, paused, job, wait_ms=0)
            owner.pause()
            refused = await fleet.submit(other, paused, job, wait_ms=300)
            self.assertEqual(code(refused), "owner_unreachable")
            self.assertFalse(refused.json()["error"]["not_run"])
            owner.resume()
            answer = await fleet.submit(other, paused, job)
            self.assertEqual(answer.json()["state"], "complete")

            lost = fleet.new_job(4, sleep_ms=300)
            await fleet.submit(owner, killed, lost, wait_ms=0)
            await owner.kill()
            refused = await fleet.submit(other, killed, lost, wait_ms=300)
            self.assertEqual(code(refused), "owner_unreachable")
            fleet.entries.remove(owner)
            await fleet.restart_entry(owner)
            for identity in (killed, unused):
                record = lost if identity is killed else fleet.new_job(1)
                await fleet.until(
                    lambda record=record, identity=identity: is_lost(
                        fleet, other, identity, record
                    ),
                    "owner known to be lost",
                )
            starts = await fleet.starts()
            self.assertLessEqual(len(starts), 8)
            self.assertEqual(await fleet.violations(), [])

    async def test_callers_own_keys(self):
        async with Fleet() as fleet:
            first, second = fleet.entries
            both = fleet.new_job(2, sleep_ms=100)
            told = await asyncio.gather(
                *(fleet.submit(first, "", both, key="storm-17") for _ in range(3)),
                *(fleet.submit(second, "", both, key="storm-17") for _ in range(3)),
            )
            self.assertEqual({answer.text for answer in told}, {told[0].text})
            changed = fleet.new_job(1)
            refused = await fleet.submit(second, "", changed, key="storm-17")
            self.assertEqual(code(refused), "key_conflict")

            await fleet.set_platform_faults(lose_replies=1)
            lost_reply = fleet.new_job(2)
            answer = await fleet.submit(first, "", lost_reply, key="storm-18")
            self.assertEqual(answer.json()["state"], "complete")
            again = await fleet.submit(second, "", lost_reply, key="storm-18")
            self.assertEqual(again.text, answer.text)

            await fleet.set_platform_faults(outage=True)
            never = fleet.new_job(2)
            refused = await fleet.submit(first, "", never, key="storm-19")
            self.assertEqual(code(refused), "store_down")
            refused = await fleet.submit(second, "", lost_reply, key="storm-18")
            self.assertEqual(code(refused), "store_down")
            await self.assert_kept(fleet, 4)


CONFLICT = (409, "id_conflict")


async def is_lost(fleet, entry, identity, job):
    """Return whether the entry says that the id's owner is lost."""
    refused = await fleet.submit(entry, identity, job, wait_ms=300)
    return refused is not None and code(refused) == "owner_lost"
