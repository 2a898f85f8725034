"""The owner of an entry's state: the dispatcher and the links to agents.

It runs in one asyncio task, which handles all pending events, then places queued
tasks once and sends at most one frame of starts to each agent.
"""

import enum

from ..protocol import calls, messages as m
from ..protocol.errors import ErrorCode, Refusal
from . import events as e
from .submissions import Submission


class IntakeMode(enum.Enum):
    """Which calls the entry accepts: all while serving, fewer while draining.

    With ``NO_NEW_IDS`` it issues no ids, with ``NO_NEW_WORK`` it also starts no new
    submissions and requests.
    """

    OPEN = "open"
    NO_NEW_IDS = "no new ids"
    NO_NEW_WORK = "nothing new"


def _stopping_refusal():
    return Refusal(ErrorCode.NOT_READY, "this entry is stopping", not_run=True)


class EntryCore:
    """Handles the events of an inbox; only the task of ``run`` changes its state.

    ``on_configuration(message)`` is called with each configuration that an agent
    sends, ``on_members()`` when the membership has changed.
    """

    def __init__(self, inbox, dispatcher, *, on_configuration, on_members):
        self._inbox = inbox
        self._dispatcher = dispatcher
        self._on_configuration = on_configuration
        self._on_members = on_members
        self._links = {}
        self._configuration = None
        self._intake = IntakeMode.OPEN
        self._closed_links_frames = 0
        self._closed_links_bytes = 0

    @property
    def dispatcher(self):
        """The ``Dispatcher``, for reading only."""
        return self._dispatcher

    @property
    def links(self):
        """The open links to agents, by incarnation."""
        return self._links

    @property
    def frames_sent(self):
        """The number of frames sent to agents since the start of the process."""
        open_frames = sum(link.sent_frames for link in self._links.values())
        return self._closed_links_frames + open_frames

    @property
    def bytes_sent(self):
        """The number of bytes sent to agents since the start of the process."""
        open_bytes = sum(link.sent_bytes for link in self._links.values())
        return self._closed_links_bytes + open_bytes

    async def run(self):
        """Handle the events of the inbox until cancelled."""
        while True:
            for event in await self._inbox.take_all():
                self._handle(event)
            self._dispatcher.place()
            self._flush()

    def _handle(self, event):
        match event:
            case e.AgentMessageReceived(incarnation, message):
                self._receive_from_agent(incarnation, message)
            case e.CallReceived():
                self._handle_call(event)
            case e.TimerTicked():
                self._dispatcher.tick()
            case e.AgentLinked():
                self._link_agent(event)
            case e.AgentUnlinked():
                self._unlink_agent(event)
            case e.AgentConnectionRefused(incarnation):
                self._dispatcher.agent_connection_refused(incarnation)
            case e.AgentGone(incarnation):
                self._dispatcher.agent_gone(incarnation)
            case e.ConfigurationApplied(document):
                self._apply_configuration(document)
            case e.MembersChanged():
                self._on_members()
            case e.IntakeChanged(intake):
                self._intake = intake

    def _flush(self):
        for incarnation, message in self._dispatcher.take_outbox():
            link = self._links.get(incarnation)
            if link is not None:
                link.send(message)

    # Callers

    def _handle_call(self, event):
        """Set ``event.reply`` now, and ``event.final_reply`` when the job ends."""
        if event.reply.done():
            return
        found = self._execute_call(event.call)
        if isinstance(found, Submission):
            self._send_answer(event.reply, found)
            if not found.has_ended and event.final_reply is not None:
                found.on_end.append(
                    lambda ended: self._send_answer(event.final_reply, ended)
                )
            return
        event.reply.set_result(found)

    def _send_answer(self, reply, submission):
        if reply.done():
            return
        submission.is_fetched = submission.is_fetched or submission.has_ended
        reply.set_result(submission.answer())

    def _execute_call(self, call):
        dispatcher = self._dispatcher
        match call:
            case calls.OpenIds(count):
                if self._intake is not IntakeMode.OPEN:
                    return _stopping_refusal()
                return calls.IdList(tuple(dispatcher.submissions.issue_ids(count)))
            case calls.Submit():
                return self._submit(call)
            case calls.Fetch(submission):
                return dispatcher.submissions.find(submission)
            case calls.Cancel(submission):
                return dispatcher.cancel(submission)
            case calls.SingleRequest():
                if self._intake is IntakeMode.NO_NEW_WORK:
                    return _stopping_refusal()
                return dispatcher.submit_request(call)
            case calls.Precheck(job):
                return dispatcher.check_admission(job)
        raise TypeError(f"not a call: {call!r}")

    def _submit(self, call):
        if self._intake is IntakeMode.NO_NEW_WORK:
            found = self._dispatcher.submissions.find(call.submission)
            if isinstance(found, Refusal) and found.code is ErrorCode.NOT_FOUND:
                # The refusal proves that nothing runs, so the id must stay unusable.
                self._dispatcher.submissions.mark_refused(call.submission)
                return _stopping_refusal()
        return self._dispatcher.submit(call.submission, call.job, call.is_admitted)

    # Agents

    def _receive_from_agent(self, incarnation, message):
        match message:
            case m.Configuration(version, b""):
                self._send_configuration(incarnation, version)
            case m.Configuration():
                self._on_configuration(message)
            case _:
                self._dispatcher.receive(incarnation, message)

    def _link_agent(self, event):
        incarnation = event.hello.incarnation
        self._links[incarnation] = event.link
        self._dispatcher.agent_linked(event.hello, event.rack)
        latest = self._configuration
        if latest and latest.version > event.hello.configuration_version:
            # The hello to the agent may predate this version and so not name it.
            event.link.send(m.Configuration(latest.version, b""))

    def _unlink_agent(self, event):
        self._closed_links_frames += event.link.sent_frames
        self._closed_links_bytes += event.link.sent_bytes
        if self._links.get(event.incarnation) is event.link:
            del self._links[event.incarnation]
            self._dispatcher.agent_unlinked(event.incarnation)

    def _apply_configuration(self, document):
        """Apply a newer document and announce its version to the agents."""
        self._dispatcher.set_document(document)
        self._configuration = m.Configuration(document.version, document.to_json())
        announcement = m.Configuration(document.version, b"")
        for link in self._links.values():
            link.send(announcement)

    def _send_configuration(self, incarnation, version):
        """Send the configuration to an agent that asks for one above ``version``."""
        latest = self._configuration
        link = self._links.get(incarnation)
        if link is not None and latest is not None and latest.version > version:
            link.send(latest)
