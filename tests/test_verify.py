"""Tests of the model checker: no violation in the protocol, planted faults found."""

import unittest

from plantainhitch.verify.endpoint_orders import (
    AtWork,
    EndpointOrderModel,
    OrderFault,
)
from plantainhitch.verify.keys import KeyFault, KeyModel
from plantainhitch.verify.nested_leases import (
    NOTICE,
    OWNER,
    RUN_END,
    LeaseFault,
    NestedLeaseModel,
    Run,
)
from plantainhitch.verify.replaced_links import LinkFault, ReplacedLinkModel
from plantainhitch.verify.search import search
from plantainhitch.verify.starts import StartModel
from plantainhitch.verify.states import Fault, Limits

FAULT_DEPTH = 14
KEY_DEPTH = 40
ORDER_DEPTH = 40
LINK_DEPTH = 40
LEASE_DEPTH = 40


class _AllStates:
    """Counts a model's states by the states themselves instead of their hashes."""

    def __init__(self, model):
        self._model = model

    def count(self, depth):
        seen = frontier = {self._model.initial()}
        for _ in range(depth):
            frontier = {
                successor
                for state in frontier
                for _, successor in self._model.steps(state)
            } - seen
            seen = seen | frontier
        return len(seen)


class StartModelTests(unittest.TestCase):
    """Model of ownership and starts."""

    def test_protocol_has_no_violation(self):
        for tasks, depth in ((1, 11), (2, 7)):
            with self.subTest(tasks=tasks):
                result = search(StartModel(tasks), depth)
                self.assertIsNone(result.violation)
                self.assertEqual(result.depth, depth)
                self.assertGreater(result.states, 5_000)

    def test_no_hash_collision(self):
        # Two states with the same hash would leave one of them unexplored.
        result = search(StartModel(), 9)
        self.assertEqual(result.states, _AllStates(StartModel()).count(9))

    def test_each_planted_fault_is_found(self):
        # A search that finds no planted fault proves nothing about the protocol.
        for fault in Fault:
            if fault is Fault.NONE:
                continue
            with self.subTest(fault=fault.value):
                tasks = 2 if fault is Fault.PARTIAL_ANSWER else 1
                result = search(StartModel(tasks, fault), FAULT_DEPTH)
                self.assertIsNotNone(result.violation)
                self.assertEqual(len(result.violation.trace), result.depth)

    def test_retry_and_takeover_start_a_task_twice(self):
        # A time-out or a lapsed lease doesn't prove that a task was not started.
        for fault in (
            Fault.START_AGAIN_AFTER_TIMEOUT,
            Fault.TAKE_OVER_ON_LAPSED_LEASE,
        ):
            with self.subTest(fault=fault.value):
                limits = Limits(sessions=1, duplicates=0, expiries=0, agent_restarts=0)
                model = StartModel(1, fault, limits)
                result = search(model, 18, model.duplicate_start)
                self.assertIsNotNone(result.violation)


class KeyModelTests(unittest.TestCase):
    """Model of callers' idempotency keys."""

    def test_protocol_has_no_violation_in_any_state(self):
        result = search(KeyModel(), KEY_DEPTH)
        self.assertIsNone(result.violation)
        self.assertTrue(result.is_exhausted)

    def test_each_planted_fault_is_found(self):
        for fault in KeyFault:
            if fault is not KeyFault.NONE:
                with self.subTest(fault=fault.value):
                    result = search(KeyModel(fault), KEY_DEPTH)
                    self.assertIsNotNone(result.violation)


class EndpointOrderModelTests(unittest.TestCase):
    """Model of a run whose start may be carried out late (review cases 4 and 5)."""

    def test_protocol_has_no_violation_in_any_state(self):
        result = search(EndpointOrderModel(), ORDER_DEPTH)
        self.assertIsNone(result.violation)
        self.assertTrue(result.is_exhausted)
        self.assertGreater(result.states, 500)

    def test_each_planted_fault_is_found(self):
        for fault in OrderFault:
            if fault is not OrderFault.NONE:
                with self.subTest(fault=fault.value):
                    result = search(EndpointOrderModel(fault), ORDER_DEPTH)
                    self.assertIsNotNone(result.violation)

    def test_with_the_old_rule_a_run_goes_on_beside_the_next_one(self):
        # Issue 43: the endpoint was up when its network refused a connection.
        model = EndpointOrderModel(OrderFault.REFUSAL_MEANS_ENDED)
        trace = search(model, ORDER_DEPTH).violation.trace
        self.assertIn("the network refuses connections", trace)
        self.assertEqual("a connection is refused", trace[-1])

    def test_a_run_can_go_on_while_its_endpoint_refuses_connections(self):
        # Otherwise the search would not reach what it is to check.
        def is_at_work(state):
            is_refused = state.is_refused and state.knows_refusal
            return "at work" if is_refused and state.at_work == AtWork.YES else ""

        result = search(EndpointOrderModel(), ORDER_DEPTH, is_at_work)
        self.assertIsNotNone(result.violation)


class ReplacedLinkModelTests(unittest.TestCase):
    """Model of a start on links that are replaced (review case 1)."""

    def test_protocol_has_no_violation_in_any_state(self):
        result = search(ReplacedLinkModel(max_links=2), LINK_DEPTH)
        self.assertIsNone(result.violation)
        self.assertTrue(result.is_exhausted)
        self.assertGreater(result.states, 10_000)

    def test_each_planted_fault_is_found(self):
        for fault in LinkFault:
            if fault is not LinkFault.NONE:
                with self.subTest(fault=fault.value):
                    model = ReplacedLinkModel(fault, max_links=2)
                    result = search(model, LINK_DEPTH)
                    self.assertIsNotNone(result.violation)


class NestedLeaseModelTests(unittest.TestCase):
    """Model of the leases of a run whose owner and agent die (issue 40)."""

    def test_protocol_has_no_violation_in_any_state(self):
        result = search(NestedLeaseModel(), LEASE_DEPTH)
        self.assertIsNone(result.violation)
        self.assertTrue(result.is_exhausted)
        self.assertGreater(result.states, 100_000)

    def test_each_planted_fault_is_found(self):
        for fault in LeaseFault:
            if fault is not LeaseFault.NONE:
                with self.subTest(fault=fault.value):
                    result = search(NestedLeaseModel(fault, max_notice=0), LEASE_DEPTH)
                    self.assertIsNotNone(result.violation)

    def test_with_the_old_rule_the_entry_and_then_its_agent_die(self):
        model = NestedLeaseModel(LeaseFault.IGNORES_OWNERS, max_notice=0)
        result = search(model, LEASE_DEPTH)
        trace = result.violation.trace
        after = trace[trace.index("the entry dies") + 1 :]
        self.assertTrue({"the agent dies", "the agent's stop is lost"} & set(after))

    def test_a_run_can_go_on_for_longer_than_its_owner_lease(self):
        # Otherwise the search would not come near the bound that it is to check.
        def is_late(state):
            is_at_work = state.run == Run.AT_WORK and not state.placed_again
            return "late" if is_at_work and OWNER < state.contact < RUN_END else ""

        result = search(NestedLeaseModel(), LEASE_DEPTH, is_late)
        self.assertIsNotNone(result.violation)

    def test_an_entry_that_notices_too_late_that_its_caller_left(self):
        # No lease helps then: the owner renews it on behalf of a caller that is gone.
        result = search(NestedLeaseModel(max_notice=NOTICE + 1), LEASE_DEPTH)
        self.assertIsNotNone(result.violation)
