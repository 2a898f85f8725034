"""Divides the free slots of an endpoint among the entries, as credits.

While slots are idle, about half of them are granted beforehand for any class, so
that most tasks start without asking, and the rest is kept for whoever asks. When
more is wanted than is free, each slot is granted to one class by ``ShareBook``.
Credits that lie unused at one entry are recalled when another one waits.
"""

from dataclasses import dataclass, field

from ..protocol.messages import ANY_CLASS, Credit
from .credits import CreditAccount
from .headroom import Headroom

# Longer than a grant and the starts that it brings are under way.
RECALL_AGE_MS = 10
HEADROOM_CHECK_MS = 20
# How much more an entry must want than the one whose report frees the slot.
OTHER_ENTRY_FACTOR = 1.5


@dataclass(slots=True)
class Plan:
    """What to send: grants and recalls by link; when to plan again, if at all."""

    grants: dict[int, dict[str, int]] = field(default_factory=dict)
    recalls: dict[int, list[Credit]] = field(default_factory=dict)
    again_in_ms: int | None = None

    def add_grant(self, link, tag):
        """Add one credit to what is granted on a link."""
        tags = self.grants.setdefault(link, {})
        tags[tag] = tags.get(tag, 0) + 1

    def again_within(self, wait_ms):
        """Ask for another plan in at most ``wait_ms``."""
        if self.again_in_ms is None or wait_ms < self.again_in_ms:
            self.again_in_ms = wait_ms


class GrantPlanner:
    """The accounts of all links and the division of free slots among them."""

    def __init__(self, clock, shares):
        self._clock = clock
        self._shares = shares
        self._headroom = Headroom(clock)
        self._accounts = {}

    @property
    def outstanding(self):
        """All credits granted and not used."""
        return sum(account.total for account in self._accounts.values())

    @property
    def unmet(self):
        """All credits wanted and not granted."""
        return sum(sum(a.demand.values()) for a in self._accounts.values())

    def account(self, link):
        """Return the account of a link."""
        return self._accounts[link]

    def open(self, link, entry):
        """Open the account of a new link."""
        self._accounts[link] = CreditAccount(entry)

    def close(self, link):
        """Void the account of a link that has ended."""
        self._void(self._accounts.pop(link))

    def void_all(self):
        """Void all credits and demands: the agent takes no more starts."""
        for account in self._accounts.values():
            self._void(account)

    def use(self, link, class_name):
        """Use a credit of the link for a start; return its tag, None without one."""
        tag = self._accounts[link].use(class_name)
        if tag:
            self._shares.release(tag)
        return tag

    def demand(self, link, credits):
        """Replace the demand of a link."""
        self._accounts[link].set_demand(credits)
        for credit in credits:
            if credit.count:
                self._shares.note_wanted(credit.class_name)

    def returned(self, link, credits):
        """Take credits back; return how many."""
        account = self._accounts[link]
        before = account.tags()
        count = account.returned(credits)
        after = account.tags()
        for tag, held in before.items():
            for _ in range(held - after.get(tag, 0)):
                if tag:
                    self._shares.release(tag)
        return count

    def plan(self, vacant, reporting=(), *, top_up=False):
        """Divide ``vacant`` slots that are not in use; return a ``Plan``.

        A grant to one of the ``reporting`` links costs no frame of its own; with
        ``top_up`` links without credits are granted some beforehand as well.
        """
        plan = Plan()
        free = vacant - self.outstanding
        if not self._accounts:
            return plan
        free -= self._serve_demand(plan, free, reporting)
        if free > 0 and not self._headroom.is_holding:
            self._grant_beforehand(plan, free, reporting, top_up)
        return plan

    def _serve_demand(self, plan, free, reporting):
        """Grant free slots to those who wait, then recall; return the grants."""
        contended = self.unmet > free
        granted = 0
        while free > granted:
            class_name = self._next_class()
            if class_name is None:
                break
            if contended and self._headroom.hold(
                self._shares, class_name, free - granted
            ):
                plan.again_within(HEADROOM_CHECK_MS)
                return granted
            link = self._next_link(class_name, reporting)
            tagged = contended or self._shares.has_quota(class_name)
            self._grant(plan, link, class_name if tagged else ANY_CLASS)
            granted += 1
        self._headroom.release(self._shares.slots)
        if free <= granted and self._next_class() is not None:
            self._recall(plan)
        return granted

    def _next_class(self):
        wanted = {
            name
            for account in self._accounts.values()
            for name, count in account.demand.items()
            if count and self._shares.allows(name)
        }
        return min(wanted, key=lambda n: (self._shares.order(n), n), default=None)

    def _next_link(self, class_name, reporting):
        """Return the link whose entry waits most for the class."""

        def urgency(item):
            link, account = item
            waiting = account.demand.get(class_name, 0)
            factor = OTHER_ENTRY_FACTOR if link in reporting else 1.0
            return waiting * factor / (account.total + 1)

        link, _ = max(self._accounts.items(), key=urgency)
        return link

    def _recall(self, plan):
        """Ask for credits that lie unused at entries which don't need them."""
        now_ms = self._clock.now_ms()
        accounts = self._accounts.items()
        missing = self.unmet - sum(account.recalled for _, account in accounts)
        for link, account in accounts:
            count = min(missing, account.recallable)
            if count <= 0:
                continue
            age_ms = now_ms - account.granted_at_ms
            if age_ms < RECALL_AGE_MS:
                plan.again_within(RECALL_AGE_MS - age_ms)
                continue
            plan.recalls[link] = account.recall(count)
            missing -= count

    def _grant_beforehand(self, plan, free, reporting, top_up):
        """Grant idle slots for any class, up to the part granted beforehand."""
        idle = free + self.outstanding
        count = len(self._accounts)
        reserve = 0 if count == 1 else idle // 2
        spare = free - reserve
        links = list(reporting)
        if top_up:
            links += [k for k, account in self._accounts.items() if not account.total]
        while spare > 0 and links:
            link = min(links, key=lambda link: self._accounts[link].total)
            self._grant(plan, link, ANY_CLASS)
            spare -= 1

    def _grant(self, plan, link, tag):
        self._accounts[link].grant(tag, self._clock.now_ms())
        if tag:
            self._shares.take(tag)
        plan.add_grant(link, tag)

    def _void(self, account):
        for tag, count in account.tags().items():
            for _ in range(count):
                if tag:
                    self._shares.release(tag)
        account.clear()
