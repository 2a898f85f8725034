"""The client of the endpoint on an agent's machine, and the decoder of heartbeats."""

from typing import Annotated

import msgspec

from ..json_input import decode_json
from ..state.endpoints import (
    Accepted,
    ActiveRun,
    End,
    EndedRun,
    EndpointReport,
    Inventory,
    NoAnswer,
    Rejected,
    Rejection,
    is_endpoint_id,
)
from ..state.jobs import Room, RunKey
from ..transport.addresses import Address
from ..transport.http_client import (
    Handshake,
    HandshakeFailed,
    HttpClient,
    HttpResponse,
    NotSent,
    Withdrawn,
)

# An endpoint on the same machine answers an order within a few ms. An answer after this
# time is treated as lost, and the run is stopped before it is placed anywhere else.
ORDER_TIMEOUT_MS = 120
# Added to the time for which an inventory waits for an end. An answer after that is
# treated as lost; the next inventory lists the same ends.
INVENTORY_MARGIN_MS = 80
# The maximum number of parallel orders. Each connection to an endpoint has a cost for
# its operator.
MAX_CONNECTIONS = 4
IDLE_LIMIT_MS = 600_000
# A connection within one machine is established in well under a millisecond.
CONNECT_TIMEOUT_S = 0.3
# An endpoint lists at most so many ends at a time.
MAX_LISTED_ENDS = 500
_HEARTBEAT_STATES = {"ready": False, "draining": True}
_ENDS = {
    "done": End.DONE,
    "failed": End.FAILED,
    "stopped": End.STOPPED,
    "lapsed": End.LAPSED,
    "broken": End.BROKEN,
    "alone": End.ALONE,
}
_REASONS = {
    reason.value: reason
    for reason in (
        Rejection.FENCE,
        Rejection.STALE_RUN,
        Rejection.LEASE_EXPIRED,
        Rejection.NO_ROOM,
    )
}


