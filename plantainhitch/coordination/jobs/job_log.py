"""The log of an entry's decisions on runs, each with what was known of the agent."""

from ... import logs
from ...state.endpoints import End

# The most tasks that a line names.
MAX_LOGGED_TASKS = 100

log = logs.get_logger("jobs")


class JobLog:
    """Writes the events of jobs, of their runs, and of the agents that have these."""

    def __init__(self, clock):
        self._clock = clock
        self._events = logs.EventLog(log, clock)

    @property
    def events(self):
        """The ``EventLog`` that is written to."""
        return self._events

    def flush_if_due(self):
        """Write events that wait in batches, see ``EventLog``."""
        self._events.flush_if_due()

    def job_refused(self, job, reason, usable_agents, **fields):
        """Write that a job was refused on arrival."""
        self._events.write(
            "job refused",
            job=job.job_id,
            queue=job.route.name,
            why=reason,
            agents_usable=usable_agents,
            **fields,
        )

    def agent_linked(self, agent):
        """Write that the link to an agent, an ``AgentView``, has opened."""
        log.info("agent linked", agent=agent.name, runs=len(agent.tasks))

    def agent_unlinked(self, agent):
        """Write that the link to an agent has ended, and which runs are there."""
        self._events.warn("agent unlinked", **self._runs_at(agent))

    def agent_presumed_dead(self, agent):
        """Write that an agent's address refuses connections, or is another's."""
        self._events.warn("agent presumed dead", **self._runs_at(agent))

    def runs_lost(self, agent, reason):
        """Write that an agent is given up with its runs."""
        self._events.warn("runs lost", **self._runs_at(agent), why=reason)

    def run_given_up(self, task, agent, reason):
        """Write that the run of a ``Task`` isn't counted on any more."""
        self._events.write_unusual(
            "run given up",
            task=task.name,
            run=task.run_number,
            agent=agent.name,
            why=reason,
            heard_ms_ago=self._heard_ms_ago(agent),
        )

    def run_not_completed(self, task, agent, run_end, crash_count):
        """Write how the run of a task ended, a ``RunEnd`` other than done."""
        is_ordinary = run_end.end is End.NOT_STARTED
        write = self._events.write if is_ordinary else self._events.write_unusual
        write(
            "run not completed",
            task=task.name,
            run=task.run_number,
            agent=agent.name,
            end=run_end.end.name,
            why=run_end.reason,
            run_ms=run_end.run_ms,
            failures=task.failures,
            lost_runs=task.lost_runs,
            crashes=crash_count,
        )

    def run_placed(self, task, candidate, due_in_ms):
        """Write that a start is ordered, on the expectations of a candidate."""
        is_ordinary = task.run_number == 1
        write = self._events.write if is_ordinary else self._events.write_unusual
        write(
            "run placed",
            task=task.name,
            run=task.run_number,
            agent=candidate.agent.name,
            heard_ms_ago=self._heard_ms_ago(candidate.agent),
            expected_wait_ms=candidate.wait_ms,
            expected_run_ms=round(candidate.run_ms),
            due_in_ms=due_in_ms,
        )

    def _heard_ms_ago(self, agent):
        heard_ms = agent.last_contact_ms
        if agent.link is not None:
            heard_ms = max(heard_ms, agent.link.last_received_ms)
        return self._clock.now_ms() - heard_ms

    def _runs_at(self, agent):
        """Return the fields of an agent's runs and of its last sign of life."""
        return {
            "agent": agent.name,
            "runs": len(agent.tasks),
            "heard_ms_ago": self._heard_ms_ago(agent),
            "tasks": list(agent.tasks)[:MAX_LOGGED_TASKS],
        }
