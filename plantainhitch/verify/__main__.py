"""Search the models and print what was covered: ``python -m plantainhitch.verify``.

The exit code is 1 when ours breaks a promise or a planted fault isn't found.
"""

import sys

from .keys import KeyFault, KeyModel
from .search import search
from .starts import StartModel
from .states import Fault

# (tasks in the job, steps searched) of our own rules.
SEARCHES = ((1, 17), (2, 11))
FAULT_DEPTH = 14
# More steps than the model of keys has.
KEY_DEPTH = 40


def main():
    """Search ours and every planted fault; return the exit code."""
    verdicts = [
        _search_ours(f"starts, {tasks} task(s)", StartModel(tasks), depth)
        for tasks, depth in SEARCHES
    ]
    verdicts.append(_search_ours("keys", KeyModel(), KEY_DEPTH))
    for fault in Fault:
        if fault is not Fault.NONE:
            tasks = 2 if fault is Fault.PARTIAL_ANSWER else 1
            verdicts.append(_search_fault(StartModel(tasks, fault), fault))
    for fault in KeyFault:
        if fault is not KeyFault.NONE:
            verdicts.append(_search_fault(KeyModel(fault), fault))
    return 0 if all(verdicts) else 1


def _search_ours(name, model, max_depth):
    result = search(model, max_depth)
    print(
        f"{name}: {result.states} states, depth {result.depth}, "
        f"exhausted: {result.is_exhausted}, violation: {_text(result.violation)}"
    )
    return result.violation is None


def _search_fault(model, fault):
    result = search(model, FAULT_DEPTH)
    print(
        f"planted, {fault.value}: {result.states} states, "
        f"found: {_text(result.violation)}"
    )
    return result.violation is not None


def _text(violation):
    if violation is None:
        return "none"
    return f"{violation.detail}: {' > '.join(violation.trace)}"


if __name__ == "__main__":
    sys.exit(main())