_Amount = Annotated[int, msgspec.Meta(ge=0, le=2**31 - 1)]
_Number = Annotated[float, msgspec.Meta(ge=0, le=2**53)]
_SignedNumber = Annotated[float, msgspec.Meta(ge=-(2**53), le=2**53)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
_UnixMs = Annotated[int, msgspec.Meta(gt=0, le=2**53)]


class _CapacityModel(msgspec.Struct):
    cpu: _Amount
    mem_mb: _Amount
    gpu: _Amount = 0


class _HeartbeatModel(msgspec.Struct):
    # A heartbeat in which a field is missing or odd is that of another writer, so the
    # fields that are not used here are checked as well.
    service: str  # the pool
    addr: str
    zone: str
    version: str
    slots: _Amount
    state: str
    seq: _Amount
    capacity: _CapacityModel
    born: _UnixMs  # start of the lifetime
    labels: list[str]
    # Negative or null once the endpoint is warm.
    cold_left_ms: _SignedNumber | None
    remaining_ms: _Number | None = None
    clock_ms: _Number = 0


class _RunningModel(msgspec.Struct, array_like=True):
    task: str
    run: _Amount
    checkpoint: str
    percent: _Number


class _FinishedModel(msgspec.Struct, array_like=True):
    number: _Count
    task: str
    run: _Amount
    how: str
    checkpoint: str


class _InventoryModel(msgspec.Struct):
    clock_ms: _Number
    running: list[_RunningModel]
    finished: list[_FinishedModel]
    born: _UnixMs


class _AnswerModel(msgspec.Struct):
    clock_ms: _Number = 0
    reason: str = ""


def decode_heartbeat(endpoint_id, body):
    """Return the ``EndpointReport`` in the body of a heartbeat.

    Raises ValueError if the body or the id is not that of a sound endpoint.
    """
    if not is_endpoint_id(endpoint_id):
        raise ValueError(f"not an endpoint id: {endpoint_id[:200]!r}")
    model = decode_json(body, _HeartbeatModel)
    if model.state not in _HEARTBEAT_STATES:
        raise ValueError(f"unknown state: {model.state!r}")
    if model.addr:
        Address.from_text(model.addr)  # some endpoints leave it empty
    capacity = model.capacity
    labels = tuple(model.labels)
    return EndpointReport(
        endpoint_id=endpoint_id,
        born_ms=model.born,
        sequence=model.seq,
        pool=model.service,
        draining=_HEARTBEAT_STATES[model.state],
        capacity=Room(capacity.cpu, capacity.mem_mb, capacity.gpu),
        # The first label is the kind of machine, the second its rack.
        kind=labels[0] if labels else "",
        rack=labels[1] if len(labels) > 1 else "",
        labels=labels,
        remaining_ms=None if model.remaining_ms is None else int(model.remaining_ms),
        clock_ms=int(model.clock_ms),
        cold_for_ms=_to_uint32(model.cold_left_ms or 0),
    )


def _to_uint32(number):
    """Return a number of ms as an integer in the range of the wire's fields."""
    return int(min(max(number, 0), 2**32 - 1))


class EndpointClient:
    """Sends orders to one lifetime of one endpoint.

    ``lifetime`` is the pair of the endpoint's id and the time of its birth. Orders
    return an ``OrderResult``: ``Accepted``, ``Rejected`` or ``NoAnswer``.

    Calls name the id only, so the next lifetime under the same id would carry them out
    as well. A connection ends with the process that accepted it. So calls are sent on
    connections on which the endpoint has given its birth, and the first call on each
    changes nothing at any lifetime.
    """

    def __init__(self, address, clock, lifetime):
        endpoint_id, self._born_ms = lifetime
        self._http = HttpClient(
            address,
            clock,
            max_connections=MAX_CONNECTIONS,
            idle_timeout_ms=IDLE_LIMIT_MS,
            connect_timeout_s=CONNECT_TIMEOUT_S,
        )
        self._headers = (
            (b"Content-Type", b"application/json"),
            (b"X-Target-Instance", endpoint_id.encode()),
        )

    async def start(
        self,
        key,
        payload,
        lease_expiry_ms,
        fence,
        checkpoint="",
        may_send=lambda: True,
    ):
        """Order the start of a run; ``lease_expiry_ms`` is on the endpoint's clock.

        It is ``WITHDRAWN`` if ``may_send()`` is False once a connection is there.
        """
        body = {
            "task": key.task,
            "run": key.run,
            "spec": payload,
            "deadline_ms": lease_expiry_ms,
            "fence": fence,
        }
        if checkpoint:
            body["checkpoint"] = checkpoint
        return await self._order(b"/run-start", body, may_send)

    async def stop(self, key, fence):
        """Order the stop of a run; the endpoint refuses a start of it from then on."""
        body = {"task": key.task, "run": key.run, "fence": fence}
        return await self._order(b"/run-stop", body)

    async def inventory(self, fence, last_end_number, lease_expiry_ms, wait_ms):
        """Renew the lease of all runs and return an Inventory, Rejected or NoAnswer.

        The endpoint discards ends up to ``last_end_number``. The lease is not renewed
        if ``lease_expiry_ms``, on the endpoint's clock, is None. The endpoint answers
        at the next end of a run, after ``wait_ms`` at the latest.
        """
        body = {"fence": fence, "last_seen": last_end_number, "wait_ms": wait_ms}
        if lease_expiry_ms is not None:
            body["deadline_ms"] = lease_expiry_ms
        answer = await self._post(b"/hold", body, wait_ms + INVENTORY_MARGIN_MS)
        return _to_inventory_result(answer)

    def close(self):
        """Close the connections."""
        self._http.close()

    async def _order(self, path, body, may_send=lambda: True):
        return _to_order_result(
            await self._post(path, body, ORDER_TIMEOUT_MS, may_send)
        )

    async def _post(self, path, body, timeout_ms, may_send=lambda: True):
        data = msgspec.json.encode(body)
        return await self._http.request(
            b"POST",
            path,
            data,
            self._headers,
            timeout_ms=timeout_ms,
            handshake=self._handshake(body["fence"]),
            is_wanted=may_send,
        )

    def _handshake(self, fence):
        """Return the ``Handshake``: an inventory that discards no end."""
        body = {"fence": fence, "last_seen": 0, "wait_ms": 0}
        return Handshake(
            b"POST",
            b"/hold",
            msgspec.json.encode(body),
            self._headers,
            INVENTORY_MARGIN_MS,
            self._is_of_lifetime,
        )

    def _is_of_lifetime(self, response):
        result = _to_inventory_result(response)
        return isinstance(result, Inventory) and result.born_ms == self._born_ms


def _to_inventory_result(answer):
    if not isinstance(answer, HttpResponse) or answer.status != 200:
        return _to_order_result(answer)
    try:
        return _to_inventory(decode_json(answer.body, _InventoryModel))
    except ValueError as error:
        return NoAnswer(f"unreadable inventory: {error}")


def _to_unsent_result(handshake_result):
    """Return the result of a call that was not sent for a failed handshake.

    The clock in the answer may be that of another lifetime, so it isn't passed on.
    """
    match _to_inventory_result(handshake_result):
        case Inventory(born_ms=born_ms):
            return Rejected(Rejection.OTHER_LIFETIME, born_ms=born_ms)
        case Rejected(reason):
            return Rejected(reason)
    return Rejected(Rejection.UNREACHABLE)


def _to_order_result(answer):
    if isinstance(answer, HandshakeFailed):
        return _to_unsent_result(answer.result)
    if isinstance(answer, Withdrawn):
        return Rejected(Rejection.WITHDRAWN)
    if isinstance(answer, NotSent):
        is_refused = answer.refused
        return Rejected(
            Rejection.NOT_LISTENING if is_refused else Rejection.UNREACHABLE
        )
    if not isinstance(answer, HttpResponse):
        return NoAnswer(repr(answer))
    clock_ms, reason = _decode_answer(answer.body)
    match answer.status:
        case 200:
            return Accepted(clock_ms)
        case 409:
            return Rejected(_REASONS.get(reason, Rejection.BAD_REQUEST), clock_ms)
        case 421:
            return Rejected(Rejection.OTHER_LIFETIME, clock_ms)
        case 429 | 503:
            return Rejected(Rejection.UNHEALTHY, clock_ms)
        case 400:
            return Rejected(Rejection.BAD_REQUEST, clock_ms)
    return NoAnswer(f"HTTP status {answer.status}")


def _decode_answer(body):
    try:
        model = decode_json(body, _AnswerModel)
    except ValueError:
        # The body of a refusal by an unhealthy endpoint has no defined format.
        return 0, ""
    return int(model.clock_ms), model.reason


def _to_inventory(model):
    return Inventory(
        clock_ms=int(model.clock_ms),
        born_ms=model.born,
        running=tuple(
            ActiveRun(RunKey(row.task, row.run), row.checkpoint, row.percent)
            for row in model.running
        ),
        ended=tuple(
            EndedRun(
                row.number, RunKey(row.task, row.run), _to_end(row.how), row.checkpoint
            )
            for row in model.finished
        ),
        has_more_ends=len(model.finished) >= MAX_LISTED_ENDS,
    )


def _to_end(how):
    if how not in _ENDS:
        raise ValueError(f"unknown end of a run: {how!r}")
    return _ENDS[how]
