"""The submissions of one entry incarnation, from the first use of an id to expiry.

The state is in memory and owned by one asyncio task, so the first use of an id and
every resubmission are serialised without a lease or a lock. See
``docs/design/ownership.md``.
"""

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from ..outcomes import NotRun, Outcome, Succeeded
from ..protocol.calls import Job, JobAnswer, JobState
from ..protocol.errors import ErrorCode, Refusal
from ..state.ids import IdCheckResult, SubmissionId
from ..state.sequences import SequenceSet
from ..traces import NULL_SPAN

RETENTION_MS = 600_000
# An unused id becomes invalid at this age.
ID_LIFETIME_MS = 3_600_000
MAX_RETAINED_BYTES = 256 * 1024 * 1024
CHECKPOINT_INTERVAL_MS = 60_000


@dataclass(slots=True, eq=False)
class Submission:
    """A submitted job, its tasks in progress and their outcomes.

    ``outcomes`` are by task index. ``queued`` holds the ``PendingTask`` objects in a
    queue, ``in_flight`` the agent by key of each attempt that was sent. The
    ``on_end`` functions are called once, with the submission, when it ends. Times
    are on the entry's clock.
    """

    id: bytes
    job: Job
    begun_ms: int
    repeatable: bool = False
    outcomes: dict[int, Outcome] = field(default_factory=dict)
    ended_ms: int | None = None
    is_cancelled: bool = False
    # Whether a task has an outcome other than success, so the answer can't complete.
    has_failed: bool = False
    is_fetched: bool = False
    queued: set = field(default_factory=set)
    in_flight: dict = field(default_factory=dict)
    span: object = NULL_SPAN
    on_end: list[Callable] = field(default_factory=list)

    @property
    def has_ended(self):
        """Whether every task has a final outcome."""
        return self.ended_ms is not None

    @property
    def state(self):
        """The ``JobState`` of the submission."""
        if not self.has_ended:
            return JobState.RUNNING
        return JobState.FAILED if self.has_failed else JobState.COMPLETE

    def answer(self):
        """Return the ``JobAnswer`` at present, without outcomes until the end."""
        if not self.has_ended:
            return JobAnswer(self.id, JobState.RUNNING, {})
        outcomes = dict(sorted(self.outcomes.items()))
        refusals = [o for o in outcomes.values() if isinstance(o, NotRun)]
        return JobAnswer(
            submission=self.id,
            state=self.state,
            outcomes=outcomes,
            not_run=len(refusals) == len(outcomes),
            retry_after_ms=max((o.retry_after_ms for o in refusals), default=0),
        )

    def size_bytes(self):
        """Return the total size of the answers of its tasks in bytes."""
        return sum(
            len(o.body) for o in self.outcomes.values() if isinstance(o, Succeeded)
        )


