"""The lengths of the leases under which runs go on, and how they depend on each other.

A caller whose connection broke submits its job again at another entry, which may start
the tasks at once. By then no run of the first entry may be left, whichever processes
have died, were suspended or cut off meanwhile. So the lease that an agent grants to its
endpoint ends no later than its owners' last contact allows.
"""

from dataclasses import dataclass

from ... import logs

# The factor by which the endpoint's steady clock may be slower than the agent's.
CLOCK_DRIFT_FACTOR = 1.02
# Added to the endpoint's bound for stopping a run: for the drift of its clock since its
# last answer, and for lateness.
LAPSE_ALLOWANCE_MS = 30
# Runs have ended this much sooner than callers submit again.
RESUBMIT_MARGIN_MS = 50
# The longest lease of an owner: three heartbeats and a retransmission.
MAX_OWNER_LEASE_MS = 800
# The time after an owner's lease in which its runs are stopped, by a second order if
# the first is lost. If that fails as well, the endpoint's lease expires in this time.
STOP_ALLOWANCE_MS = 450
# The last contact of an owner whose runs don't shorten the endpoint's lease: an owner
# answers within two heartbeats of the agent.
USUAL_CONTACT_AGE_MS = 400
# Shorter leases would expire between two heartbeats. The time of a stop is added.
MIN_RUN_END_MS = 750

log = logs.get_logger("leases")


@dataclass(frozen=True, slots=True)
class LeaseTimes:
    """Times in milliseconds.

    An agent stops the runs of an owner that it has not heard from for ``owner_ms``. The
    runs have ended ``run_end_ms`` after the last contact, even if the agent has not
    stopped them. A renewal of an endpoint's lease is for ``endpoint_ms`` at most;
    endpoints grant ``max_endpoint_ms`` at most. Its runs have ended ``lapse_ms`` after
    it has expired.
    """

    owner_ms: int
    run_end_ms: int
    endpoint_ms: int
    max_endpoint_ms: int
    lapse_ms: int

    @classmethod
    def from_bounds(cls, bounds):
        """Return the times for a deployment's ``Bounds``."""
        return cls.from_limits(bounds.lease_ms, bounds.resubmit_ms, bounds.stop_ms)

    @classmethod
    def from_limits(cls, max_endpoint_ms, resubmit_ms, stop_ms):
        """Return the times for callers that submit again after ``resubmit_ms``.

        Endpoints stop a run within ``stop_ms``. If callers submit again too soon for
        any lease, runs may go on beside the next ones.
        """
        run_end_ms = min(
            resubmit_ms - RESUBMIT_MARGIN_MS, MAX_OWNER_LEASE_MS + STOP_ALLOWANCE_MS
        )
        if run_end_ms < MIN_RUN_END_MS + stop_ms:
            log.warning("callers submit again too soon", resubmit_ms=resubmit_ms)
            run_end_ms = MIN_RUN_END_MS + stop_ms
        lapse_ms = stop_ms + LAPSE_ALLOWANCE_MS
        usual_ms = run_end_ms - USUAL_CONTACT_AGE_MS - lapse_ms
        return cls(
            owner_ms=run_end_ms - STOP_ALLOWANCE_MS,
            run_end_ms=run_end_ms,
            endpoint_ms=min(max_endpoint_ms, int(usual_ms / CLOCK_DRIFT_FACTOR)),
            max_endpoint_ms=max_endpoint_ms,
            lapse_ms=lapse_ms,
        )

    def longest_lease_ms(self, remaining_ms):
        """Return the longest lease under which runs have ended after ``remaining_ms``.

        It is a number of ms, 0 or negative if there is none.
        """
        return (remaining_ms - self.lapse_ms) / CLOCK_DRIFT_FACTOR

    def longest_run_ms(self, lease_ms):
        """Return how long a run can go on under a lease of ``lease_ms``."""
        return lease_ms * CLOCK_DRIFT_FACTOR + self.lapse_ms
