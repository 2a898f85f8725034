"""The state of one job at its owner: which tasks are blocked, ready, placed or done."""

from dataclasses import dataclass, field

from ...state.jobs import JobSpec, RunKey, StepSpec
from ...state.routes import Route


@dataclass(slots=True, eq=False)
class Task:
    """One task of a job and its newest run, whose number is ``run_number``.

    ``index`` is the task's index within its step. ``agent`` is the incarnation of the
    agent that the newest run was ordered at, empty while the task waits for placement.
    """

    job: "Job"
    step_index: int
    index: int
    name: str
    run_number: int = 0
    failures: int = 0
    # How many of its runs were lost with their endpoint or agent.
    lost_runs: int = 0
    agent: bytes = b""
    checkpoint: str = ""
    # Incarnations of agents where a run failed, stalled or was rejected because the
    # endpoint was unhealthy, the newest last.
    avoided_agents: tuple[bytes, ...] = ()

    @property
    def key(self):
        """The key of the newest run."""
        return RunKey(self.name, self.run_number)

    @property
    def step_spec(self) -> StepSpec:
        """The specification of the step that the task belongs to."""
        return self.job.spec.steps[self.step_index]


@dataclass(slots=True, eq=False)
class Job:
    """A job; times are on this process's clock.

    ``caller_deadline_ms`` is the time at which the caller stops waiting.
    ``task_sizes_ms`` has, for each step, the expected size of one of its tasks in ms.
    ``objective_ms`` is the target time from arrival to completion. Sizes and objective
    are estimated once, when the job arrives.
    """

    spec: JobSpec
    route: Route
    arrived_ms: int
    caller_deadline_ms: int
    tasks: list[list[Task]] = field(default_factory=list)
    has_run: bool = False
    # Whether it was left waiting for room.
    is_delayed: bool = False
    # Whether a task was running when an endpoint crashed.
    is_suspect: bool = False
    # Whether its tasks may run only where no other job has a run.
    is_isolated: bool = False
    task_sizes_ms: tuple[float, ...] = ()
    objective_ms: float = 0.0
    # Indexes of the steps that wait for earlier steps.
    _blocked: set[int] = field(default_factory=set)
    # Tasks that wait for placement, and tasks that have a run at an agent; both are
    # dicts without values, which keep the order.
    _ready: dict = field(default_factory=dict)
    _placed: dict = field(default_factory=dict)
    # For each step, how many of its tasks are not done.
    _unfinished: list[int] = field(default_factory=list)

    @classmethod
    def from_spec(cls, spec, route, arrived_ms, caller_timeout_ms):
        """Return a job with the tasks of its first steps ready."""
        job = cls(spec, route, arrived_ms, arrived_ms + caller_timeout_ms)
        for step_index, step in enumerate(spec.steps):
            names = (spec.task_name(step_index, index) for index in range(step.count))
            job.tasks.append(
                [Task(job, step_index, index, name) for index, name in enumerate(names)]
            )
            job._unfinished.append(step.count)
            job._blocked.add(step_index)
        job.unblock_steps()
        return job

    @property
    def job_id(self):
        """The id that the caller gave the job."""
        return self.spec.job_id

    @property
    def has_started(self):
        """Whether a task has run or may be running."""
        return self.has_run or bool(self._placed)

    @property
    def has_ready_tasks(self):
        """Whether a task waits for placement."""
        return bool(self._ready)

    @property
    def due_ms(self):
        """The time by which the job should be complete."""
        return self.arrived_ms + self.objective_ms

    @property
    def longest_ready_ms(self):
        """The expected size of the longest ready task in ms, 0 without one."""
        steps = {task.step_index for task in self._ready}
        return max((self.task_sizes_ms[step] for step in steps), default=0)

    @property
    def slack_ms(self):
        """How long the job can wait in total and still meet its objective."""
        return self.objective_ms - self.longest_ready_ms

    @property
    def is_done(self):
        """Whether all tasks are done."""
        return not any(self._unfinished)

    @property
    def work_core_ms(self):
        """The estimated work of all tasks in core-milliseconds."""
        return sum(
            step.count * step.estimate_ms * step.room.cpu_millis / 1_000
            for step in self.spec.steps
        )

    def critical_path_ms(self):
        """Return the expected length of the longest chain of dependent steps in ms."""
        ends_ms = []
        for step, size_ms in zip(self.spec.steps, self.task_sizes_ms, strict=True):
            starts_ms = max((ends_ms[earlier] for earlier in step.after), default=0)
            ends_ms.append(starts_ms + size_ms)
        return max(ends_ms)

    def unblock_steps(self):
        """Make the tasks of each blocked step ready whose earlier steps are done."""
        for step_index in sorted(self._blocked):
            after = self.spec.steps[step_index].after
            if not any(self._unfinished[earlier] for earlier in after):
                self._blocked.remove(step_index)
                self._ready.update(dict.fromkeys(self.tasks[step_index]))

    def all_tasks(self):
        """Yield the tasks of all steps."""
        for step_tasks in self.tasks:
            yield from step_tasks

    def ready_tasks(self):
        """Return the tasks that wait for placement."""
        return list(self._ready)

    def placed_tasks(self):
        """Return the tasks that have a run at an agent."""
        return list(self._placed)

    def mark_placed(self, task, agent):
        """Record that a new run of a ready task is ordered at ``agent``.

        ``agent`` is an incarnation.
        """
        task.run_number += 1
        task.agent = agent
        self._ready.pop(task)
        self._placed[task] = None

    def mark_ready(self, task):
        """Record that a placed task's run ended other than done: it waits again."""
        task.agent = b""
        self._placed.pop(task)
        self._ready[task] = None

    def mark_done(self, task):
        """Record that a placed task is done, and unblock steps that waited for it."""
        self._placed.pop(task)
        self._unfinished[task.step_index] -= 1
        if not self._unfinished[task.step_index]:
            self.unblock_steps()
