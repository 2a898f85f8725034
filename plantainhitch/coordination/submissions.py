"""Submissions of one entry incarnation: first use, resubmission, answer, expiry.

All of it is in the memory of one task, so the first use of an id and each
resubmission are serialised without a lease or a lock. See
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
from ..traces import UNTRACED

RETENTION_MS = 600_000
# An id that was opened this long ago and never used can't be used any more.
ID_LIFETIME_MS = 3_600_000
MAX_RETAINED_BYTES = 256 * 1024 * 1024
CHECKPOINT_MS = 60_000


@dataclass(slots=True, eq=False)
class Submission:
    """One submission and what is known of its tasks.

    ``on_end`` functions are called once, with the submission, when it ends.
    """

    id: bytes
    job: Job
    begun_ms: int
    repeatable: bool = False
    outcomes: dict[int, Outcome] = field(default_factory=dict)
    ended_ms: int | None = None
    is_cancelled: bool = False
    # Whether some outcome rules out a complete answer.
    has_failed: bool = False
    is_fetched: bool = False
    # Tasks of this submission that wait in a queue.
    queued: set = field(default_factory=set)
    # Attempts that have been sent, with the agent of each.
    in_flight: dict = field(default_factory=dict)
    span: object = UNTRACED
    on_end: list[Callable] = field(default_factory=list)

    @property
    def has_ended(self):
        """Whether every task has its outcome."""
        return self.ended_ms is not None

    @property
    def state(self):
        """Where the submission stands."""
        if not self.has_ended:
            return JobState.RUNNING
        return JobState.FAILED if self.has_failed else JobState.COMPLETE

    def answer(self):
        """Return the answer as it stands; outcomes only once it has ended."""
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
        """Return the bytes of its answers."""
        return sum(
            len(o.body) for o in self.outcomes.values() if isinstance(o, Succeeded)
        )


class SubmissionRegistry:
    """The submissions that one incarnation owns."""

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
        self._used = SequenceSet()
        # Ids whose first submission was refused as not run: closed for good.
        self._refused = SequenceSet()
        # Ended submissions, oldest first, with the bytes that each one keeps.
        self._ended = deque()
        self._retained_bytes = 0
        self._checkpoints = deque()
        self._running = 0

    @property
    def running_count(self):
        """How many submissions have not ended."""
        return self._running

    @property
    def unfetched_count(self):
        """How many ended submissions nobody has seen the answer of."""
        return sum(not submission.is_fetched for submission, _ in self._ended)

    def issue_ids(self, count):
        """Return ``count`` new ids, as bytes."""
        now_ms = self._clock.now_ms()
        ids = self._issuer.issue(count)
        if not self._checkpoints or now_ms - self._checkpoints[-1][0] >= CHECKPOINT_MS:
            self._checkpoints.append((now_ms, ids[0].sequence))
        return [submission_id.to_bytes() for submission_id in ids]

    def find(self, raw_id):
        """Return the ``Submission`` of the id, or a ``Refusal``."""
        submission = self._by_id.get(raw_id)
        if submission is not None:
            return submission
        parsed = SubmissionId.from_bytes(raw_id)
        if self._issuer.check(parsed) is not IdCheckResult.VALID:
            return Refusal(ErrorCode.ID_UNKNOWN, "this id was never issued")
        if parsed.sequence in self._refused:
            return _refused_before()
        if parsed.sequence in self._used:
            return _expired()
        return Refusal(ErrorCode.NOT_FOUND, "nothing was submitted under this id")

    def get_or_create(self, raw_id, job, repeatable=False):
        """Return (submission, whether it is new), or a ``Refusal``.

        The first call under an id makes the submission; later ones with the
        same content return it, and ones with other content are refused.
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
        """Close an id whose submission is refused as not run.

        The refusal is a proof, so a later submission of the id must not run.
        """
        sequence = SubmissionId.from_bytes(raw_id).sequence
        self._used.add(sequence)
        self._refused.add(sequence)

    def record_outcome(self, submission, index, outcome):
        """Set a task's outcome; later ones for the same task change nothing."""
        if index in submission.outcomes:
            return False
        submission.outcomes[index] = outcome
        if not isinstance(outcome, Succeeded):
            submission.has_failed = True
        if len(submission.outcomes) == len(submission.job.tasks):
            self._end(submission)
        return True

    def evict(self, submission):
        """Drop an ended submission at once; its id stays used."""
        self._by_id.pop(submission.id, None)

    def expire(self):
        """Drop answers past their retention and ids past their lifetime."""
        now_ms = self._clock.now_ms()
        while self._ended and self._is_past(self._ended[0][0], now_ms):
            submission, size = self._ended.popleft()
            self._retained_bytes -= size
            self._by_id.pop(submission.id, None)
        horizon_ms = now_ms - self._id_lifetime_ms
        while len(self._checkpoints) > 1 and self._checkpoints[1][0] <= horizon_ms:
            self._checkpoints.popleft()
            self._used.raise_low_water(self._checkpoints[0][1])
            self._refused.discard_below(self._checkpoints[0][1])

    def _is_past(self, submission, now_ms):
        if self._retained_bytes > self._max_retained_bytes:
            return True
        return now_ms - submission.ended_ms >= self._retention_ms

    def _add(self, raw_id, job, repeatable):
        submission = Submission(raw_id, job, self._clock.now_ms(), repeatable)
        self._by_id[raw_id] = submission
        self._used.add(SubmissionId.from_bytes(raw_id).sequence)
        self._running += 1
        return submission

    def _end(self, submission):
        submission.ended_ms = self._clock.now_ms()
        size = submission.size_bytes()
        # The bodies of the tasks aren't needed any more.
        submission.job = replace(submission.job, tasks=())
        self._ended.append((submission, size))
        self._retained_bytes += size
        self._running -= 1
        callbacks, submission.on_end = submission.on_end, []
        for callback in callbacks:
            callback(submission)


def _refused_before():
    return Refusal(
        ErrorCode.ID_REFUSED,
        "this id was refused and nothing of it ran; open a new one",
        not_run=True,
    )


def _expired():
    return Refusal(
        ErrorCode.ANSWER_EXPIRED, "the answer is no longer kept; not started again"
    )
