"""Model of ownership and starts: who may start a task, what callers may be told.

A caller submits a job to its owner, and to another entry if the owner is paused or
has crashed. The owner sends starts to one agent; they wait there until the slot is
free, and may be returned to the owner until then. The agent keeps a record of each
attempt that it admitted or refused; the endpoint starts a run for each request that
reaches it. Frames can be delayed past their validity, be reordered or duplicated, or
be lost together with their link. The owner can pause and resume, or crash; the agent
can pause and resume, or restart.
"""

from .agent_steps import agent_fault_steps, agent_steps, forget_steps, network_steps
from .owner_steps import owner_fault_steps, owner_steps, second_entry_steps
from .states import Fault, Job, Limits, Owner, Phase, State, Task


class StartModel:
    """The model of one job of ``tasks`` tasks, optionally with a planted fault."""

    def __init__(self, tasks=1, fault=Fault.NONE, limits=None):
        self._tasks = tasks
        self._fault = fault
        self._limits = limits or Limits()

    @property
    def fault(self):
        """The planted fault."""
        return self._fault

    def initial(self):
        """Return the state before the job is submitted."""
        zeros = (0,) * self._tasks
        return State(
            owner=Owner.UP,
            job=Job.NONE,
            tasks=(Task(),) * self._tasks,
            session=0,
            session_incarnation=0,
            last_session=0,
            incarnation=1,
            agent_paused=0,
            records=(),
            has_forgotten=0,
            frames=(),
            requests_in_flight=zeros,
            starts=zeros,
            reported_not_run=zeros,
            answer=Job.NONE,
            taken_over=0,
            limits=self._limits,
        )

    def steps(self, state):
        """Yield every ``(label, next state)``."""
        yield from owner_steps(state, self._fault)
        yield from agent_steps(state, self._fault)
        yield from network_steps(state)
        yield from forget_steps(state, self._fault)
        yield from second_entry_steps(state, self._fault)
        yield from owner_fault_steps(state)
        yield from agent_fault_steps(state)

    def duplicate_start(self, state):
        """Return which task has started more than once, or an empty text."""
        for index, starts in enumerate(state.starts):
            if starts > 1:
                return f"task {index} started {starts} times"
        return ""

    def violation(self, state):
        """Return which invariant the state breaks, or an empty text."""
        detail = self.duplicate_start(state)
        if detail:
            return detail
        for index, starts in enumerate(state.starts):
            if starts and state.reported_not_run[index]:
                return f"task {index} ran, and the caller was told that it did not"
        phases = [task.phase for task in state.tasks]
        if state.answer == Job.COMPLETE and set(phases) != {Phase.SUCCEEDED}:
            return "a partial answer was marked complete"
        return ""
