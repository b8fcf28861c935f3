"""Simulation of the quota code of many daemons with message delays and faults."""

import random
from collections import deque
from types import SimpleNamespace

from bluebellbeam.membership import make_member_table
from bluebellbeam.node import quotas
from bluebellbeam.node.command import SendToPeer
from bluebellbeam.node.message import (
    Envelope,
    QuotaReport,
    TokenGrant,
    TokenRequest,
    encode_envelope,
)
from bluebellbeam.node.state import Counters

WINDOW_MS = 8000
SUSPECT_MS = 5000
"""Time after which a daemon counts others as dead from which it has no message."""


def make_daemon(name, region, seed):
    """Return the part of a node's state that the quota code uses."""
    identity = SimpleNamespace(vm=name, region=region, seed_peers=("s",))
    state = SimpleNamespace(
        identity=identity,
        region=region,
        config=True,
        base=SimpleNamespace(workspaces={}),
        members=make_member_table(),
        quotas=quotas.make_quota_table(),
        counters=Counters(),
        rng=random.Random(seed),
        peers_responded={"s"},
        leaving=False,
        commands=[],
    )
    state.emit = state.commands.append
    state.region_members = lambda: sorted(
        {r.name for r in state.members.rows.values() if _is_live(r, region)} | {name}
    )
    return state


def _is_live(row, region):
    return row.region == region and row.status != "dead"


class QuotaRegions:
    """Daemons of three regions, in steps of 1 ms.

    Attributes
    ----------
    admitted : list of (int, int)
        Time and tokens of each admitted request.
    offers : list of (int, int)
        Time and tokens of each request.
    sent_bytes, sent_messages : int
    waits_ms : list of int
        Time that each request waited for its answer.
    """

    def __init__(self, per_region, workspaces, seed, regions=("a", "b", "c")):
        self.rng = random.Random(seed)
        self.now_ms = 100_000
        self.region = {f"{r}{i}": r for r in regions for i in range(per_region)}
        self.workspaces = workspaces
        self.daemons = {}
        self.group = dict.fromkeys(self.region, 0)
        self.messages = {}
        self.changes = []
        self.admitted = []
        self.refused = 0
        self.offers = []
        self.sent_bytes = 0
        self.sent_messages = 0
        self.waits_ms = []
        for name in self.region:
            self.start(name)

    def start(self, name):
        """Start daemon `name` with empty state."""
        state = make_daemon(name, self.region[name], self.rng.random())
        state.base.workspaces = self.workspaces
        self.daemons[name] = state
        for other in self.region:
            for one, two in ((state, other), (self.daemons.get(other), name)):
                if one is not None and one.identity.vm != two:
                    self._add_member(one, two)

    def _add_member(self, state, name):
        state.members.rows[name] = SimpleNamespace(
            name=name,
            region=self.region[name],
            status="alive",
            leaving=False,
            heard_ms=self.now_ms,
            peer_address="x",
        )
        state.members.generation += 1

    def kill(self, name):
        """Stop daemon `name`; its state is lost."""
        self.daemons[name] = None

    def reaches(self, one, two):
        """Return whether a message from `one` arrives at `two`."""
        return self.daemons[two] is not None and self.group[one] == self.group[two]

    def send(self, name, workspace, cost):
        """Send a request of `cost` tokens to daemon `name`."""
        state = self.daemons[name]
        if state is None:
            return
        self.offers.append((self.now_ms, cost))
        request = SimpleNamespace(
            workspace=workspace,
            prompt_tokens=cost,
            max_output_tokens=0,
            start_deadline_ms=self.now_ms + 4000,
            state="waiting",
            charged_tokens=0,
            charged_ledger=False,
            sent_ms=self.now_ms,
        )
        ended, error = quotas.charge_quota(state, request, self.now_ms)
        if ended:
            self._end(request, error)
        self._flush(state)

    def _end(self, request, error):
        self.waits_ms.append(self.now_ms - request.sent_ms)
        request.state = "ended"
        if error is None:
            self.admitted.append((self.now_ms, request.charged_tokens))
        else:
            self.refused += request.prompt_tokens

    def _flush(self, state):
        own = state.identity.vm
        commands, state.commands[:] = list(state.commands), []
        for command in commands:
            if not isinstance(command, SendToPeer):
                continue
            raw = encode_envelope(Envelope(own, 1, command.messages))
            self.sent_bytes += len(raw)
            self.sent_messages += 1
            local = self.region[own] == self.region[command.vm]
            delay_ms = 1 if local else 55
            self.messages.setdefault(self.now_ms + delay_ms, deque()).append(
                (state, command.vm, command.messages)
            )

    def step(self):
        """Advance time by 1 ms."""
        self.now_ms += 1
        for sender, name, messages in self.messages.pop(self.now_ms, ()):
            origin = sender.identity.vm
            state = self.daemons[name]
            if self.reaches(origin, name):
                for message in messages:
                    self._deliver(state, origin, message)
            elif state is None and self.group[origin] == self.group[name]:
                self._apply(quotas.handle_unreachable_ledger(sender, name, self.now_ms))
                self._flush(sender)
        for change in [item for item in self.changes if item[0] <= self.now_ms]:
            self.changes.remove(change)
            change[1].base.workspaces = change[2]
        for index, (name, state) in enumerate(self.daemons.items()):
            if state is not None and (self.now_ms + index) % 50 == 0:
                self._apply(quotas.tick_quotas(state, self.now_ms))
                self._flush(state)
                if (self.now_ms + index) % 500 == 0:
                    self._update_members(name, state)

    def _deliver(self, state, origin, message):
        match message:
            case TokenRequest():
                quotas.handle_token_request(state, origin, message, self.now_ms)
            case TokenGrant():
                self._apply(
                    quotas.handle_token_grant(state, origin, message, self.now_ms)
                )
            case QuotaReport():
                quotas.handle_quota_report(state, origin, message, self.now_ms)
        self._flush(state)

    def _apply(self, ended):
        for request, error in ended:
            self._end(request, error)

    def _update_members(self, name, state):
        for row in state.members.rows.values():
            if self.reaches(row.name, name):
                row.heard_ms = self.now_ms
                status = "alive"
            else:
                status = "dead" if self.now_ms - row.heard_ms > SUSPECT_MS else "alive"
            if status != row.status:
                row.status = status
                state.members.generation += 1

    def worst_window(self):
        """Return the most tokens admitted in a window of 8 s."""
        worst = total = 0
        window = deque()
        for at_ms, tokens in self.admitted:
            window.append((at_ms, tokens))
            total += tokens
            while window[0][0] <= at_ms - WINDOW_MS:
                total -= window.popleft()[1]
            worst = max(worst, total)
        return worst

    def admitted_part(self, rate, burst, since_ms):
        """Return the admitted tokens relative to those of one exact token bucket.

        The bucket admits a request larger than the burst when it is full.
        """
        level, last_ms, ideal = 0.0, self.offers[0][0], 0
        for at_ms, cost in self.offers:
            level = min(burst, level + rate * (at_ms - last_ms) / 1000.0)
            last_ms = at_ms
            if level >= min(cost, burst):
                level -= cost
                ideal += cost * (at_ms >= since_ms)
        return sum(cost for at_ms, cost in self.admitted if at_ms >= since_ms) / ideal
