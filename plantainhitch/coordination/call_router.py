"""Routes callers' calls to the entry incarnation that owns the submission id.

A call on an id of this entry is posted to the task that owns the state. A call on an
id of another entry is forwarded to that entry. A call with a caller's own key is
bound to an id first.
"""

import asyncio
from dataclasses import replace

from ..protocol import calls
from ..protocol.errors import Refusal
from ..state.ids import SubmissionId
from . import events as e
from .peers import OtherIncarnation, owner_lost_refusal


class CallRouter:
    """Answers the calls of ``protocol.calls`` that reach one entry."""

    def __init__(self, incarnation, inbox, membership, peers, key_binder, owner_lookup):
        self._incarnation = incarnation
        self._inbox = inbox
        self._membership = membership
        self._peers = peers
        self._key_binder = key_binder
        self._owner_lookup = owner_lookup
        self._open_count = 0

    @property
    def open_count(self):
        """The number of calls that are not answered yet."""
        return self._open_count

    async def handle_call(self, call):
        """Return the ``calls.Answer`` to a call."""
        self._open_count += 1
        try:
            return await self._route(call)
        finally:
            self._open_count -= 1

    async def _route(self, call):
        match call:
            case calls.OpenIds():
                return await self._post_call(call)
            case calls.SingleRequest():
                return await self._run_request(call)
            case calls.SubmitWithKey():
                return await self._submit_with_key(call)
        return await self._call_owner(call)

    async def _run_request(self, call):
        final_reply = asyncio.get_running_loop().create_future()
        answer = await self._post_call(call, final_reply)
        if isinstance(answer, Refusal):
            return answer
        if answer.state is calls.JobState.RUNNING:
            answer = await final_reply
        return calls.RequestAnswer(answer.outcomes[0])

    async def _call_owner(self, call):
        owner = SubmissionId.from_bytes(call.submission).incarnation
        if owner == self._incarnation:
            return await self._post_call_and_wait(call)
        if self._membership.is_proved_dead(owner):
            return owner_lost_refusal()
        member = await self._owner_lookup.find(owner)
        if isinstance(member, Refusal):
            return member
        answer = await self._peers.forward(member, call)
        if isinstance(answer, OtherIncarnation):
            self._membership.record_incarnation_at(
                member.link, answer.incarnation, answer.dialled_ms
            )
            return owner_lost_refusal()
        return answer

    async def _submit_with_key(self, call):
        """Bind the key to a new id, or route the call to the id bound earlier.

        A refusal never says "not run": an earlier or concurrent call with the same
        key may have been bound and have run.
        """
        refusal = await self._precheck_unbound(call)
        if refusal is not None:
            return refusal
        ids = await self._post_call(calls.OpenIds(1))
        if isinstance(ids, Refusal):
            return replace(ids, not_run=False)
        bound = await self._key_binder.bind(call.key, call.job.digest, ids.ids[0])
        binding = bound.value_or(None)
        if binding is None:
            return bound.failure()
        return await self._submit_bound(call, binding)

    async def _precheck_unbound(self, call):
        """Return a refusal if the job isn't admitted and the key isn't bound."""
        refusal = await self._post_call(calls.Precheck(call.job))
        if refusal is None:
            return None
        bound = await self._key_binder.is_bound(call.key)
        if bound.value_or(False):
            return None
        return replace(refusal, not_run=False)

    async def _submit_bound(self, call, binding):
        # The job was admitted before the key was bound. Refusing it now would make
        # the id unusable for ever while the key stays bound to it.
        submit = calls.Submit(
            binding.submission, call.job, call.wait_ms, is_admitted=True
        )
        return await self._call_owner(submit)

    async def _post_call_and_wait(self, call):
        """Post a call on an id of this entry; wait for the end up to ``wait_ms``."""
        wait_ms = getattr(call, "wait_ms", 0)
        if not wait_ms:
            return await self._post_call(call)
        final_reply = asyncio.get_running_loop().create_future()
        answer = await self._post_call(call, final_reply)
        if isinstance(answer, Refusal) or answer.state is not calls.JobState.RUNNING:
            return answer
        try:
            async with asyncio.timeout(wait_ms / 1000):
                return await final_reply
        except TimeoutError:
            return answer

    async def _post_call(self, call, final_reply=None):
        reply = asyncio.get_running_loop().create_future()
        self._inbox.post(e.CallReceived(call, reply, final_reply))
        return await reply
