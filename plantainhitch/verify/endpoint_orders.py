"""Model of one run at an endpoint: what ends it at the agent and for its owner.

The agent's order to start the run can be carried out at any later time. The endpoint
keeps the highest fence that it has seen, and a lease that any accepted order may renew.
The agent can be suspended for longer than all leases, after which the owner places the
task again. The endpoint can end and begin a new lifetime under the same id, another
writer can send a heartbeat of a lifetime that doesn't exist, and the network can refuse
the agent's connections while the endpoint is up.
"""

import enum
from typing import NamedTuple

START_FENCE = 1


class OrderFault(enum.Enum):
    """A protocol error that can be planted in the model."""

    NONE = "none"
    LEASE_MEANS_NOT_BEGUN = "expired lease means that no start is under way"
    REFUSAL_MEANS_NOT_BEGUN = "refused connection means that no start is under way"
    REFUSAL_MEANS_ENDED = "refused connection means that the run has ended"
    HEARTBEAT_MEANS_NEW_LIFETIME = "heartbeat means that a new lifetime has begun"


class RunPhase:
    """State of the run at the agent."""

    ORDERED = 0
    RUNNING = 1
    UNCONFIRMED = 2
    ENDED = 3


class AtWork:
    """State of the run at the endpoint.

    ``EXPOSED`` is a run that a new lifetime began before it had an order that the agent
    sent after it had learnt of the lifetime. Nothing can keep the endpoint from it.
    """

    NO = 0
    YES = 1
    EXPOSED = 2


class OrderState(NamedTuple):
    """One state of the model.

    ``start_under_way`` is 1 until the start is delivered, and ``start_in_time`` while
    its own lease is valid. ``fence`` is the agent's. ``known_lifetime`` is the lifetime
    that the agent takes for the present one, ``stop_known`` whether that has accepted
    the stop, ``is_listed`` whether it has listed the run. ``placed_again`` is 1 once
    the owner may start the task elsewhere. ``is_refused`` is 1 while the network
    refuses connections, ``knows_refusal`` from the agent's first refused connection
    until it gives the endpoint up or has an answer.
    """

    phase: int = RunPhase.ORDERED
    start_under_way: int = 1
    start_in_time: int = 1
    fence: int = START_FENCE
    known_lifetime: int = 1
    stop_known: int = 0
    is_listed: int = 0
    placed_again: int = 0
    knows_refusal: int = 0
    # The endpoint and the network.
    is_up: int = 1
    is_refused: int = 0
    lifetime: int = 1
    seen_fence: int = 0
    # Whether it has had an order from an agent that knew of its lifetime.
    has_order: int = 0
    is_leased: int = 1
    has_stopped: int = 0
    at_work: int = AtWork.NO
    # How often each event may still happen.
    suspensions: int = 1
    restarts: int = 1
    odd_heartbeats: int = 1
    refusals: int = 1


