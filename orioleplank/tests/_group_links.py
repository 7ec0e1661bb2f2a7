"""The links between proxies and a group, and within the group: control, reports, replication."""

from __future__ import annotations

from orioleplank.decision.quorum import (
    InstanceReported,
    LedgerAnswered,
    LedgerState,
    Message,
    ProbeInstance,
    PromoteAnswered,
    QueryLedger,
    Report,
    Role,
    Safeguard,
    Safeguards,
    SealAnswered,
    SendFollow,
    SendPromote,
    SendSeal,
)
from orioleplank.tests._nodes import InstanceNode, ProxyNode
from orioleplank.tests._simulated_platform import MessageHandler, StepListener
from orioleplank.tests._simulator import Simulator

SERVICE = "books"


class GroupLinks:
    """Carries control messages, reports and log entries."""

    def __init__(
        self,
        fabric: Simulator,
        mechanisms: Safeguards,
        tell: MessageHandler,
        on_step: StepListener,
    ) -> None:
        self.simulator = fabric
        self.mechanisms = mechanisms
        self.handle_message = tell
        self.on_step = on_step
        self.instances: list[InstanceNode] = []
        self.proxies: list[ProxyNode] = []

    def instance(self, name: str) -> InstanceNode:
        """Return the instance called `name`."""
        return next(node for node in self.instances if node.name == name)

    def send_to_proxy(
        self, source: InstanceNode, node: ProxyNode, message: Message, reply: bool = False
    ) -> None:
        """Send a proxy a message from an instance that lives."""
        if source.alive:
            self.simulator.deliver(
                source.name, node.name, lambda: self.handle_message(node, message), reply
            )

    def send_control(
        self,
        node: ProxyNode,
        effect: ProbeInstance | QueryLedger | SendSeal | SendPromote | SendFollow,
    ) -> None:
        """Carry out a control order of a proxy."""
        target = self.instance(effect.instance)

        def arrive() -> None:
            message = self._control(target, effect)
            if isinstance(effect, SendSeal):
                self.on_step("promotion.sealing", node.name, target.name)
            if message is not None:
                self.send_to_proxy(target, node, message)

        if target.alive:
            self.simulator.deliver(node.name, target.name, arrive)
        elif isinstance(effect, QueryLedger):
            state = LedgerState.UNREACHABLE
            answer = LedgerAnswered(effect.service, effect.instance, effect.query_number, state)
            self.simulator.call_later(0.002, lambda: self.handle_message(node, answer))

    def _control(
        self,
        target: InstanceNode,
        effect: ProbeInstance | QueryLedger | SendSeal | SendPromote | SendFollow,
    ) -> Message | None:
        instance = target.instance
        match effect:
            case ProbeInstance():
                return InstanceReported(SERVICE, self._report(target), effect.round_number)
            case QueryLedger():
                state, entry = instance.look_up_ledger(
                    effect.ledger_id, effect.term, effect.tombstone
                )
                outcome = instance.ledger_outcome(effect.ledger_id)
                return LedgerAnswered(
                    SERVICE, target.name, effect.query_number, state, entry.position, outcome
                )
            case SendSeal():
                granted = instance.seal(effect.term)
                return SealAnswered(SERVICE, effect.term, granted, self._report(target))
            case SendPromote():
                if self.mechanisms.is_enabled(Safeguard.SEALING):
                    granted = instance.promote(effect.term)
                else:
                    granted = instance.promote_unsealed(effect.term)
                return PromoteAnswered(SERVICE, effect.term, granted, self._report(target))
            case SendFollow():
                target.primary_heard_at = self.simulator.now
                instance.follow(effect.term, effect.primary)
                return InstanceReported(SERVICE, self._report(target))

    def _report(self, target: InstanceNode) -> Report:
        return target.instance.report(self.simulator.now - target.primary_heard_at)

    def push_reports(self) -> None:
        """Push the reports of all instances."""
        for target in self.instances:
            if target.alive and not target.paused:
                self.push_report(target)

    def push_report(self, target: InstanceNode) -> None:
        """Send an instance's report to all that watch it."""
        message = InstanceReported(SERVICE, self._report(target))
        for node in self.proxies:
            if target.name in node.watched_instances:
                self.send_to_proxy(target, node, message)

    def replicate_all(self) -> None:
        """Let each replica pull from its primary."""
        for replica in self.instances:
            if replica.instance.role is Role.REPLICA and replica.alive and not replica.paused:
                self._pull(replica)

    def _pull(self, replica: InstanceNode) -> None:
        primary = self.instance(replica.instance.following)
        if replica.is_pulling or not primary.alive or primary.paused:
            return
        cuts = self.simulator.cut_links
        if (replica.name, primary.name) in cuts or (primary.name, replica.name) in cuts:
            return
        if primary.instance.role is not Role.PRIMARY:
            return
        if primary.instance.term != replica.instance.term:
            return
        keep = primary.instance.find_match_index(replica.instance.term_history)
        entries = list(primary.instance.log[keep:])
        term = primary.instance.term
        if not entries and keep == len(replica.instance.log):
            replica.primary_heard_at = self.simulator.now
            return
        replica.is_pulling = True

        def apply() -> None:
            replica.is_pulling = False
            replica.primary_heard_at = self.simulator.now
            if replica.alive and replica.instance.append_entries(term, keep, entries):
                self.push_report(replica)

        def arrive() -> None:
            self.simulator.call_on_node(replica, apply)

        self.simulator.call_later(replica.lag + self.simulator.delay, arrive)
