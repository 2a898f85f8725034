"""``plantainhitch cancel``: cancel the unfinished tasks of a submission."""

from urllib.parse import quote

import msgspec
from fire.decorators import SetParseFns

from ..protocol.models import AnswerModel
from . import operator


@SetParseFns(submission=str, entry=str)
def cancel(submission, entry="", json=False):
    """Cancel the unfinished tasks of a submission and show its state.

    Args:
        submission: the submission's id.
        entry: IP:PORT of an entry.
        json: print the JSON document.
    """

    async def action(client):
        path = f"/v1/submissions/{quote(submission, safe='')}/cancel"
        return operator.print_reply(await client.call("POST", path), json, _show)

    return operator.run(entry, action)


def _show(body):
    answer = msgspec.json.decode(body, type=AnswerModel)
    succeeded = sum(task.outcome == "succeeded" for task in answer.tasks)
    return f"{answer.id}: {answer.state}, {succeeded} tasks succeeded"
