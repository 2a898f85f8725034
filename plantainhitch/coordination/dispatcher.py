"""The scheduling logic of an entry, free of sockets and sleeps.

``Dispatcher`` owns the submissions, the class queues and the entry's view of the
agents. The task that owns it passes in calls, messages and ticks, and sends the
messages that ``take_outbox`` returns.
"""

from collections import Counter

from ..outcomes import NotRun, Reason, Succeeded, Unknown
from ..protocol import messages as m
from ..protocol.calls import Job, TaskSpec
from ..protocol.errors import ErrorCode, Refusal
from ..state.estimates import RunTimeEstimates
from .admission import Admission
from .agents import AgentView
from .expiry import ExpiryChecker
from .health import OutlierDetector
from .observer import DispatchObserver
from .outbox import Outbox
from .placement import Placement
from .queues import ClassQueues, PendingTask
from .retries import is_endpoint_fault, may_retry
from .submissions import Submission, SubmissionRegistry

# After its link has ended, an agent whose address refuses connections is given up
# after the first of these times. One that doesn't answer at all gets the second,
# longer one: a network partition may heal, and its reports arrive then.
CONNECTION_REFUSED_GRACE_MS = 2_000
UNREACHABLE_GRACE_MS = 15_000
# A job is overtaken by smaller jobs that arrive within this many times the run time
# that it would have on the whole fleet.
YIELD_FACTOR = 20


