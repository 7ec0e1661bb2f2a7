"""Simulated links between proxies and instances (control, reports) and between instances."""

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
    """Delivers control messages, reports and log entries."""

    def __init__(
        self,
        simulator: Simulator,
        safeguards: Safeguards,
        handle_message: MessageHandler,
        on_step: StepListener,
    ) -> None:
        self.simulator = simulator
        self.safeguards = safeguards
        self.handle_message = handle_message
        self.on_step = on_step
        self.instances: list[InstanceNode] = []
        self.proxies: list[ProxyNode] = []

    def instance(self, name: str) -> InstanceNode:
        """Return the instance called `name`."""
        return next(node for node in self.instances if node.name == name)

    def send_to_proxy(
        self, source: InstanceNode, node: ProxyNode, message: Message, is_reply: bool = False
    ) -> None:
        """Send a message from an instance to a proxy; no effect if the instance is not alive."""
        if source.alive:
            self.simulator.deliver(
                source.name, node.name, lambda: self.handle_message(node, message), is_reply
            )

    def send_control(
        self,
        node: ProxyNode,
        effect: ProbeInstance | QueryLedger | SendSeal | SendPromote | SendFollow,
    ) -> None:
        """Execute a control effect of a proxy and send the result back."""
        instance_node = self.instance(effect.instance)

        def arrive() -> None:
            message = self._apply_control(instance_node, effect)
            if isinstance(effect, SendSeal):
                self.on_step("promotion.sealing", node.name, instance_node.name)
            if message is not None:
                self.send_to_proxy(instance_node, node, message)

        if instance_node.alive:
            self.simulator.deliver(node.name, instance_node.name, arrive)
        elif isinstance(effect, QueryLedger):
            state = LedgerState.UNREACHABLE
            answer = LedgerAnswered(effect.service, effect.instance, effect.query_number, state)
            self.simulator.call_later(0.002, lambda: self.handle_message(node, answer))

    def _apply_control(
        self,
        instance_node: InstanceNode,
        effect: ProbeInstance | QueryLedger | SendSeal | SendPromote | SendFollow,
    ) -> Message | None:
        instance = instance_node.instance
        match effect:
            case ProbeInstance():
                return InstanceReported(SERVICE, self._report(instance_node), effect.round_number)
            case QueryLedger():
                state, entry = instance.look_up_ledger(
                    effect.ledger_id, effect.term, effect.tombstone
                )
                outcome = instance.ledger_outcome(effect.ledger_id)
                return LedgerAnswered(
                    SERVICE, instance_node.name, effect.query_number, state, entry.position, outcome
                )
            case SendSeal():
                granted = instance.seal(effect.term)
                return SealAnswered(SERVICE, effect.term, granted, self._report(instance_node))
            case SendPromote():
                if self.safeguards.is_enabled(Safeguard.SEALING):
                    granted = instance.promote(effect.term)
                else:
                    granted = instance.promote_unsealed(effect.term)
                return PromoteAnswered(SERVICE, effect.term, granted, self._report(instance_node))
            case SendFollow():
                instance_node.primary_heard_at = self.simulator.now
                instance.follow(effect.term, effect.primary)
                return InstanceReported(SERVICE, self._report(instance_node))

    def _report(self, instance_node: InstanceNode) -> Report:
        return instance_node.instance.report(self.simulator.now - instance_node.primary_heard_at)

    def push_reports(self) -> None:
        """Send the reports of all instances that are running."""
        for instance_node in self.instances:
            if instance_node.alive and not instance_node.paused:
                self.push_report(instance_node)

    def push_report(self, instance_node: InstanceNode) -> None:
        """Send an instance's report to all proxies that watch it."""
        message = InstanceReported(SERVICE, self._report(instance_node))
        for node in self.proxies:
            if instance_node.name in node.watched_instances:
                self.send_to_proxy(instance_node, node, message)

    def replicate_all(self) -> None:
        """Let each running replica fetch log entries from its primary."""
        for replica in self.instances:
            if replica.instance.role is Role.REPLICA and replica.alive and not replica.paused:
                self._fetch_entries(replica)

    def _fetch_entries(self, replica: InstanceNode) -> None:
        primary = self.instance(replica.instance.following)
        if replica.is_pulling or not primary.alive or primary.paused:
            return
        cut_links = self.simulator.cut_links
        if (replica.name, primary.name) in cut_links or (primary.name, replica.name) in cut_links:
            return
        if primary.instance.role is not Role.PRIMARY:
            return
        if primary.instance.term != replica.instance.term:
            return
        match_index = primary.instance.find_match_index(replica.instance.term_history)
        entries = list(primary.instance.log[match_index:])
        term = primary.instance.term
        if not entries and match_index == len(replica.instance.log):
            replica.primary_heard_at = self.simulator.now
            return
        replica.is_pulling = True

        def apply() -> None:
            replica.is_pulling = False
            replica.primary_heard_at = self.simulator.now
            if replica.alive and replica.instance.append_entries(term, match_index, entries):
                self.push_report(replica)

        def arrive() -> None:
            self.simulator.call_on_node(replica, apply)

        self.simulator.call_later(replica.lag + self.simulator.delay, arrive)
