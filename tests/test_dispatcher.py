"""The dispatcher, driven by messages and a manual clock."""

import unittest

from plantainhitch.clock import ManualClock
from plantainhitch.coordination.dispatcher import (
    CONNECTION_REFUSED_GRACE_MS,
    UNREACHABLE_GRACE_MS,
    YIELD_FACTOR,
    Dispatcher,
)
from plantainhitch.coordination.submissions import RETENTION_MS, Submission
from plantainhitch.outcomes import Failed, NotRun, Reason, Succeeded, Unknown
from plantainhitch.protocol import messages as m
from plantainhitch.protocol.calls import Job, JobState, SingleRequest, TaskSpec
from plantainhitch.protocol.errors import ErrorCode
from plantainhitch.state.classes import ClassDefinition, ClassDocument
from plantainhitch.state.estimates import DEFAULT_RUN_MS
from plantainhitch.state.ids import IdIssuer

AGENT = b"a" * 16
OTHER_AGENT = b"b" * 16
RENDER = ClassDefinition("render", answers_within_ms=500, timeout_ms=5_000)
DOCUMENT = ClassDocument(1, "c1", "operator", {"render": RENDER})


def job(count, digest=b"d"):
    """Return a job of ``count`` tasks."""
    specs = tuple(TaskSpec(i, b"%d" % i) for i in range(count))
    return Job("render", specs, digest)


class DispatcherTestCase(unittest.TestCase):
    """Base class: a dispatcher with a configuration and without agents."""

    def setUp(self):
        self.clock = ManualClock(1_000)
        self.dispatcher = Dispatcher(self.clock, IdIssuer.with_random_key())
        self.dispatcher.set_document(DOCUMENT)

    def link(self, incarnation=AGENT, slots=4):
        name = incarnation[:1].decode()
        self.dispatcher.agent_linked(m.Hello("agent", incarnation, name))
        self.dispatcher.receive(incarnation, m.AgentStatus(f"ep-{name}", slots))

    def submit(self, count=1, digest=b"d"):
        (raw_id,) = self.dispatcher.submissions.issue_ids(1)
        return self.dispatcher.submit(raw_id, job(count, digest))

    def place(self):
        """Place queued tasks; return the starts sent, as (incarnation, ``Start``)."""
        self.dispatcher.place()
        return [
            (incarnation, start)
            for incarnation, message in self.dispatcher.take_outbox()
            if isinstance(message, m.StartBatch)
            for start in message.starts
        ]

    def report(self, start, outcome, incarnation=AGENT, spare=4, waiting=0):
        counts = [m.Waiting("render", waiting)] if waiting else []
        reports = [m.Report(start.key, outcome, 100)]
        batch = m.ReportBatch(1, reports, spare, counts)
        self.dispatcher.receive(incarnation, batch)


class RepeatTests(DispatcherTestCase):
    """A repeatable request is never reported "not run" after it may have run.

    The first attempt ends with an unknown outcome and the request is queued again. A
    refusal or expiry after that proves nothing about the first attempt.
    """

    def setUp(self):
        super().setUp()
        self.link()
        request = SingleRequest("render", b"{}", repeatable=True)
        self.request = self.dispatcher.submit_request(request)
        ((_, start),) = self.place()
        self.report(start, Unknown(Reason.ENDPOINT_LOST))

    def outcome(self):
        self.assertTrue(self.request.has_ended)
        return self.request.answer().outcomes[0]

    def test_expired_in_the_queue(self):
        self.dispatcher.agent_unlinked(AGENT)
        self.clock.advance(RENDER.timeout_ms + 1)
        self.dispatcher.tick()
        self.assertEqual(self.outcome(), Unknown(Reason.EXPIRED))

    def test_refused_by_every_agent(self):
        while not self.request.has_ended:
            for _, start in self.place():
                self.report(start, NotRun(Reason.DRAINING))
        self.assertEqual(self.outcome(), Unknown(Reason.DRAINING))

    def test_cancelled_in_the_queue(self):
        self.dispatcher.cancel(self.request.id)
        self.assertEqual(self.outcome(), Unknown(Reason.CANCELLED))