class Dispatcher:
    """Queues the tasks of submissions, places them on agents and takes reports."""

    def __init__(
        self, clock, issuer, *, submissions=None, admission=None, observer=None
    ):
        self._clock = clock
        self._issuer = issuer
        self._submissions = submissions or SubmissionRegistry(issuer, clock)
        self._admission = admission or Admission(clock)
        self._queues = ClassQueues()
        self._estimates = RunTimeEstimates()
        self._outlier_detector = OutlierDetector(clock)
        self._placement = Placement(clock, self._estimates, self._outlier_detector)
        self._agents = {}
        self._placement.set_agents(self._agents)
        self._expiry = ExpiryChecker(clock, self._queues, self._placement)
        self._drained_endpoints = frozenset()
        self._document = None
        self._outbox = Outbox()
        self._in_flight_by_class = Counter()
        self._slots = 0
        self._observer = observer or DispatchObserver(clock)
        self._counts = self._observer.counts

    @property
    def submissions(self):
        """The ``SubmissionRegistry`` of this incarnation."""
        return self._submissions

    @property
    def agents(self):
        """The known agents: ``AgentView`` by incarnation."""
        return self._agents

    @property
    def counts(self):
        """The ``DispatchCounts`` since the start of the process."""
        return self._counts

    @property
    def outlier_detector(self):
        """The ``OutlierDetector`` that holds back failing endpoints."""
        return self._outlier_detector

    @property
    def estimates(self):
        """The ``RunTimeEstimates`` by endpoint and class."""
        return self._estimates

    @property
    def queued(self):
        """The number of queued tasks of all classes."""
        return self._queues.task_count()

    @property
    def in_flight(self):
        """The number of tasks that were sent to agents and are not yet reported."""
        return sum(len(agent.in_flight) for agent in self._agents.values())

    def queued_by_class(self):
        """Return the number of queued tasks by class, without empty queues."""
        return {name: len(queue) for name, queue in self._queues.non_empty()}

    # Calls

    def set_document(self, document):
        """Apply a ``ClassDocument``; it replaces the current one."""
        self._document = document
        self._placement.invalidate()

    def check_admission(self, job):
        """Return None if the job would be admitted now, else a ``Refusal``."""
        queued = len(self._queues.for_class(job.class_name))
        return self._admission.check(self._document, job, queued)

    def submit(self, raw_id, job, is_admitted=False):
        """Return the ``Submission`` of the id, created if new, or a ``Refusal``.

        With ``is_admitted`` the job has passed ``check_admission`` already; it isn't
        checked again.
        """
        found = self._submissions.find(raw_id)
        if isinstance(found, Submission) or found.code is not ErrorCode.NOT_FOUND:
            return self._resubmit(raw_id, job)
        refusal = None if is_admitted else self.check_admission(job)
        if refusal:
            self._submissions.mark_refused(raw_id)
            return refusal
        submission, _ = self._submissions.get_or_create(raw_id, job)
        self._enqueue(submission)
        return submission

    def submit_request(self, call):
        """Submit a single request; return its ``Submission`` or a ``Refusal``."""
        spec = TaskSpec(0, call.body, call.declared_ms)
        job = Job(call.class_name, (spec,), b"", call.traceparent)
        refusal = self.check_admission(job)
        if refusal:
            return refusal
        repeatable = call.repeatable
        if repeatable is None:
            repeatable = self._document.classes[call.class_name].repeatable
        (raw_id,) = self._submissions.issue_ids(1)
        submission, _ = self._submissions.get_or_create(raw_id, job, repeatable)
        self._enqueue(submission)
        return submission

    def cancel(self, raw_id):
        """Cancel the tasks of a submission that have not ended.

        Return the ``Submission``, or a ``Refusal`` if the id has none.
        """
        found = self._submissions.find(raw_id)
        if isinstance(found, Submission) and not found.has_ended:
            found.is_cancelled = True
            self._remove_queued(found, NotRun(Reason.CANCELLED))
            self._cancel_in_flight(found)
        return found

    # Agents

    def agent_linked(self, hello, rack=""):
        """Register a new link to an agent; return its ``AgentView``.

        The agent is asked for the outcome of the attempts that are in flight there.
        """
        agent = self._agents.get(hello.incarnation)
        if agent is None:
            agent = AgentView(hello.incarnation, hello.name, hello.zone, rack)
            self._agents[hello.incarnation] = agent
        agent.is_linked = True
        agent.unlinked_at_ms = None
        if agent.in_flight:
            self._send(agent, m.Resolve(list(agent.in_flight)))
        self._agents_changed()
        return agent

    def agent_unlinked(self, incarnation):
        """Note that the link to an agent has ended.

        Its tasks stay in flight: they may still be reported on a new link.
        """
        agent = self._agents.get(incarnation)
        if agent is not None and agent.is_linked:
            agent.mark_unlinked(self._clock.now_ms())
            self._outbox.drop_starts(incarnation)

    def agent_connection_refused(self, incarnation):
        """Remove an agent whose address refuses connections, after a short grace."""
        agent = self._agents.get(incarnation)
        if agent is None or agent.is_linked or agent.unlinked_at_ms is None:
            return
        if self._clock.now_ms() - agent.unlinked_at_ms >= CONNECTION_REFUSED_GRACE_MS:
            self.agent_gone(incarnation)

    def agent_gone(self, incarnation):
        """Remove an agent that has left or died.

        The outcome of its tasks in flight is unknown.
        """
        agent = self._agents.pop(incarnation, None)
        if agent is None:
            return
        agent.is_linked = False
        self._agents_changed()
        if not any(a.endpoint == agent.endpoint for a in self._agents.values()):
            self._outlier_detector.endpoint_left(agent.endpoint)
        tasks, agent.in_flight = list(agent.in_flight.values()), {}
        for task in tasks:
            self._resolve_attempt(task, Unknown(Reason.ENDPOINT_LOST))

    def set_drained(self, names):
        """Send no new starts to the endpoints with these names, a set."""
        self._drained_endpoints = names
        for agent in self._agents.values():
            agent.is_drained = agent.endpoint in names
        self._placement.invalidate()

    def receive(self, incarnation, message):
        """Handle a message from an agent; one of an unknown agent is ignored."""
        agent = self._agents.get(incarnation)
        if agent is None:
            return
        match message:
            case m.ReportBatch(_, reports, spare, waiting):
                for report in reports:
                    self._handle_report(agent, report)
                agent.update_load(spare, waiting)
                self._placement.agent_load_changed(agent)
            case m.AgentStatus():
                agent.update_status(message)
                agent.is_drained = message.endpoint in self._drained_endpoints
                self._agents_changed()

    # Scheduling

    def place(self):
        """Place queued tasks on agents that have room for them."""
        if not self._document:
            return
        for name, queue in self._queues_by_urgency():
            definition = self._document.classes.get(name)
            if definition is None:
                self._fail_unknown_class(queue)
                continue
            self._place_class(definition, queue)

    def tick(self):
        """Expire answers, agents and tasks; call it several times a second."""
        now_ms = self._clock.now_ms()
        self._submissions.expire()
        for agent in list(self._agents.values()):
            unlinked_ms = (
                0 if agent.unlinked_at_ms is None else now_ms - agent.unlinked_at_ms
            )
            if unlinked_ms >= UNREACHABLE_GRACE_MS:
                self.agent_gone(agent.incarnation)
                continue
            for key, task in self._expiry.overdue_reports(agent, self._document):
                agent.remove_in_flight(key)
                self._resolve_attempt(task, Unknown(Reason.TIMED_OUT))
        self._expire_queued()

    def take_outbox(self):
        """Return (agent incarnation, message) pairs to send, in order."""
        return self._outbox.take()

    # Internals, from the caller's side to the agents'

    def _agents_changed(self):
        self._slots = sum(agent.slots for agent in self._agents.values())
        self._placement.invalidate()

    def _resubmit(self, raw_id, job):
        result = self._submissions.get_or_create(raw_id, job)
        return result if isinstance(result, Refusal) else result[0]

    def _enqueue(self, submission):
        job = submission.job
        self._observer.job_queued(submission)
        queue = self._queues.for_class(job.class_name)
        now_ms = self._clock.now_ms()
        rank_ms = now_ms + YIELD_FACTOR * self._fleet_time_ms(job)
        for spec in job.tasks:
            self._estimates.set_prior(job.class_name, spec.declared_ms)
            queue.push(PendingTask(submission, spec, now_ms, rank_ms))

    def _fleet_time_ms(self, job):
        """Return the job's expected run time in ms if it had the whole fleet."""
        work_ms = self._estimates.class_run_ms(job.class_name) * len(job.tasks)
        # While no agent is known, every task counts as having a slot.
        return work_ms / (self._slots or len(job.tasks))

    def _remove_queued(self, submission, outcome):
        queue = self._queues.for_class(submission.job.class_name)
        for task in list(submission.queued):
            queue.remove(task)
            self._record(task, outcome)

    def _record(self, task, outcome):
        final = task.final_outcome(outcome)
        self._submissions.record_outcome(task.submission, task.spec.index, final)

    def _cancel_in_flight(self, submission):
        by_agent = {}
        for key, agent in submission.in_flight.items():
            by_agent.setdefault(agent, []).append(key)
        for agent, keys in by_agent.items():
            self._send(agent, m.CancelBatch(keys))

    def _fail_unknown_class(self, queue):
        while (task := queue.pop()) is not None:
            self._finish_task(task, NotRun(Reason.CLASS_UNKNOWN))

    def _queues_by_urgency(self):
        """Return (class name, queue) pairs in the order of their urgency.

        Classes with fewer tasks in flight than their claim go first; within each
        group, the class whose first task has the least time left to its target.
        """
        non_empty = self._queues.non_empty()
        if len(non_empty) < 2:
            return non_empty
        now_ms = self._clock.now_ms()
        slots = self._slots
        in_flight_by_class = self._in_flight_by_class

        def urgency(item):
            name, queue = item
            definition = self._document.classes.get(name)
            head = queue.peek()
            if definition is None or head is None:
                return (True, 0)
            claimed_slots = definition.claims_at_least * slots
            left_ms = head.enqueued_ms + definition.answers_within_ms - now_ms
            return (in_flight_by_class[name] >= claimed_slots, left_ms)

        return sorted(non_empty, key=urgency)

    def _place_class(self, definition, queue):
        while (task := queue.peek()) is not None:
            agent = self._placement.choose(definition, len(queue), task.excluded_agent)
            if agent is None:
                return
            queue.pop()
            self._start(agent, task, definition)

    def _start(self, agent, task, definition):
        task.sent_ms = self._clock.now_ms()
        key = task.key
        agent.add_in_flight(task)
        task.submission.in_flight[key] = agent
        self._observer.task_started(task)
        self._in_flight_by_class[task.class_name] += 1
        start = m.Start(
            key=key,
            class_name=definition.name,
            body=task.spec.body,
            timeout_ms=definition.timeout_ms,
            traceparent=task.span.traceparent,
        )
        self._outbox.add_start(agent.incarnation, start)
        self._admission.record_starts(definition.name)

    def _handle_report(self, agent, report):
        task = agent.remove_in_flight(report.key)
        if task is None:
            self._counts.late_reports += 1
            return
        self._record_result(agent, task, report)
        self._observer.task_reported(task, report.outcome, report.run_ms)
        self._resolve_attempt(task, report.outcome, agent.name)

    def _record_result(self, agent, task, report):
        if isinstance(report.outcome, Succeeded):
            self._estimates.observe(agent.endpoint, task.class_name, report.run_ms)
            self._outlier_detector.record_result(agent.endpoint, failed=False)
        elif is_endpoint_fault(report.outcome):
            self._outlier_detector.record_result(agent.endpoint, failed=True)

    def _resolve_attempt(self, task, outcome, agent_name=""):
        """End an attempt: retry the task where that is safe, else finish it."""
        self._in_flight_by_class[task.class_name] -= 1
        task.submission.in_flight.pop(task.key, None)
        if isinstance(outcome, NotRun):
            self._counts.refused_starts += 1
        if not may_retry(task, outcome):
            self._finish_task(task, outcome)
            return
        task.attempt += 1
        task.may_have_run |= not isinstance(outcome, NotRun)
        task.excluded_agent = agent_name
        self._counts.retried += 1
        self._queues.for_class(task.class_name).push(task)

    def _finish_task(self, task, outcome):
        submission = task.submission
        self._record(task, outcome)
        # The submission can't complete any more, so its queued tasks need not run.
        if submission.has_failed and submission.queued:
            self._remove_queued(submission, NotRun(Reason.CANCELLED))

    def _expire_queued(self):
        if self._document is None:
            return
        overdue = self._expiry.overdue_queued(self._document, bool(self._agents))
        for overdue_task in overdue:
            overdue_task.queue.remove(overdue_task.task)
            self._finish_task(overdue_task.task, NotRun(overdue_task.reason))

    def _send(self, agent, message):
        self._outbox.add(agent.incarnation, message)