class EndpointOrderModel:
    """The model of one run, optionally with a planted fault."""

    def __init__(self, fault=OrderFault.NONE):
        self._fault = fault

    def initial(self):
        """Return the state in which the start has just been sent."""
        return OrderState()

    def steps(self, state):
        """Yield every ``(label, next state)``."""
        if state.is_up:
            yield from self._start_steps(state)
            if not state.is_refused:
                yield from self._order_steps(state)
        if state.phase == RunPhase.ORDERED:
            yield "the answer of the start is lost", self._unconfirm(state)
        yield from self._refusal_steps(state)
        yield from self._fault_steps(state)

    def violation(self, state):
        """Return which invariant the state breaks, or an empty text."""
        if state.placed_again and state.at_work == AtWork.YES:
            return "the run is at work after its task may have been placed again"
        return ""

    def _start_steps(self, state):
        if not state.start_under_way:
            return
        delivered = state._replace(start_under_way=0)
        # A new lifetime's clock starts anew, so that the start's lease is valid there.
        in_time = state.start_in_time or state.lifetime > 1 or state.is_leased
        if state.seen_fence > START_FENCE or state.has_stopped or not in_time:
            yield "start refused", delivered
            return
        is_exposed = state.lifetime > 1 and not state.has_order
        begun = delivered._replace(
            at_work=AtWork.EXPOSED if is_exposed else AtWork.YES,
            is_leased=1,
            seen_fence=max(state.seen_fence, START_FENCE),
        )
        yield "start carried out, not answered", begun
        if state.phase == RunPhase.ORDERED:
            yield "start answered", begun._replace(phase=RunPhase.RUNNING)

    def _order_steps(self, state):
        """Yield the agent's renewals and stops, whose answers may be lost."""
        if state.fence < state.seen_fence:
            return
        is_known = int(state.known_lifetime == state.lifetime)
        accepted = state._replace(seen_fence=state.fence, has_order=is_known)
        renewed = accepted if state.knows_refusal else accepted._replace(is_leased=1)
        yield "renewal accepted", renewed
        yield "inventory received", self._reconciled(renewed)
        if state.phase != RunPhase.UNCONFIRMED:
            return
        stopped = accepted._replace(has_stopped=1, at_work=AtWork.NO)
        yield "stop accepted", stopped
        if is_known:
            yield "stop answered", stopped._replace(stop_known=1)

    def _reconciled(self, state):
        """Return the state after an inventory; one of another lifetime is ignored."""
        if state.known_lifetime != state.lifetime:
            return state
        state = state._replace(knows_refusal=0)
        if state.at_work != AtWork.NO:
            return state._replace(is_listed=1)
        if state.phase != RunPhase.UNCONFIRMED:
            return state
        if state.stop_known or state.fence > START_FENCE:
            return _ended(state)
        return state

    def _refusal_steps(self, state):
        if state.refusals and state.is_up:
            refused = state._replace(is_refused=1, refusals=state.refusals - 1)
            yield "the network refuses connections", refused
        if state.is_refused:
            yield "the network is whole again", state._replace(is_refused=0)
        if (state.is_refused or not state.is_up) and not state.knows_refusal:
            yield "a connection is refused", self._connection_refused(state)
        if state.knows_refusal:
            yield "the lease ends without an answer", self._lease_ended(state)

    def _connection_refused(self, state):
        if self._fault is OrderFault.REFUSAL_MEANS_ENDED:
            return self._lost(state, OrderFault.REFUSAL_MEANS_NOT_BEGUN)
        return state._replace(knows_refusal=1)

    def _lease_ended(self, state):
        """Return the state after the lease of the lifetime that the agent knows."""
        ended = state._replace(knows_refusal=0, start_in_time=0)
        if state.known_lifetime == state.lifetime:
            ended = ended._replace(at_work=AtWork.NO, is_leased=0)
        return self._lost(ended, OrderFault.REFUSAL_MEANS_NOT_BEGUN)

    def _fault_steps(self, state):
        if state.suspensions and state.is_up:
            yield "the agent is suspended over all leases", self._suspended(state)
        if state.restarts and state.is_up:
            down = state._replace(
                is_up=0, at_work=AtWork.NO, restarts=state.restarts - 1
            )
            yield "the endpoint ends", down
        if not state.is_up:
            yield (
                "the endpoint begins again",
                state._replace(
                    is_up=1,
                    lifetime=state.lifetime + 1,
                    seen_fence=0,
                    has_order=0,
                    is_leased=0,
                    has_stopped=0,
                ),
            )
        elif state.known_lifetime < state.lifetime:
            yield "the new lifetime is confirmed", self._renewed_lifetime(state)
        if state.odd_heartbeats:
            yield "odd heartbeat", self._with_odd_heartbeat(state)

    def _suspended(self, state):
        """Return the state after a suspension in which the owner gave the run up."""
        lapsed = state._replace(
            suspensions=state.suspensions - 1,
            at_work=AtWork.NO,
            is_leased=0,
            start_in_time=0,
            placed_again=1,
            knows_refusal=0,
        )
        return self._lost(lapsed, OrderFault.LEASE_MEANS_NOT_BEGUN)

    def _renewed_lifetime(self, state):
        """Return the state after the endpoint has answered as its new lifetime.

        That may have carried out and answered the start.
        """
        if state.phase == RunPhase.ENDED or state.is_listed:
            lost = _ended(state)
        else:
            lost = self._unconfirm(state)
        return lost._replace(
            known_lifetime=state.lifetime, stop_known=0, is_listed=0, knows_refusal=0
        )

    def _lost(self, state, fault):
        """Return the state in which the agent has given up what the endpoint ran.

        ``fault`` is the one that makes it give up an unanswered start as well.
        """
        if state.phase == RunPhase.ENDED:
            return state
        if state.phase == RunPhase.RUNNING or self._fault is fault:
            return _ended(state)
        return self._unconfirm(state)

    def _unconfirm(self, state):
        """Return the state with the run to be stopped and the fence raised."""
        return state._replace(phase=RunPhase.UNCONFIRMED, fence=START_FENCE + 1)

    def _with_odd_heartbeat(self, state):
        ignored = state._replace(odd_heartbeats=0)
        if self._fault is OrderFault.HEARTBEAT_MEANS_NEW_LIFETIME:
            return _ended(ignored)
        return ignored  # the endpoint denies it


def _ended(state):
    return state._replace(phase=RunPhase.ENDED, placed_again=1)