class StartTests(DispatcherTestCase):
    """Which tasks start, how often, and under which ids."""

    def test_job_completes(self):
        self.link()
        submission = self.submit(3)
        starts = self.place()
        self.assertEqual([s.key.index for _, s in starts], [0, 1, 2])
        for _, start in starts:
            self.report(start, Succeeded(b"1"))
        self.assertEqual(submission.answer().state, JobState.COMPLETE)

    def test_one_start_waits_beyond_the_free_slots(self):
        self.link(slots=2)
        submission = self.submit(6)
        first, second, _ = [start for _, start in self.place()]
        self.assertEqual(self.place(), [])
        self.report(first, Succeeded(b"1"), spare=-1, waiting=1)
        self.assertEqual(self.place(), [])
        self.report(second, Succeeded(b"1"), spare=0, waiting=0)
        self.assertEqual(len(self.place()), 1)
        self.assertFalse(submission.has_ended)

    def test_start_refused_by_a_full_agent_queue_is_retried(self):
        self.link(slots=1)
        submission = self.submit()
        for _ in range(20):
            ((_, start),) = self.place()
            self.report(start, NotRun(Reason.OVERLOADED))
        self.assertFalse(submission.has_ended)

    def test_task_waits_for_a_fast_endpoint_rather_than_start_at_a_slow_one(self):
        for incarnation, run_ms in ((AGENT, 100), (OTHER_AGENT, 2_000)):
            self.link(incarnation, slots=1)
            name = f"ep-{incarnation[:1].decode()}"
            for _ in range(50):
                self.dispatcher.estimates.observe(name, "render", run_ms)
        self.submit(4)
        self.assertEqual(
            [incarnation for incarnation, _ in self.place()],
            [AGENT, AGENT],
        )
        self.submit(40)
        self.assertIn(
            OTHER_AGENT,
            [incarnation for incarnation, _ in self.place()],
        )

    def test_resubmission_starts_nothing(self):
        self.link()
        (raw_id,) = self.dispatcher.submissions.issue_ids(1)
        first = self.dispatcher.submit(raw_id, job(2))
        self.assertEqual(len(self.place()), 2)
        self.assertIs(self.dispatcher.submit(raw_id, job(2)), first)
        self.assertEqual(self.place(), [])

    def test_same_id_with_another_body_is_a_conflict(self):
        (raw_id,) = self.dispatcher.submissions.issue_ids(1)
        self.dispatcher.submit(raw_id, job(2))
        refusal = self.dispatcher.submit(raw_id, job(2, b"other"))
        self.assertEqual(refusal.code, ErrorCode.ID_CONFLICT)

    def test_expired_answer_is_not_started_again(self):
        self.link()
        (raw_id,) = self.dispatcher.submissions.issue_ids(1)
        self.dispatcher.submit(raw_id, job(1))
        ((_, start),) = self.place()
        self.report(start, Succeeded(b"1"))
        self.clock.advance(RETENTION_MS + 1)
        self.dispatcher.tick()
        refusal = self.dispatcher.submit(raw_id, job(1))
        self.assertEqual(refusal.code, ErrorCode.ANSWER_EXPIRED)
        self.assertEqual(self.place(), [])

    def test_refusal_as_not_run_makes_the_id_unusable(self):
        self.link()
        self.dispatcher.set_document(ClassDocument(2, "c2", "operator", {}))
        (raw_id,) = self.dispatcher.submissions.issue_ids(1)
        self.assertTrue(self.dispatcher.submit(raw_id, job(1)).not_run)
        self.dispatcher.set_document(DOCUMENT)
        refusal = self.dispatcher.submit(raw_id, job(1))
        self.assertEqual(refusal.code, ErrorCode.ID_REFUSED)
        self.assertEqual(self.place(), [])

    def test_forged_id_is_unknown(self):
        (raw_id,) = self.dispatcher.submissions.issue_ids(1)
        forged = raw_id[:-1] + bytes([raw_id[-1] ^ 1])
        refusal = self.dispatcher.submit(forged, job(1))
        self.assertEqual(refusal.code, ErrorCode.ID_UNKNOWN)


