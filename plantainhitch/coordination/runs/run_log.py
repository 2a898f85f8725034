"""The log of an agent's decisions on runs, each with what they were based on."""

import math

from ... import logs
from .run import may_be_at_endpoint

# The most tasks that a line names.
MAX_LOGGED_TASKS = 100

log = logs.get_logger("runs")


class RunLog:
    """Writes the events of runs at an endpoint.

    ``owners`` are the ``Owners`` of the runs, ``lease`` is the ``EndpointLease`` and
    ``lease_times`` are the ``LeaseTimes``.
    """

    def __init__(self, clock, owners, lease, lease_times):
        self._clock = clock
        self._owners = owners
        self._lease = lease
        self._lease_times = lease_times
        self._events = logs.EventLog(log, clock)

    def flush_if_due(self):
        """Write events that wait in batches, see ``EventLog``."""
        self._events.flush_if_due()

    def endpoint_crashed(self, crash, reason):
        """Write that the endpoint has probably crashed, an ``EndpointCrash``."""
        self._events.warn(
            "endpoint crashed",
            endpoint=crash.endpoint_id,
            born_ms=crash.born_ms,
            why=reason,
            runs=len(crash.runs),
            tasks=[run.task for run in crash.runs[:MAX_LOGGED_TASKS]],
        )

    def connection_refused(self, runs):
        """Write that the endpoint refuses connections, and which runs may be there."""
        tasks = [run.start.key.task for run in runs if may_be_at_endpoint(run)]
        self._events.write_unusual(
            "endpoint refuses connections",
            tasks=tasks[:MAX_LOGGED_TASKS],
            **self._lease_fields(),
        )

    def endpoint_answers_again(self, runs):
        """Write that the endpoint has answered after it had refused connections."""
        self._events.warn("endpoint answers again", runs=len(runs))

    def inventory_ignored(self, inventory):
        """Write that an ``Inventory`` is that of another lifetime."""
        self._events.write(
            "inventory of another lifetime ignored", born_ms=inventory.born_ms
        )

    def ordered_by_other_owner(self, run, incarnation, is_stale):
        """Write that another entry has ordered a run that is here already."""
        self._events.write_unusual(
            "run ordered by another entry",
            **self._owner_fields(run),
            new_owner=incarnation.hex(),
            is_stale=is_stale,
        )

    def start_not_answered(self, run):
        """Write that the endpoint may or may not have begun a run."""
        self._events.warn(
            "start not answered", **self._owner_fields(run), **self._lease_fields()
        )

    def being_stopped(self, run, reason):
        """Write that the stop of a run at the endpoint is ordered."""
        self._events.write_unusual(
            "run being stopped",
            **self._owner_fields(run),
            why=reason,
            **self._lease_fields(),
        )

    def unknown_run_ended(self, ended):
        """Write that the endpoint lists the end of a run that isn't known here."""
        self._events.write_unusual(
            "end of an unknown run",
            task=ended.key.task,
            run=ended.key.run,
            end=ended.end.name,
        )

    def ended(self, run, run_end, free_millis):
        """Write the ``RunEnd`` of a run; ``free_millis`` is the processor left free."""
        is_ordinary = not may_be_at_endpoint(run)
        write = self._events.write if is_ordinary else self._events.write_unusual
        write(
            "run ended",
            **self._owner_fields(run),
            **self._lease_fields(),
            end=run_end.end.name,
            why=run_end.reason,
            percent=run.percent,
            run_ms=run_end.run_ms,
            free_millis=free_millis,
        )

    def at_work_after_end(self, run_end, late_ms):
        """Warn of a run that the endpoint lists as running after its ``RunEnd``."""
        self._events.warn(
            "run at work after its end",
            task=run_end.key.task,
            run=run_end.key.run,
            end=run_end.end.name,
            why=run_end.reason,
            late_ms=late_ms,
        )

    def check_lease(self, inventory, runs):
        """Warn of the runs that an ``Inventory`` lists although its lease has ended.

        ``runs`` are all runs by key.
        """
        if not self._is_past_lease(inventory):
            return
        for listed in inventory.running:
            run = runs.get(listed.key)
            if run is not None:
                self._events.warn(
                    "run listed after its lease",
                    **self._owner_fields(run),
                    late_ms=inventory.clock_ms - self._lease.expiry_clock_ms,
                    **self._lease_fields(),
                )

    def _is_past_lease(self, inventory):
        """Return whether the endpoint's clock is past its lease in an inventory."""
        expiry_clock_ms = self._lease.expiry_clock_ms
        return (
            expiry_clock_ms is not None
            and inventory.clock_ms > expiry_clock_ms + self._lease_times.lapse_ms
            and self._clock.now_ms() > self._lease.end_ms
        )

    def _owner_fields(self, run):
        """Return the fields of a run, its owner and the owner's last contact."""
        contact_ms = self._owners.last_contact_ms(run.owner)
        is_known = contact_ms > -math.inf
        return {
            "task": run.start.key.task,
            "run": run.start.key.run,
            "owner": run.owner.hex(),
            "owner_heard_ms_ago": (
                self._clock.now_ms() - contact_ms if is_known else None
            ),
        }

    def _lease_fields(self):
        """Return the fields of the endpoint's lease, relative to now."""
        now_ms, renewed_ms = self._clock.now_ms(), self._lease.renewed_ms
        is_known = self._lease.end_ms > -math.inf
        return {
            "renewed_ms_ago": None if renewed_ms is None else now_ms - renewed_ms,
            "lease_ends_in_ms": (
                round(self._lease.end_ms - now_ms) if is_known else None
            ),
        }
