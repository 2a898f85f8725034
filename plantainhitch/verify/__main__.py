"""Search the models and print the coverage: ``python -m plantainhitch.verify``.

The exit code is 1 if the protocol breaks an invariant or if a planted fault is not
found.
"""

import sys

from .endpoint_orders import EndpointOrderModel, OrderFault
from .keys import KeyFault, KeyModel
from .nested_leases import LeaseFault, NestedLeaseModel
from .replaced_links import LinkFault, ReplacedLinkModel
from .search import search
from .starts import StartModel
from .states import Fault

# (tasks in the job, search depth in steps) for the protocol without planted faults.
MODEL_SEARCHES = ((1, 17), (2, 11))
FAULT_DEPTH = 15
# Deeper than any path of the small models, so that their search is exhaustive.
KEY_DEPTH = 40
ORDER_DEPTH = 40
LINK_DEPTH = 40
LEASE_DEPTH = 40


def main():
    """Search the protocol and every planted fault; return the exit code."""
    passed = [
        _search_model(f"starts, {tasks} task(s)", StartModel(tasks), depth)
        for tasks, depth in MODEL_SEARCHES
    ]
    passed.append(_search_model("keys", KeyModel(), KEY_DEPTH))
    passed.append(_search_model("endpoint orders", EndpointOrderModel(), ORDER_DEPTH))
    passed.append(_search_model("replaced links", ReplacedLinkModel(), LINK_DEPTH))
    passed.append(_search_model("nested leases", NestedLeaseModel(), LEASE_DEPTH))
    for fault in Fault:
        if fault is not Fault.NONE:
            tasks = 2 if fault is Fault.PARTIAL_ANSWER else 1
            passed.append(_search_planted_fault(StartModel(tasks, fault), fault))
    for fault in KeyFault:
        if fault is not KeyFault.NONE:
            passed.append(_search_planted_fault(KeyModel(fault), fault))
    for fault in OrderFault:
        if fault is not OrderFault.NONE:
            passed.append(_search_planted_fault(EndpointOrderModel(fault), fault))
    for fault in LinkFault:
        if fault is not LinkFault.NONE:
            passed.append(_search_planted_fault(ReplacedLinkModel(fault), fault))
    for fault in LeaseFault:
        if fault is not LeaseFault.NONE:
            model = NestedLeaseModel(fault, max_notice=0)
            passed.append(_search_planted_fault(model, fault, LEASE_DEPTH))
    return 0 if all(passed) else 1


def _search_model(name, model, max_depth):
    result = search(model, max_depth)
    print(
        f"{name}: {result.states} states, depth {result.depth}, "
        f"exhausted: {result.is_exhausted}, violation: {_describe(result.violation)}"
    )
    return result.violation is None


def _search_planted_fault(model, fault, max_depth=FAULT_DEPTH):
    result = search(model, max_depth)
    print(
        f"planted, {fault.value}: {result.states} states, "
        f"found: {_describe(result.violation)}"
    )
    return result.violation is not None


def _describe(violation):
    if violation is None:
        return "none"
    return f"{violation.detail}: {' > '.join(violation.trace)}"


if __name__ == "__main__":
    sys.exit(main())