class FailureTests(DispatcherTestCase):
    """Refused starts, failed tasks, lost links and cancellation."""

    def test_refused_start_is_retried_at_another_agent_as_a_new_attempt(self):
        self.link()
        self.link(OTHER_AGENT)
        submission = self.submit()
        ((first, start),) = self.place()
        self.report(start, NotRun(Reason.DRAINING), first)
        ((second, retry),) = self.place()
        self.assertNotEqual(first, second)
        self.assertEqual(retry.key.attempt, start.key.attempt + 1)
        self.report(retry, Succeeded(b"1"), second)
        self.assertEqual(submission.answer().state, JobState.COMPLETE)

    def test_refusing_agent_is_retried_if_the_others_are_far_slower(self):
        self.link()
        self.link(OTHER_AGENT)
        for _ in range(50):
            self.dispatcher.estimates.observe("ep-a", "render", 50)
            self.dispatcher.estimates.observe("ep-b", "render", 5_000)
        self.submit()
        ((first, start),) = self.place()
        self.assertEqual(first, AGENT)
        self.report(start, NotRun(Reason.STALE_START))
        ((second, _),) = self.place()
        self.assertEqual(second, AGENT)

    def test_failed_task_fails_the_job_and_cancels_the_rest(self):
        self.link(slots=1)
        submission = self.submit(3)
        for _, start in self.place():
            self.report(start, Failed(Reason.TASK_FAILED, "no"))
        answer = submission.answer()
        self.assertEqual(answer.state, JobState.FAILED)
        self.assertFalse(answer.not_run)
        self.assertEqual(answer.outcomes[2], NotRun(Reason.CANCELLED))

    def test_relinked_agent_is_asked_and_its_report_is_accepted(self):
        self.link()
        submission = self.submit()
        ((_, start),) = self.place()
        self.dispatcher.agent_unlinked(AGENT)
        self.clock.advance(UNREACHABLE_GRACE_MS - 1)
        self.dispatcher.tick()
        self.dispatcher.agent_linked(m.Hello("agent", AGENT, "a"))
        resolves = [message for _, message in self.dispatcher.take_outbox()]
        self.assertEqual(resolves, [m.Resolve([start.key])])
        self.report(start, Succeeded(b"1"))
        self.assertEqual(submission.answer().state, JobState.COMPLETE)

    def test_outcome_of_a_dead_agent_is_unknown(self):
        self.link()
        submission = self.submit()
        self.place()
        self.dispatcher.agent_unlinked(AGENT)
        self.clock.advance(CONNECTION_REFUSED_GRACE_MS)
        self.dispatcher.agent_connection_refused(AGENT)
        self.link(OTHER_AGENT)
        self.assertEqual(self.place(), [])
        self.assertEqual(
            submission.answer().outcomes, {0: Unknown(Reason.ENDPOINT_LOST)}
        )

    def test_only_repeatable_requests_are_repeated(self):
        for repeatable in (True, False):
            with self.subTest(repeatable=repeatable):
                self.link()
                submission = self.dispatcher.submit_request(
                    SingleRequest("render", b"1", repeatable=repeatable)
                )
                ((_, start),) = self.place()
                self.report(start, Unknown(Reason.ENDPOINT_LOST))
                self.assertEqual(len(self.place()), int(repeatable))
                self.assertEqual(submission.has_ended, not repeatable)

    def test_cancel_stops_running_and_waiting_tasks(self):
        self.link(slots=1)
        submission = self.submit(3)
        running, waiting = [start for _, start in self.place()]
        self.assertIsInstance(self.dispatcher.cancel(submission.id), Submission)
        cancels = [message for _, message in self.dispatcher.take_outbox()]
        self.assertEqual(cancels, [m.CancelBatch([running.key, waiting.key])])
        self.report(running, Failed(Reason.CANCELLED))
        self.report(waiting, NotRun(Reason.CANCELLED))
        self.assertEqual(submission.answer().state, JobState.FAILED)
        self.assertEqual(self.place(), [])

    def test_failing_endpoint_is_held_back(self):
        self.link(slots=100)
        self.link(OTHER_AGENT, slots=100)
        for _ in range(60):
            self.submit()
            for incarnation, start in self.place():
                is_failing = incarnation == AGENT
                outcome = Failed(Reason.TASK_FAILED) if is_failing else Succeeded(b"1")
                self.report(start, outcome, incarnation)
        self.assertTrue(self.dispatcher.outlier_detector.health_of("ep-a").is_held_back)
        self.assertFalse(
            self.dispatcher.outlier_detector.health_of("ep-b").is_held_back
        )

    def test_a_held_back_endpoint_that_left_does_not_count_towards_the_limit(self):
        # Endpoints that had left used up the limit, so that later ones that failed all
        # their tasks were not held back any more.
        detector = self.dispatcher.outlier_detector
        self.link(slots=100)
        self.link(OTHER_AGENT, slots=100)
        for _ in range(10):
            detector.record_result("ep-a", failed=True)
        self.dispatcher.agent_gone(AGENT)
        self.assertEqual(0, detector.held_back_count)
        for _ in range(10):
            detector.record_result("ep-b", failed=True)
        self.assertTrue(detector.health_of("ep-b").is_held_back)

    def test_a_held_back_endpoint_that_returns_is_still_held_back(self):
        detector = self.dispatcher.outlier_detector
        self.link(slots=100)
        for _ in range(10):
            detector.record_result("ep-a", failed=True)
        self.dispatcher.agent_gone(AGENT)
        self.assertFalse(detector.may_start("ep-a", 0))

    def test_class_that_fits_no_endpoint_is_not_run(self):
        large_class = ClassDefinition("render", 500, accelerators=1)
        self.dispatcher.set_document(
            ClassDocument(2, "c", "o", {"render": large_class})
        )
        self.link()
        submission = self.submit()
        self.clock.advance(3_001)
        self.dispatcher.tick()
        self.assertEqual(submission.answer().outcomes, {0: NotRun(Reason.NO_FIT)})


class QueueOrderTests(DispatcherTestCase):
    """The order of queued jobs, and the expiry of the oldest."""

    def test_small_job_overtakes_a_large_one(self):
        self.link()
        large = self.submit(50, b"large")
        self.clock.advance(100)
        small = self.submit(1, b"small")
        ((_, first), *rest) = self.place()
        self.assertEqual(first.key.submission, small.id)
        self.assertEqual({start.key.submission for _, start in rest}, {large.id})

    def test_large_job_is_overtaken_for_a_bounded_time_only(self):
        large = self.submit(50, b"large")
        self.clock.advance(YIELD_FACTOR * DEFAULT_RUN_MS + 1)
        self.submit(1, b"small")
        self.link(slots=50)
        ((_, first), *_) = self.place()
        self.assertEqual(first.key.submission, large.id)

    def test_large_job_expires_although_smaller_ones_are_ahead(self):
        large = self.submit(50, b"large")
        self.clock.advance(4_000)
        self.submit(1, b"small")
        self.clock.advance(6_001)
        self.dispatcher.tick()
        self.assertTrue(large.answer().not_run)
