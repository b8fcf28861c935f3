"""Daemons that exchange evidence on ended servers, in virtual time."""

import random

import msgspec

from bluebellbeam.node import command as cmd
from bluebellbeam.node.message import PromptEvidence
from bluebellbeam.node.request_quarantine import (
    handle_prompt_evidence,
    known_evidence,
    tick_quarantine,
)
from bluebellbeam.node.tests.harness import Harness
from bluebellbeam.quarantine import ServerEnd, add_end

STEP_MS = 100
PROBE_INTERVAL_MS = 1000


class EvidenceFleet:
    """Daemons of one deployment; only messages with evidence are exchanged.

    Attributes
    ----------
    states : list of NodeState
    bytes_sent : list of list of int
        Bytes of such messages that each daemon has sent in each second.
    """

    def __init__(self, count, seed=1):
        self.rng = random.Random(seed)
        self.now_ms = 20_000
        names = [f"vm-{number}" for number in range(count)]
        self.states = []
        for name in names:
            harness = Harness(vm=name)
            others = [other for other in names if other != name]
            harness.announce_peer(others[0], region="west", others=others[1:])
            harness.state.rng.seed(self.rng.random())
            harness.state.pending_commands.clear()
            self.states.append(harness.state)
        self.by_name = dict(zip(names, self.states, strict=True))
        self.bytes_sent = [[] for _ in names]
        self.inbox = []

    def end_server(self, name, lost):
        """End a server.

        Parameters
        ----------
        name : str
        lost : list of dict of str to int
            Names and positions of each request that is lost there, each by a daemon
            drawn at random.
        """
        for positions in lost:
            state = self.rng.choice(self.states)
            end = ServerEnd(name, 1, self.now_ms, positions)
            add_end(state.evidence, end)

    def run(self, duration_ms):
        """Advance virtual time."""
        for _ in range(duration_ms // STEP_MS):
            self.now_ms += STEP_MS
            if self.now_ms % 1000 == 0:
                for sent in self.bytes_sent:
                    sent.append(0)
            inbox, self.inbox = self.inbox, []
            for name, message in inbox:
                handle_prompt_evidence(self.by_name[name], message, self.now_ms)
            for number, state in enumerate(self.states):
                tick_quarantine(state, self.now_ms)
                if (self.now_ms + number * STEP_MS) % PROBE_INTERVAL_MS == 0:
                    self.probe(number, state)
                self.send(number, state)

    def probe(self, number, state):
        """Send what is repeated beside a probe, and get what its answer repeats."""
        other = self.rng.randrange(len(self.states))
        for sender, receiver in ((number, other), (other, number)):
            for message in known_evidence(self.states[sender], self.now_ms):
                self.count(sender, message)
                name = self.states[receiver].identity.vm
                self.inbox.append((name, message))

    def send(self, number, state):
        commands = list(state.pending_commands)
        state.pending_commands.clear()
        for command in commands:
            if isinstance(command, cmd.SendToPeer):
                for message in command.messages:
                    if isinstance(message, PromptEvidence):
                        self.count(number, message)
                        self.inbox.append((command.vm, message))

    def count(self, number, message):
        if self.bytes_sent[number]:
            self.bytes_sent[number][-1] += len(msgspec.json.encode(message))
