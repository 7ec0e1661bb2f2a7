"""The links between proxies and a group, and within the group: control, reports, replication."""

from __future__ import annotations

from orioleplank.decision.quorum import (
    AskLedger,
    AskRound,
    InstanceReported,
    LedgerAnswered,
    LedgerState,
    Mechanisms,
    Message,
    PromoteAnswered,
    Report,
    Role,
    SealAnswered,
    SendFollow,
    SendPromote,
    SendSeal,
    Switch,
)
from orioleplank.tests._fabric import Fabric
from orioleplank.tests._nodes import InstanceNode, ProxyNode
from orioleplank.tests._store import StepListener, Tell

SERVICE = "books"


class GroupLinks:
    """Carries control messages, reports and log entries."""

    def __init__(
        self,
        fabric: Fabric,
        mechanisms: Mechanisms,
        tell: Tell,
        on_step: StepListener,
    ) -> None:
        self.fabric = fabric
        self.mechanisms = mechanisms
        self.tell = tell
        self.on_step = on_step
        self.instances: list[InstanceNode] = []
        self.proxies: list[ProxyNode] = []

    def instance(self, name: str) -> InstanceNode:
        """Return the instance called `name`."""
        return next(node for node in self.instances if node.name == name)

    def answer(
        self, source: InstanceNode, node: ProxyNode, message: Message, reply: bool = False
    ) -> None:
        """Send a proxy a message from an instance that lives."""
        if source.alive:
            self.fabric.deliver(source.name, node.name, lambda: self.tell(node, message), reply)

    def send_control(
        self,
        node: ProxyNode,
        effect: AskRound | AskLedger | SendSeal | SendPromote | SendFollow,
    ) -> None:
        """Carry out a control order of a proxy."""
        target = self.instance(effect.instance)

        def arrive() -> None:
            message = self._control(target, effect)
            if isinstance(effect, SendSeal):
                self.on_step("promotion.sealing", node.name, target.name)
            if message is not None:
                self.answer(target, node, message)

        if target.alive:
            self.fabric.deliver(node.name, target.name, arrive)
        elif isinstance(effect, AskLedger):
            state = LedgerState.UNREACHABLE
            answer = LedgerAnswered(effect.service, effect.instance, effect.query, state)
            self.fabric.after(0.002, lambda: self.tell(node, answer))

    def _control(
        self,
        target: InstanceNode,
        effect: AskRound | AskLedger | SendSeal | SendPromote | SendFollow,
    ) -> Message | None:
        instance = target.instance
        match effect:
            case AskRound():
                return InstanceReported(SERVICE, self._report(target), effect.round)
            case AskLedger():
                state, entry = instance.look_up(effect.ledger_id, effect.term, effect.tombstone)
                outcome = instance.outcome(effect.ledger_id)
                return LedgerAnswered(
                    SERVICE, target.name, effect.query, state, entry.position, outcome
                )
            case SendSeal():
                granted = instance.seal(effect.term)
                return SealAnswered(SERVICE, effect.term, granted, self._report(target))
            case SendPromote():
                if self.mechanisms.on(Switch.SEALING):
                    granted = instance.promote(effect.term)
                else:
                    granted = instance.promote_unsealed(effect.term)
                return PromoteAnswered(SERVICE, effect.term, granted, self._report(target))
            case SendFollow():
                target.heard = self.fabric.now
                instance.follow(effect.term, effect.primary)
                return InstanceReported(SERVICE, self._report(target))

    def _report(self, target: InstanceNode) -> Report:
        return target.instance.report(self.fabric.now - target.heard)

    def report_all(self) -> None:
        """Push the reports of all instances."""
        for target in self.instances:
            if target.alive and not target.frozen:
                self.push_report(target)

    def push_report(self, target: InstanceNode) -> None:
        """Send an instance's report to all that watch it."""
        message = InstanceReported(SERVICE, self._report(target))
        for node in self.proxies:
            if target.name in node.watched:
                self.answer(target, node, message)

    def pull_all(self) -> None:
        """Let each replica pull from its primary."""
        for replica in self.instances:
            if replica.instance.role is Role.REPLICA and replica.alive and not replica.frozen:
                self._pull(replica)

    def _pull(self, replica: InstanceNode) -> None:
        primary = self.instance(replica.instance.following)
        if replica.pulling or not primary.alive or primary.frozen:
            return
        cuts = self.fabric.cuts
        if (replica.name, primary.name) in cuts or (primary.name, replica.name) in cuts:
            return
        if primary.instance.role is not Role.PRIMARY:
            return
        if primary.instance.term != replica.instance.term:
            return
        keep = primary.instance.agree(replica.instance.lineage)
        entries = list(primary.instance.log[keep:])
        term = primary.instance.term
        if not entries and keep == len(replica.instance.log):
            replica.heard = self.fabric.now
            return
        replica.pulling = True

        def apply() -> None:
            replica.pulling = False
            replica.heard = self.fabric.now
            if replica.alive and replica.instance.take_entries(term, keep, entries):
                self.push_report(replica)

        def arrive() -> None:
            self.fabric.enter(replica, apply)

        self.fabric.after(replica.lag + self.fabric.delay, arrive)
