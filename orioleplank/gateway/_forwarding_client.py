"""Client side of forwarding: sends statements to connection owners and receives their responses.

A statement that an owner reports as not sent is refused as "busy", since nothing has run. A
statement to which the owner got no reply, or that was pending when a channel broke, is in doubt.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from itertools import count
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed

from orioleplank.decision import Position
from orioleplank.decision.accounts import ANONYMOUS
from orioleplank.decision.failover import InstanceReport
from orioleplank.decision.instances import InstanceEntry
from orioleplank.decision.membership import ProxyRecord
from orioleplank.decision.session import (
    INITIAL_CONNECTION_STATE,
    ConnectionSetupStep,
    ExecutableStatement,
    Failure,
    FailureCode,
    Reply,
    TransactionState,
)
from orioleplank.gateway._channels import ChannelDialer
from orioleplank.gateway._frames import (
    Answered,
    BeginAsked,
    CommitAsked,
    LinkClosed,
    NotSent,
    ReportAsked,
    Reported,
    ResponseFrame,
    RollBackAsked,
    RunAsked,
    StepDownAsked,
    decode_reply,
    decode_report,
    encode_position,
    encode_statement,
)
from orioleplank.gateway._interfaces import (
    CallerLeftError,
    InstanceRefusedError,
    InstanceUnreachableError,
    RequestOptions,
)
from orioleplank.gateway._owner_channel import OWNER_AVOIDANCE_S, OwnerChannel
from orioleplank.gateway._owner_loads import OwnerLoads

# Reason given when a statement is not sent because all owners are avoided.
NO_OWNER_REASON = "no owner of its connections is reached"
# Options of requests that the proxy makes for itself, such as probes.
INTERNAL_OPTIONS = RequestOptions(ANONYMOUS, priority=0, timeout=0.0)


class ForwardingClient:
    """Holds the channels to all owners, and the owners that are avoided for each instance."""

    def __init__(self, own_name: str, dialer: ChannelDialer, now: Callable[[], float]) -> None:
        self._own_name = own_name
        self._dialer = dialer
        self._now = now
        self._by_address: dict[str, OwnerChannel] = {}
        self._numbers = count(1)
        # The load reports of the owners.
        self.owner_loads = OwnerLoads(now)
        # The channel to this proxy itself; None until its forwarding server is built.
        self.loopback_channel: OwnerChannel | None = None
        # Until when an owner is avoided for an instance, in seconds, by (instance, owner).
        self._avoided: dict[tuple[str, str], float] = {}

    @property
    def now(self) -> Callable[[], float]:
        """The monotonic clock: a function that returns its time in seconds."""
        return self._now

    @property
    def channel_addresses(self) -> set[str]:
        """Return the addresses of the proxies to which channels exist."""
        return set(self._by_address)

    def next_number(self) -> int:
        """Return a new number for a link or a request, unique within this process."""
        return next(self._numbers)

    def channel(self, owner: ProxyRecord) -> OwnerChannel:
        """Return the channel to an owner, which may be this proxy."""
        channel = self._find_channel(owner)
        if channel is None:
            channel = OwnerChannel(owner.address, self._dialer, self._now)
            self._by_address[owner.address] = channel
        return channel

    def _find_channel(self, owner: ProxyRecord) -> OwnerChannel | None:
        if owner.name == self._own_name and self.loopback_channel is not None:
            return self.loopback_channel
        return self._by_address.get(owner.address)

    def close_channels_except(self, addresses: Collection[str]) -> None:
        """Close the channels to proxies that are no longer at one of these addresses."""
        obsolete = [address for address in self._by_address if address not in addresses]
        for address in obsolete:
            self._by_address.pop(address).close()

    def avoid(self, instance: str, owner: str) -> None:
        """Avoid an owner for an instance for `OWNER_AVOIDANCE_S`."""
        now = self._now()
        self._avoided = {
            pair: avoided_until
            for pair, avoided_until in self._avoided.items()
            if avoided_until > now
        }
        self._avoided[instance, owner] = now + OWNER_AVOIDANCE_S

    def is_avoided(self, instance: str, owner: ProxyRecord) -> bool:
        """Return whether an owner is avoided for an instance now."""
        if self._now() < self._avoided.get((instance, owner.name), 0.0):
            return True
        channel = self._find_channel(owner)
        return channel is not None and channel.is_unresponsive


class ForwardingLink:
    """A logical connection to an instance through its owners; implements `InstanceLink`.

    Outside a transaction the owner is chosen for each statement; a transaction stays at one owner.
    """

    def __init__(
        self,
        entry: InstanceEntry,
        forwarding: ForwardingClient,
        choose_owner: Callable[[str], ProxyRecord | None],
        on_unreachable: Callable[[], None],
    ) -> None:
        self._entry = entry
        self._forwarding = forwarding
        self._choose_owner = choose_owner
        self._on_unreachable = on_unreachable
        self._link_id = forwarding.next_number()
        self._state = INITIAL_CONNECTION_STATE
        self._options = INTERNAL_OPTIONS
        # Owner at which the transaction is open; None outside a transaction.
        self._transaction_owner: ProxyRecord | None = None
        # The request without a response: its owner, correlation id and send time; None without one.
        self._pending_request: tuple[ProxyRecord, int, float] | None = None

    # Operations of `InstanceLink`.

    @property
    def has_replied_on_opening(self) -> bool:
        """False: only a reply shows that the instance is healthy."""
        return False

    @property
    def account(self) -> None:
        """None: each statement states its account to the owner."""
        return None

    def set_next_request_options(self, options: RequestOptions) -> None:
        """Set the options of the next request."""
        self._options = options

    def prepare(self, step: ConnectionSetupStep) -> Deferred[Reply]:
        """Record a session value or prepared name locally; it is sent along with statements."""
        self._state = self._state.apply(step)
        return succeed(Reply(state=self._transaction_state))

    def begin(self, read_only: bool, min_position: Position | None) -> Deferred[Reply]:
        """Begin a transaction at an instance whose log has reached `min_position`."""
        owner = self._choose_owner(self._options.account.name)
        if owner is None:
            return succeed(self._busy_reply(NO_OWNER_REASON))
        self._transaction_owner = owner
        frame = BeginAsked(**self._common_fields(min_position), read_only=read_only)
        return self._request_cancellable_reply(owner, frame)

    def run(
        self,
        request_id: str,
        statement: ExecutableStatement,
        prepared_name: str,
        min_position: Position | None,
    ) -> Deferred[Reply]:
        """Run a statement under the caller's request id.

        The log of the instance must have reached `min_position`.
        """
        owner = self._transaction_owner or self._choose_owner(self._options.account.name)
        if owner is None:
            return succeed(self._busy_reply(NO_OWNER_REASON))
        mode, prepared_text, arguments = encode_statement(statement)
        frame = RunAsked(
            **self._common_fields(min_position),
            request_id=request_id,
            mode=mode,
            prepared_text=prepared_text,
            arguments=arguments,
            in_transaction=self._transaction_owner is not None,
        )
        if self._transaction_owner is not None:
            return self._request_reply(owner, frame)
        return self._request_cancellable_reply(owner, frame)

    def _common_fields(self, min_position: Position | None) -> dict[str, Any]:
        """Return the fields that `RunAsked` and `BeginAsked` have in common."""
        return {
            "link_id": self._link_id,
            "correlation_id": self._forwarding.next_number(),
            "instance": self._entry.id,
            "priority": self._options.priority,
            "timeout": self._options.timeout,
            "values": dict(self._state.values),
            "min_position": encode_position(min_position),
            "account": self._options.account.name,
            "account_priority": self._options.account.priority,
        }

    def commit(self, request_id: str) -> Deferred[Reply]:
        """Commit under the caller's request id; has no effect outside a transaction."""
        correlation_id = self._forwarding.next_number()
        frame = CommitAsked(self._link_id, correlation_id, request_id, self._options.timeout)
        return self._request_transaction_end(frame)

    def roll_back(self) -> Deferred[Reply]:
        """Roll back; has no effect outside a transaction."""
        return self._request_transaction_end(
            RollBackAsked(self._link_id, self._forwarding.next_number())
        )

    def fetch_report(self) -> Deferred[InstanceReport]:
        """Request the state of the instance; fails with `InstanceRefusedError` if it is busy."""
        owner = self._choose_owner(ANONYMOUS.name)
        if owner is None:
            return fail(self._unreachable_error(NO_OWNER_REASON))
        frame = ReportAsked(self._forwarding.next_number(), self._entry.id)
        return self._request_response(owner, frame).addCallback(self._handle_report, owner)

    def step_down(self, term: int) -> Deferred[Reply]:
        """Demote the instance to a replica if it is the primary of a lower term."""
        owner = self._choose_owner(ANONYMOUS.name)
        if owner is None:
            return fail(self._unreachable_error(NO_OWNER_REASON))
        correlation_id = self._forwarding.next_number()
        return self._request_reply(owner, StepDownAsked(correlation_id, self._entry.id, term))

    def close(self) -> None:
        """Abandon the pending request and the open transaction."""
        if self._pending_request is not None:
            owner, correlation_id, sent_at = self._pending_request
            channel = self._forwarding.channel(owner)
            channel.send_frame(LinkClosed(self._link_id))
            channel.abandon_request(correlation_id, sent_at)
        elif self._transaction_owner is not None:
            self._forwarding.channel(self._transaction_owner).send_frame(LinkClosed(self._link_id))
        self._pending_request = self._transaction_owner = None

    # Requests and responses.

    @property
    def _transaction_state(self) -> TransactionState:
        return TransactionState.OPEN if self._transaction_owner else TransactionState.IDLE

    def _request_transaction_end(self, frame: CommitAsked | RollBackAsked) -> Deferred[Reply]:
        if self._transaction_owner is None:
            return succeed(Reply())
        return self._request_reply(self._transaction_owner, frame)

    def _request_reply(self, owner: ProxyRecord, frame: Any) -> Deferred[Reply]:
        return self._request_response(owner, frame).addCallback(self._handle_reply, owner)

    def _request_cancellable_reply(self, owner: ProxyRecord, frame: Any) -> Deferred[Reply]:
        """Send a request that holds no open transaction; it is abandoned if its caller leaves.

        The owner then ends its wait for a connection. A request that it has sent on runs to its
        end there, and its reply is dropped.
        """
        pending_reply = self._request_reply(owner, frame)
        revoke = self._options.cancellation.add_callback(self._abandon_request)

        def handle_reply(reply: Any) -> Any:
            revoke()
            return reply

        return pending_reply.addBoth(handle_reply)

    def _abandon_request(self) -> None:
        """Fail the pending request, which may have run, and notify its owner."""
        if self._pending_request is None:
            return
        owner, correlation_id, _ = self._pending_request
        self._pending_request = self._transaction_owner = None
        channel = self._forwarding.channel(owner)
        channel.send_frame(LinkClosed(self._link_id))
        error = CallerLeftError("await reply", self._entry.id, "the caller has left")
        channel.fail_abandoned(correlation_id, error)

    def _request_response(self, owner: ProxyRecord, frame: Any) -> Deferred[ResponseFrame]:
        self._pending_request = (owner, frame.correlation_id, self._forwarding.now())
        pending_response = self._forwarding.channel(owner).send_request(frame)
        loads, sent_at = self._forwarding.owner_loads, self._forwarding.now()
        loads.record_sent(self._entry.id, owner.name, frame)

        def record_load(response: ResponseFrame) -> ResponseFrame:
            loads.record_response(self._entry.id, owner.name, frame, response, sent_at)
            return response

        def clear_pending_request(response: Any) -> Any:
            if (
                self._pending_request is not None
                and self._pending_request[1] == frame.correlation_id
            ):
                self._pending_request = None
            return response

        return pending_response.addCallback(record_load).addCallback(clear_pending_request)

    def _handle_reply(self, response: ResponseFrame, owner: ProxyRecord) -> Reply:
        match response:
            case Answered():
                reply = decode_reply(response)
                if reply.state is TransactionState.IDLE:
                    self._transaction_owner = None
                return reply
            case NotSent(_, reason, is_unreachable, retry_after):
                if is_unreachable:
                    self._record_unreachable(owner)
                self._transaction_owner = None
                return self._busy_reply(reason, retry_after)
            case _:
                self._transaction_owner = None
                self._forwarding.avoid(self._entry.id, owner.name)
                raise self._unreachable_error(getattr(response, "reason", "an unexpected answer"))

    def _handle_report(self, response: ResponseFrame, owner: ProxyRecord) -> InstanceReport:
        match response:
            case Reported():
                return decode_report(response)
            case NotSent(_, reason, is_unreachable=False):
                raise InstanceRefusedError("ask for report", self._entry.id, reason)
            case _:
                self._forwarding.avoid(self._entry.id, owner.name)
                raise self._unreachable_error(getattr(response, "reason", "an unexpected answer"))

    def _record_unreachable(self, owner: ProxyRecord) -> None:
        """Avoid the owner; without another owner the instance itself counts as unreachable."""
        self._forwarding.avoid(self._entry.id, owner.name)
        if self._choose_owner(ANONYMOUS.name) is None:
            self._on_unreachable()

    def _busy_reply(self, reason: str, retry_after: float | None = None) -> Reply:
        return Reply(failure=Failure(FailureCode.BUSY, f"not sent: {reason}", retry_after))

    def _unreachable_error(self, reason: str) -> InstanceUnreachableError:
        return InstanceUnreachableError("ask instance", self._entry.id, reason)
