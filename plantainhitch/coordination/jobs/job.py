"""The state of one job at its owner: which tasks may start, run or have ended."""

from dataclasses import dataclass, field

from ...state.jobs import JobSpec, RunKey, StepSpec
from ...state.routes import Route


@dataclass(slots=True, eq=False)
class Task:
    """One task; ``run`` is the number of its newest run."""

    job: "Job"
    step: int
    index: int
    name: str
    run: int = 0
    failures: int = 0
    agent: bytes = b""
    checkpoint: str = ""
    # Agents where a run failed or came to nothing, the newest last.
    avoided: tuple[bytes, ...] = ()

    @property
    def key(self):
        """The key of the newest run."""
        return RunKey(self.name, self.run)

    @property
    def spec(self) -> StepSpec:
        """The step that the task belongs to."""
        return self.job.spec.steps[self.step]


@dataclass(slots=True, eq=False)
class Job:
    """A job; times are on this process's clock.

    ``leaves_ms`` is the time at which the caller gives up. ``step_ms`` are the
    expected sizes of a task of each step, ``objective_ms`` is within what time the
    job should end, both as expected when it came.
    """

    spec: JobSpec
    route: Route
    arrived_ms: int
    leaves_ms: int
    tasks: list[list[Task]] = field(default_factory=list)
    has_run: bool = False
    step_ms: tuple[float, ...] = ()
    objective_ms: float = 0.0
    # Steps that wait for earlier ones; tasks that wait for a place, or have a run.
    _blocked: set[int] = field(default_factory=set)
    _ready: dict = field(default_factory=dict)
    _placed: dict = field(default_factory=dict)
    _left: list[int] = field(default_factory=list)

    @classmethod
    def from_spec(cls, spec, route, arrived_ms, patience_ms):
        """Return a job with the tasks of its first steps ready."""
        job = cls(spec, route, arrived_ms, arrived_ms + patience_ms)
        for number, step in enumerate(spec.steps):
            names = (spec.task_name(number, index) for index in range(step.count))
            job.tasks.append(
                [Task(job, number, index, name) for index, name in enumerate(names)]
            )
            job._left.append(step.count)
            job._blocked.add(number)
        job.unblock()
        return job

    @property
    def job_id(self):
        """The caller's id."""
        return self.spec.job_id

    @property
    def has_started(self):
        """Whether a task has run, or may be running."""
        return self.has_run or bool(self._placed)

    @property
    def is_waiting(self):
        """Whether a task waits for a place."""
        return bool(self._ready)

    @property
    def due_ms(self):
        """When the job should end."""
        return self.arrived_ms + self.objective_ms

    @property
    def longest_ms(self):
        """The expected size of the longest task that waits, in ms."""
        steps = {task.step for task in self._ready}
        return max((self.step_ms[step] for step in steps), default=0)

    @property
    def slack_ms(self):
        """How long the job can wait in all and still end in time."""
        return self.objective_ms - self.longest_ms

    @property
    def is_done(self):
        """Whether all tasks have ended as done."""
        return not any(self._left)

    @property
    def work_ms(self):
        """The estimated work of all tasks, in core-milliseconds."""
        return sum(
            step.count * step.estimate_ms * step.room.cpu_millis / 1_000
            for step in self.spec.steps
        )

    def chain_ms(self):
        """Return the expected work of the longest chain of steps."""
        ends = []
        for step, size_ms in zip(self.spec.steps, self.step_ms, strict=True):
            begins_ms = max((ends[earlier] for earlier in step.after), default=0)
            ends.append(begins_ms + size_ms)
        return max(ends)

    def unblock(self):
        """Make the tasks ready whose earlier steps are done."""
        for number in sorted(self._blocked):
            after = self.spec.steps[number].after
            if not any(self._left[earlier] for earlier in after):
                self._blocked.remove(number)
                self._ready.update(dict.fromkeys(self.tasks[number]))

    def ready_tasks(self):
        """Return the tasks that wait for a place."""
        return list(self._ready)

    def placed_tasks(self):
        """Return the tasks that have a run at an agent."""
        return list(self._placed)

    def place(self, task, agent):
        """Note that a new run of a task is ordered at an agent, by incarnation."""
        task.run += 1
        task.agent = agent
        self._ready.pop(task)
        self._placed[task] = None

    def put_back(self, task):
        """Note that a task's run came to nothing, so that it waits for a place."""
        task.agent = b""
        self._placed.pop(task)
        self._ready[task] = None

    def finish(self, task):
        """Note that a task has ended as done."""
        self._placed.pop(task)
        self._left[task.step] -= 1
        if not self._left[task.step]:
            self.unblock()
