"""Resubmissions: a submission runs once, however often and wherever it is repeated."""

import asyncio

from tests.harness import Fleet, ProcessTestCase


def error_code(response):
    """Return the error code in the body of a response."""
    return response.json()["error"]["code"]


class ResubmissionTests(ProcessTestCase):
    """Tests with separate processes, each of which ends with a check of all starts."""

    async def assert_starts(self, fleet, starts):
        """Check that no rule was violated and that ``starts`` tasks were started."""
        self.assertEqual(await fleet.violations(), [])
        self.assertEqual(len(await fleet.starts()), starts)

    async def test_same_answer_at_all_entries_and_no_second_start(self):
        """Guards against a second run of a job that is submitted at several entries.

        The same submission arrives several times at once, again after its end, and at
        another entry while it runs. A changed job under the same id is a conflict.
        """
        async with Fleet() as fleet:
            first, second = fleet.entries
            ids = await fleet.open_ids(first, 4)
            concurrent_job = fleet.new_job(4, sleep_ms=200)
            answers = await asyncio.gather(
                *(fleet.submit(first, ids[0], concurrent_job) for _ in range(5)),
                *(fleet.submit(second, ids[0], concurrent_job) for _ in range(5)),
            )
            self.assertEqual({answer.text for answer in answers}, {answers[0].text})
            repeated = await fleet.submit(second, ids[0], concurrent_job)
            self.assertEqual(repeated.text, answers[0].text)

            started_job = fleet.new_job(2, sleep_ms=200)
            accepted = await fleet.submit(first, ids[1], started_job, wait_ms=0)
            self.assertEqual(accepted.status_code, 202)
            answer = await fleet.submit(second, ids[1], started_job)
            self.assertEqual(answer.json()["state"], "complete")

            changed_job = fleet.new_job(2, other=True)
            for entry in fleet.entries:
                refused = await fleet.submit(entry, ids[1], changed_job)
                self.assertEqual((refused.status_code, error_code(refused)), CONFLICT)
            await self.assert_starts(fleet, 6)

    async def test_ids_that_were_not_issued_are_refused(self):
        """Guards against jobs that run under forged, foreign or malformed ids."""
        async with Fleet(agents=1) as fleet:
            first, second = fleet.entries
            (issued_id,) = await fleet.open_ids(first)
            other_character = "A" if issued_id[-2] != "A" else "B"
            forged_id = issued_id[:-2] + other_character + issued_id[-1]
            foreign_id = "A" * 22 + issued_id[22:]
            for entry in (first, second):
                for submission_id in (forged_id, foreign_id):
                    job = fleet.new_job(1)
                    refused = await fleet.submit(entry, submission_id, job)
                    self.assertEqual(error_code(refused), "id_unknown")
                refused = await fleet.submit(entry, "no-id", fleet.new_job(1))
                self.assertEqual(error_code(refused), "id_malformed")
            await self.assert_starts(fleet, 0)

    async def test_owner_paused_killed_and_replaced(self):
        """Guards against a second run while the entry that owns the id does not answer.

        Another entry can't know whether the job runs, so it refuses the submission and
        doesn't claim that nothing ran. After a new process has replaced the owner, the
        other entry reports that the owner of the ids is lost.
        """
        async with Fleet() as fleet:
            owner, other = fleet.entries
            paused_id, killed_id, unused_id = await fleet.open_ids(owner, 3)
            job = fleet.new_job(4, sleep_ms=300)
            await fleet.submit(owner, paused_id, job, wait_ms=0)
            owner.pause()
            refused = await fleet.submit(other, paused_id, job, wait_ms=300)
            self.assertEqual(error_code(refused), "owner_unreachable")
            self.assertFalse(refused.json()["error"]["not_run"])
            owner.resume()
            answer = await fleet.submit(other, paused_id, job)
            self.assertEqual(answer.json()["state"], "complete")

            killed_job = fleet.new_job(4, sleep_ms=300)
            await fleet.submit(owner, killed_id, killed_job, wait_ms=0)
            await owner.kill()
            refused = await fleet.submit(other, killed_id, killed_job, wait_ms=300)
            self.assertEqual(error_code(refused), "owner_unreachable")
            fleet.entries.remove(owner)
            await fleet.restart_entry(owner)
            for submission_id in (killed_id, unused_id):
                lost_job = (
                    killed_job if submission_id is killed_id else fleet.new_job(1)
                )
                await fleet.wait_until(
                    lambda lost_job=lost_job, submission_id=submission_id: (
                        is_owner_lost(fleet, other, submission_id, lost_job)
                    ),
                    "owner known to be lost",
                )
            starts = await fleet.starts()
            self.assertLessEqual(len(starts), 8)
            self.assertEqual(await fleet.violations(), [])

    async def test_idempotency_keys_of_callers(self):
        """Guards against a second run of a job submitted under a key of its caller.

        The same key arrives at several entries at once, the reply of the store is lost,
        and the store is down.
        """
        async with Fleet() as fleet:
            first, second = fleet.entries
            concurrent_job = fleet.new_job(2, sleep_ms=100)
            answers = await asyncio.gather(
                *(
                    fleet.submit(first, "", concurrent_job, key="storm-17")
                    for _ in range(3)
                ),
                *(
                    fleet.submit(second, "", concurrent_job, key="storm-17")
                    for _ in range(3)
                ),
            )
            self.assertEqual({answer.text for answer in answers}, {answers[0].text})
            changed_job = fleet.new_job(1)
            refused = await fleet.submit(second, "", changed_job, key="storm-17")
            self.assertEqual(error_code(refused), "key_conflict")

            await fleet.set_platform_faults(lose_replies=1)
            lost_reply_job = fleet.new_job(2)
            answer = await fleet.submit(first, "", lost_reply_job, key="storm-18")
            self.assertEqual(answer.json()["state"], "complete")
            repeated = await fleet.submit(second, "", lost_reply_job, key="storm-18")
            self.assertEqual(repeated.text, answer.text)

            await fleet.set_platform_faults(outage=True)
            refused_job = fleet.new_job(2)
            refused = await fleet.submit(first, "", refused_job, key="storm-19")
            self.assertEqual(error_code(refused), "store_down")
            refused = await fleet.submit(second, "", lost_reply_job, key="storm-18")
            self.assertEqual(error_code(refused), "store_down")
            await self.assert_starts(fleet, 4)


CONFLICT = (409, "id_conflict")


async def is_owner_lost(fleet, entry, submission_id, job):
    """Return whether the entry refuses the id because its owner is lost."""
    refused = await fleet.submit(entry, submission_id, job, wait_ms=300)
    return refused is not None and error_code(refused) == "owner_lost"