class SubmissionRegistry:
    """The submissions that one incarnation owns, and the state of its ids.

    Raw ids are ``bytes``. Ended submissions are kept for ``retention_ms``, less long
    while their answers exceed ``max_retained_bytes``.
    """

    def __init__(
        self,
        issuer,
        clock,
        *,
        retention_ms=RETENTION_MS,
        id_lifetime_ms=ID_LIFETIME_MS,
        max_retained_bytes=MAX_RETAINED_BYTES,
    ):
        self._issuer = issuer
        self._clock = clock
        self._retention_ms = retention_ms
        self._id_lifetime_ms = id_lifetime_ms
        self._max_retained_bytes = max_retained_bytes
        self._by_id = {}
        self._used_sequences = SequenceSet()
        # Ids whose first submission was refused as not run: they stay unusable.
        self._refused_sequences = SequenceSet()
        # (submission, size of its answers in bytes), in the order of their ends.
        self._ended = deque()
        self._retained_bytes = 0
        # (time in ms, sequence of the first id issued then), oldest first.
        self._checkpoints = deque()
        self._running = 0

    @property
    def running_count(self):
        """The number of submissions that have not ended."""
        return self._running

    @property
    def unfetched_count(self):
        """The number of retained submissions whose final answer was never fetched."""
        return sum(not submission.is_fetched for submission, _ in self._ended)

    def issue_ids(self, count):
        """Return ``count`` new raw ids."""
        now_ms = self._clock.now_ms()
        ids = self._issuer.issue(count)
        if (
            not self._checkpoints
            or now_ms - self._checkpoints[-1][0] >= CHECKPOINT_INTERVAL_MS
        ):
            self._checkpoints.append((now_ms, ids[0].sequence))
        return [submission_id.to_bytes() for submission_id in ids]

    def find(self, raw_id):
        """Return the ``Submission`` of the id, or a ``Refusal`` saying why not."""
        submission = self._by_id.get(raw_id)
        if submission is not None:
            return submission
        parsed = SubmissionId.from_bytes(raw_id)
        if self._issuer.check(parsed) is not IdCheckResult.VALID:
            return Refusal(ErrorCode.ID_UNKNOWN, "this id was never issued")
        if parsed.sequence in self._refused_sequences:
            return _id_refused()
        if parsed.sequence in self._used_sequences:
            return _answer_expired()
        return Refusal(ErrorCode.NOT_FOUND, "nothing was submitted under this id")

    def get_or_create(self, raw_id, job, repeatable=False):
        """Return (submission, whether it was created), or a ``Refusal``.

        The first call with an id creates the submission. Later calls with the same
        content return it; calls with other content are refused.
        """
        found = self.find(raw_id)
        match found:
            case Submission() if found.job.digest == job.digest:
                return found, False
            case Submission():
                return Refusal(
                    ErrorCode.ID_CONFLICT, "this id was used with another body"
                )
            case Refusal(code=ErrorCode.NOT_FOUND):
                return self._add(raw_id, job, repeatable), True
        return found

    def mark_refused(self, raw_id):
        """Make an id unusable because its submission is refused as not run.

        The refusal proves that nothing runs, so a later submission of the id must
        not run either.
        """
        sequence = SubmissionId.from_bytes(raw_id).sequence
        self._used_sequences.add(sequence)
        self._refused_sequences.add(sequence)

    def record_outcome(self, submission, index, outcome):
        """Record the final outcome of a task; return whether it is the first.

        Later outcomes of the same task are ignored.
        """
        if index in submission.outcomes:
            return False
        submission.outcomes[index] = outcome
        if not isinstance(outcome, Succeeded):
            submission.has_failed = True
        if len(submission.outcomes) == len(submission.job.tasks):
            self._end(submission)
        return True

    def evict(self, submission):
        """Remove an ended submission at once; its id stays used."""
        self._by_id.pop(submission.id, None)

    def expire(self):
        """Drop answers past their retention and invalidate ids past their lifetime."""
        now_ms = self._clock.now_ms()
        while self._ended and self._is_expired(self._ended[0][0], now_ms):
            submission, size_bytes = self._ended.popleft()
            self._retained_bytes -= size_bytes
            self._by_id.pop(submission.id, None)
        lifetime_cutoff_ms = now_ms - self._id_lifetime_ms
        while (
            len(self._checkpoints) > 1 and self._checkpoints[1][0] <= lifetime_cutoff_ms
        ):
            self._checkpoints.popleft()
            self._used_sequences.raise_low_water(self._checkpoints[0][1])
            self._refused_sequences.discard_below(self._checkpoints[0][1])

    def _is_expired(self, submission, now_ms):
        if self._retained_bytes > self._max_retained_bytes:
            return True
        return now_ms - submission.ended_ms >= self._retention_ms

    def _add(self, raw_id, job, repeatable):
        submission = Submission(raw_id, job, self._clock.now_ms(), repeatable)
        self._by_id[raw_id] = submission
        self._used_sequences.add(SubmissionId.from_bytes(raw_id).sequence)
        self._running += 1
        return submission

    def _end(self, submission):
        submission.ended_ms = self._clock.now_ms()
        size_bytes = submission.size_bytes()
        # The bodies of the tasks aren't needed after the end.
        submission.job = replace(submission.job, tasks=())
        self._ended.append((submission, size_bytes))
        self._retained_bytes += size_bytes
        self._running -= 1
        callbacks, submission.on_end = submission.on_end, []
        for callback in callbacks:
            callback(submission)


def _id_refused():
    return Refusal(
        ErrorCode.ID_REFUSED,
        "this id was refused and nothing of it ran; open a new one",
        not_run=True,
    )


def _answer_expired():
    return Refusal(
        ErrorCode.ANSWER_EXPIRED, "the answer is no longer kept; not started again"
    )
