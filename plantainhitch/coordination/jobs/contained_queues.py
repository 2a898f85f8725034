"""Queues whose tasks appear to crash endpoints, and for how long they are contained."""

from dataclasses import dataclass, field

from ... import logs
from ...state.jobs import job_id_of

# How long a queue stays contained after the last crash that speaks against it: if all
# such crashes speak against one job, and if they speak against several.
SUSPICION_MS = 3_000
CONTAINMENT_MS = 10_000
# A second crash speaks against a task if a crash of its endpoint during its run would
# have been less probable than this, at the rate of crashes lately.
MAX_COINCIDENCE_PROBABILITY = 0.02

log = logs.get_logger("containment")


@dataclass(slots=True)
class _ContainedQueue:
    """A queue whose jobs run in ``pool`` and that is contained until ``until_ms``.

    ``is_probable`` is true once one of its tasks probably crashes its endpoints.
    ``suspected_jobs`` are the ids of the jobs that crashes have spoken against.
    """

    pool: str
    until_ms: int = 0
    is_probable: bool = False
    suspected_jobs: set[str] = field(default_factory=set)


class ContainedQueues:
    """The queues that are contained at present, by what ``history`` knows of crashes.

    ``count_endpoints()`` returns how many endpoints are known.
    """

    def __init__(self, clock, history, count_endpoints):
        self._clock = clock
        self._history = history
        self._count_endpoints = count_endpoints
        self._queues = {}
        # By the name of an agent: when its endpoint last crashed.
        self._crashed_ms_by_agent = {}

    @property
    def crashed_agents(self):
        """The names of the agents whose endpoints a contained queue has crashed.

        Empty while crashes speak against one job only, which may be the last.
        """
        if not any(len(q.suspected_jobs) > 1 for q in self._queues.values()):
            return frozenset()
        return frozenset(self._agents_crashed_within(CONTAINMENT_MS))

    def names(self, pool):
        """Return the names of the queues that are contained in a pool now."""
        self._release_expired()
        if not self._queues:
            return frozenset()
        return {name for name, queue in self._queues.items() if queue.pool == pool}

    def record(self, crash, agent):
        """Contain the queue that a new crash speaks against, if there is only one.

        ``agent`` is the ``AgentView`` of the endpoint.
        """
        self._release_expired()
        now_ms = self._clock.now_ms()
        crashed_ms = now_ms - crash.age_ms
        self._crashed_ms_by_agent[agent.name] = crashed_ms
        suspected_queues = self._suspected_queues(crash)
        if len(suspected_queues) != 1:
            return
        (name,) = suspected_queues
        contained = self._queues.get(name) or _ContainedQueue(agent.status.pool)
        contained.suspected_jobs.update(self._suspected_jobs(crash, name))
        if any(self._history.is_probable(run.task) for run in crash.runs):
            contained.is_probable = True
            self._release_improbable(except_name=name)
        has_several = len(contained.suspected_jobs) > 1
        duration_ms = CONTAINMENT_MS if has_several else SUSPICION_MS
        contained.until_ms = max(contained.until_ms, crashed_ms + duration_ms)
        if contained.until_ms > now_ms and name not in self._queues:
            log.warning("queue contained", queue=name, learnt=False)
            self._queues[name] = contained

    def probable_ms(self):
        """Return for how long each queue with a probable cause stays contained."""
        self._release_expired()
        now_ms = self._clock.now_ms()
        return {
            name: queue.until_ms - now_ms
            for name, queue in self._queues.items()
            if queue.is_probable
        }

    def learn(self, name, pool, contained_ms):
        """Contain a queue because another entry found a probable cause in it."""
        contained = self._queues.get(name) or _ContainedQueue(pool)
        contained.is_probable = True
        until_ms = self._clock.now_ms() + contained_ms
        contained.until_ms = max(contained.until_ms, until_ms)
        if name not in self._queues:
            log.warning("queue contained", queue=name, learnt=True)
            self._queues[name] = contained

    def _suspected_queues(self, crash):
        """Return the names of the queues of the tasks that a crash speaks against.

        A contained queue explains the crash if it had the endpoint to itself, or if it
        has a probable cause and had runs there. Otherwise these are tasks that were
        running in a crash before, and for so short a time in this one that it is
        unlikely to be a coincidence.
        """
        queues = {run.queue for run in crash.runs}
        if queues <= self._queues.keys():
            return queues
        probable = {name for name, queue in self._queues.items() if queue.is_probable}
        if probable & queues:
            return probable & queues
        crashed = len(self._agents_crashed_within(SUSPICION_MS))
        rate = crashed / max(self._count_endpoints(), crashed) / SUSPICION_MS
        return {
            run.queue
            for run in crash.runs
            if run.was_running
            and self._history.count(run.task) > 1
            and run.run_ms * rate < MAX_COINCIDENCE_PROBABILITY
        }

    def _suspected_jobs(self, crash, queue):
        return {
            job_id_of(run.task)
            for run in crash.runs
            if run.queue == queue
            and run.was_running
            and (crash.has_single_job or self._history.count(run.task) > 1)
        }

    def _agents_crashed_within(self, duration_ms):
        since_ms = self._clock.now_ms() - duration_ms
        return [name for name, ms in self._crashed_ms_by_agent.items() if ms > since_ms]

    def _release_expired(self):
        now_ms = self._clock.now_ms()
        for name in [n for n, q in self._queues.items() if q.until_ms <= now_ms]:
            self._release(name, "no crash speaks against it any more")

    def _release_improbable(self, except_name):
        """Release queues contained on suspicion, which a probable cause explains."""
        for name in [n for n, q in self._queues.items() if not q.is_probable]:
            if name != except_name:
                self._release(name, "another queue is the probable cause")

    def _release(self, name, reason):
        del self._queues[name]
        log.info("queue released", queue=name, why=reason)
