"""An entry's connections to the agents of its subset."""

from ... import logs
from ..agent_links import AgentDialer, DialOptions
from ..background import spawn
from ..runs.agent_node import ENTRY_LINK_TIMING
from .agent_subset import AgentSubset

# An agent on the same network answers within a few ms, and a frozen one never does.
DIAL_OPTIONS = DialOptions(
    ENTRY_LINK_TIMING,
    max_redial_delay_ms=500,
    connect_timeout_ms=1_000,
    follow_address=True,
)
UPDATE_INTERVAL_MS = 500
# A link to an agent outside the subset is kept for this long, so that a peer that
# restarts does not move links.
SURPLUS_LINK_RETENTION_MS = 4_000

log = logs.get_logger("agent-links")


class AgentConnections:
    """Dials the agents that the entry should be linked to, and drops the others.

    ``own_member`` is the entry's ``Member``, ``peers`` its ``Peers`` and ``fleet`` its
    ``Fleet``. ``make_hello()`` returns the entry's ``Hello``, and ``post(event)`` takes
    the events of the links.
    """

    def __init__(self, clock, own_member, membership, peers, fleet, make_hello, post):
        self._clock = clock
        self._events = logs.EventLog(log, clock)
        self._own_member = own_member
        self._membership = membership
        self._peers = peers
        self._fleet = fleet
        self._make_hello = make_hello
        self._post = post
        self._subset = AgentSubset(own_member.link)
        # By the link address of the agent.
        self._dialers = {}
        # Since when an agent with a link is outside the subset, by link address.
        self._surplus_since_ms = {}
        self._last_inputs = None
        self._selected_addresses = frozenset()
        self._tasks = set()

    @property
    def count(self):
        """The number of agents that are dialled."""
        return len(self._dialers)

    def update(self):
        """Dial the agents that are new in the subset; drop links that it left."""
        self._select()
        self._drop_surplus_links()

    def close(self):
        """Stop dialling and close all links."""
        for task in self._tasks:
            task.cancel()

    async def run(self):
        """Update regularly, since entries may come and go; never returns."""
        while True:
            await self._clock.sleep_ms(UPDATE_INTERVAL_MS)
            self.update()
            self._events.flush_if_due()

    def _select(self):
        region = self._own_member.region
        agents = {member.link: member for member in self._membership.agents(region)}
        entries = {
            member.link: member
            for member in self._membership.entries(region)
            if self._peers.is_alive(member.link)
        }
        entries[self._own_member.link] = self._own_member
        inputs = frozenset(entries), frozenset(agents)
        if inputs == self._last_inputs:
            return
        self._last_inputs = inputs
        selected = self._subset.select(entries.values(), agents.values())
        self._selected_addresses = frozenset(member.link for member in selected)
        for member in selected:
            if member.link not in self._dialers:
                self._dial(member)
        self._events.write(
            "agents selected",
            entries=len(entries),
            agents=len(agents),
            selected=len(selected),
            dialled=len(self._dialers),
        )

    def _dial(self, member):
        dialer = AgentDialer(
            member, self._make_hello, self._clock, self._post, DIAL_OPTIONS
        )
        self._dialers[member.link] = dialer
        spawn(dialer.run(), self._tasks)

    def _drop_surplus_links(self):
        now_ms = self._clock.now_ms()
        for address in list(self._dialers):
            if address in self._selected_addresses:
                self._surplus_since_ms.pop(address, None)
                continue
            since_ms = self._surplus_since_ms.setdefault(address, now_ms)
            if now_ms - since_ms < SURPLUS_LINK_RETENTION_MS:
                continue
            agent = self._fleet.get(self._dialers[address].incarnation)
            if agent is None or not agent.tasks:
                del self._surplus_since_ms[address]
                self._dialers.pop(address).withdraw("outside the subset")
