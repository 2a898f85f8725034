"""What an agent tells the owners of runs: the endpoint's status, ends and free room."""

from ...protocol import messages as m

NO_ENDPOINT = m.EndpointStatus("", 0, "", ready=False)


class OwnerReports:
    """Builds the messages of an agent to the ``Owners`` of its runs.

    ``lifetime`` is the ``EndpointLifetime``, ``performance`` the
    ``EndpointPerformance``.
    """

    def __init__(self, lifetime, owners, performance):
        self._lifetime = lifetime
        self._owners = owners
        self._performance = performance
        # The last status, and the report and the readiness that it was built from.
        self._status = self._status_inputs = None

    def status(self, is_ready):
        """Return the present ``EndpointStatus``, the same object while nothing changes.

        ``is_ready`` is whether starts are accepted.
        """
        endpoint = self._lifetime.report
        if endpoint is None:
            return NO_ENDPOINT
        inputs = endpoint, is_ready
        if inputs != self._status_inputs:
            self._status_inputs = inputs
            self._status = m.EndpointStatus(
                endpoint_id=endpoint.endpoint_id,
                born_ms=endpoint.born_ms,
                pool=endpoint.pool,
                ready=is_ready,
                draining=endpoint.draining,
                capacity=endpoint.capacity,
                kind=endpoint.kind,
                rack=endpoint.rack,
                labels=endpoint.labels,
                cold_for_ms=endpoint.cold_for_ms,
            )
        return self._status

    def next_report(self, incarnation, forecast):
        """Return the next ``RunReports`` for an owner, with a ``Forecast``.

        The ends in the report are kept until the owner acknowledges it.
        """
        owner = self._owners.get_or_create(incarnation)
        number, ends = self._owners.take_unsent_ends(owner)
        crashes = self._owners.take_unsent_crashes(owner)
        return m.RunReports(
            number,
            owner.orders_seen,
            ends,
            forecast.free,
            forecast.expected_free_millis,
            forecast.waiting_by_rank,
            forecast.pace,
            crashes,
            self._performance.slowness,
            round(self._performance.sample_count),
            self._performance.consecutive_failures,
        )
