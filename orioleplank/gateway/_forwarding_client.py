"""Sends statements to owners of an instance's connections, and takes their answers.

What an owner says was not sent comes back as "busy", which is true: nothing ran. What it sent and
got no answer to, and what was under way when a channel broke, may have run.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from itertools import count
from typing import Any

from twisted.internet.defer import Deferred, fail, succeed

from orioleplank.decision import Position
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
from orioleplank.gateway._channels import Channel, ChannelDialer, ChannelLostError
from orioleplank.gateway._frames import (
    Answered,
    BeginAsked,
    CommitAsked,
    LinkClosed,
    NotSent,
    ReportAsked,
    Reported,
    RequestFrame,
    ResponseFrame,
    RollBackAsked,
    RunAsked,
    StepDownAsked,
    Unanswered,
    decode_frame,
    decode_reply,
    decode_report,
    encode_frame,
    encode_position,
    encode_statement,
)
from orioleplank.gateway._interfaces import InstanceRefusedError, InstanceUnreachableError

# How long an owner that is not reached, or does not reach the instance, is avoided, in seconds:
# until all others could be tried.
AVOID_S = 3.0
# An owner that has said nothing for this long while an answer was wanted is not trusted to live,
# in seconds: several round trips between regions.
SILENT_S = 0.4
# Why a statement is not sent when all owners are avoided.
NO_OWNER = "no owner of its connections is reached"
# Priority of the proxy's own questions.
OWN_PRIORITY = 0


class OwnerChannel:
    """The channel to one owner; it is opened when it is first needed, and again when it broke."""

    def __init__(self, address: str, channels: ChannelDialer, now: Callable[[], float]) -> None:
        self._address = address
        self._channels = channels
        self._now = now
        self._channel: Channel | None = None
        self._is_opening = False
        self._waiting: list[RequestFrame] = []
        self._questions: dict[int, Deferred[ResponseFrame]] = {}
        # When each open question was asked, oldest first, and when the owner was heard last, in
        # seconds.
        self._asked_at: dict[int, float] = {}
        self._heard_at = now()
        # Until when the owner is avoided because it was silent, in seconds.
        self._avoided_until = float("-inf")

    @property
    def is_silent(self) -> bool:
        """True while the owner owes an answer and says nothing, so that others are asked."""
        now = self._now()
        if now < self._avoided_until:
            return True
        oldest = next(iter(self._asked_at.values()), now)
        return now - max(oldest, self._heard_at) >= SILENT_S

    def ask(self, frame: Any) -> Deferred[ResponseFrame]:
        """Ask; the answer is `NotSent` or `Unanswered` when the channel breaks."""
        result: Deferred[ResponseFrame] = Deferred()
        self._questions[frame.correlation_id] = result
        self._asked_at[frame.correlation_id] = self._now()
        self.tell(frame)
        return result

    def tell(self, frame: RequestFrame) -> None:
        """Send a frame."""
        if self._channel is not None:
            self._channel.send(encode_frame(frame))
            return
        self._waiting.append(frame)
        if not self._is_opening:
            self._is_opening = True
            self._channels.open(self._address, self).addCallbacks(
                self._take_open, self._take_failure
            )

    def close(self) -> None:
        """End the channel; what was asked may have run."""
        if self._channel is not None:
            self._channel.close()

    def forget(self, number: int, asked_at: float) -> None:
        """Wait for an answer no more; an owner that was silent all the while is dropped."""
        self._questions.pop(number, None)
        self._asked_at.pop(number, None)
        now = self._now()
        if self._heard_at < asked_at and now - asked_at >= SILENT_S:
            self._avoided_until = now + AVOID_S
            self.close()

    # The channel's side.

    def handle_frame(self, frame: bytes) -> None:
        """Take an answer; one that nobody waits for is dropped."""
        self._heard_at = self._now()
        told = decode_frame(frame)
        match told:
            case Answered() | Reported() | NotSent() | Unanswered():
                self._settle(told.correlation_id, told)
            case _:
                self.close()

    def handle_channel_closed(self) -> None:
        """What was asked may have run."""
        self._channel = None
        for number in list(self._questions):
            self._settle(number, Unanswered(number, "the channel to its owner broke"))

    def _take_open(self, channel: Channel) -> None:
        self._is_opening = False
        self._channel = channel
        waiting, self._waiting = self._waiting, []
        for frame in waiting:
            channel.send(encode_frame(frame))

    def _take_failure(self, failure: Any) -> None:
        failure.trap(ChannelLostError)
        self._is_opening = False
        self._waiting.clear()
        for number in list(self._questions):
            self._settle(number, NotSent(number, "its owner is not reached", True))

    def _settle(self, number: int, told: ResponseFrame) -> None:
        result = self._questions.pop(number, None)
        self._asked_at.pop(number, None)
        if result is not None and not result.called:
            result.callback(told)


class ForwardingClient:
    """All channels to owners."""

    def __init__(self, me: str, channels: ChannelDialer, now: Callable[[], float]) -> None:
        self._me = me
        self._channels = channels
        self._now = now
        self._by_address: dict[str, OwnerChannel] = {}
        self._numbers = count(1)
        # The channel to this proxy itself; None until its carrier is built.
        self.loopback_channel: OwnerChannel | None = None
        # Until when an owner is not asked for an instance, in seconds.
        self._avoided: dict[tuple[str, str], float] = {}

    @property
    def now(self) -> Callable[[], float]:
        """Return the steady clock, in seconds."""
        return self._now

    @property
    def channel_addresses(self) -> set[str]:
        """Return the addresses of the proxies to which there are channels."""
        return set(self._by_address)

    def next_number(self) -> int:
        """Return a number that was not used before."""
        return next(self._numbers)

    def channel(self, owner: ProxyRecord) -> OwnerChannel:
        """Return the channel to an owner, which may be this proxy."""
        if owner.name == self._me and self.loopback_channel is not None:
            return self.loopback_channel
        channel = self._by_address.get(owner.address)
        if channel is None:
            channel = OwnerChannel(owner.address, self._channels, self._now)
            self._by_address[owner.address] = channel
        return channel

    def close_channels_except(self, addresses: Collection[str]) -> None:
        """Close the channels to proxies at other addresses: they are gone."""
        gone = [address for address in self._by_address if address not in addresses]
        for address in gone:
            self._by_address.pop(address).close()

    def avoid(self, instance: str, owner: str) -> None:
        """Ask an owner no more for an instance, for a while."""
        now = self._now()
        self._avoided = {pair: until for pair, until in self._avoided.items() if until > now}
        self._avoided[instance, owner] = now + AVOID_S

    def is_avoided(self, instance: str, owner: ProxyRecord) -> bool:
        """Tell whether an owner is not asked for an instance now."""
        if self._now() < self._avoided.get((instance, owner.name), 0.0):
            return True
        return self.channel(owner).is_silent


class ForwardingLink:
    """A use of an instance through its owners; implements the gateway's `InstanceLink`.

    Outside a transaction each statement goes to whichever owner is best then.
    """

    def __init__(
        self,
        entry: InstanceEntry,
        forwarding: ForwardingClient,
        choose_owner: Callable[[], ProxyRecord | None],
        on_unreachable: Callable[[], None],
    ) -> None:
        self._entry = entry
        self._forwarding = forwarding
        self._choose_owner = choose_owner
        self._on_unreachable = on_unreachable
        self._link = forwarding.next_number()
        self._state = INITIAL_CONNECTION_STATE
        self._priority = OWN_PRIORITY
        self._seconds = 0.0
        # The owner that holds its transaction's connection.
        self._bound_to: ProxyRecord | None = None
        # The question that is not answered: whom, its number, when it was asked.
        self._open_question: tuple[ProxyRecord, int, float] | None = None

    # The gateway's side.

    @property
    def is_direct(self) -> bool:
        """False: only an answer shows that the instance lives."""
        return False

    def set_next_request_options(self, priority: int, seconds: float) -> None:
        """Tell how important the next question is, and how long its answer is waited for."""
        self._priority, self._seconds = priority, seconds

    def prepare(self, step: ConnectionSetupStep) -> Deferred[Reply]:
        """Change values or prepared names; they go along with the statements."""
        self._state = self._state.apply(step)
        return succeed(Reply(state=self._phase))

    def begin(self, read_only: bool, min_position: Position | None) -> Deferred[Reply]:
        """Begin a transaction, on a log that has reached `min_position`."""
        owner = self._choose_owner()
        if owner is None:
            return succeed(self._refuse(NO_OWNER))
        self._bound_to = owner
        return self._ask(
            owner, BeginAsked(**self._describe_work(min_position), read_only=read_only)
        )

    def run(
        self,
        request_id: str,
        statement: ExecutableStatement,
        prepared_name: str,
        min_position: Position | None,
    ) -> Deferred[Reply]:
        """Run a statement under the caller's id, on a log that has reached `min_position`."""
        owner = self._bound_to or self._choose_owner()
        if owner is None:
            return succeed(self._refuse(NO_OWNER))
        mode, shape, arguments = encode_statement(statement)
        frame = RunAsked(
            **self._describe_work(min_position),
            request_id=request_id,
            mode=mode,
            prepared_text=shape,
            arguments=arguments,
            in_transaction=self._bound_to is not None,
        )
        return self._ask(owner, frame)

    def _describe_work(self, min_position: Position | None) -> dict[str, Any]:
        """Return the fields that all uses of the instance have."""
        return {
            "link_id": self._link,
            "correlation_id": self._forwarding.next_number(),
            "instance": self._entry.id,
            "priority": self._priority,
            "timeout": self._seconds,
            "values": dict(self._state.values),
            "min_position": encode_position(min_position),
        }

    def commit(self, request_id: str) -> Deferred[Reply]:
        """Commit under the caller's id."""
        number = self._forwarding.next_number()
        frame = CommitAsked(self._link, number, request_id, self._seconds)
        return self._ask_bound(frame)

    def roll_back(self) -> Deferred[Reply]:
        """Roll back."""
        return self._ask_bound(RollBackAsked(self._link, self._forwarding.next_number()))

    def fetch_report(self) -> Deferred[InstanceReport]:
        """Ask the instance for its state; fails with `InstanceRefusedError` when it is busy."""
        owner = self._choose_owner()
        if owner is None:
            return fail(self._unreachable(NO_OWNER))
        frame = ReportAsked(self._forwarding.next_number(), self._entry.id)
        return self._exchange(owner, frame).addCallback(self._read_report, owner)

    def step_down(self, term: int) -> Deferred[Reply]:
        """Make a primary of a lower term a replica."""
        owner = self._choose_owner()
        if owner is None:
            return fail(self._unreachable(NO_OWNER))
        number = self._forwarding.next_number()
        return self._ask(owner, StepDownAsked(number, self._entry.id, term))

    def close(self) -> None:
        """Give up what is asked, and the transaction."""
        if self._open_question is not None:
            owner, number, asked_at = self._open_question
            channel = self._forwarding.channel(owner)
            channel.tell(LinkClosed(self._link))
            channel.forget(number, asked_at)
        elif self._bound_to is not None:
            self._forwarding.channel(self._bound_to).tell(LinkClosed(self._link))
        self._open_question = self._bound_to = None

    # Questions.

    @property
    def _phase(self) -> TransactionState:
        return TransactionState.OPEN if self._bound_to else TransactionState.IDLE

    def _ask_bound(self, frame: CommitAsked | RollBackAsked) -> Deferred[Reply]:
        if self._bound_to is None:
            return succeed(Reply())
        return self._ask(self._bound_to, frame)

    def _ask(self, owner: ProxyRecord, frame: Any) -> Deferred[Reply]:
        return self._exchange(owner, frame).addCallback(self._read_reply, owner)

    def _exchange(self, owner: ProxyRecord, frame: Any) -> Deferred[ResponseFrame]:
        self._open_question = (owner, frame.correlation_id, self._forwarding.now())
        asked = self._forwarding.channel(owner).ask(frame)

        def settle(told: Any) -> Any:
            if self._open_question is not None and self._open_question[1] == frame.correlation_id:
                self._open_question = None
            return told

        return asked.addCallback(settle)

    def _read_reply(self, told: ResponseFrame, owner: ProxyRecord) -> Reply:
        match told:
            case Answered():
                reply = decode_reply(told)
                if reply.state is TransactionState.IDLE:
                    self._bound_to = None
                return reply
            case NotSent(_, why, is_unreachable, retry_after):
                if is_unreachable:
                    self._take_unreachable(owner)
                self._bound_to = None
                return self._refuse(why, retry_after)
            case _:
                self._bound_to = None
                self._forwarding.avoid(self._entry.id, owner.name)
                raise self._unreachable(getattr(told, "reason", "an unexpected answer"))

    def _read_report(self, told: ResponseFrame, owner: ProxyRecord) -> InstanceReport:
        match told:
            case Reported():
                return decode_report(told)
            case NotSent(_, why, is_unreachable=False):
                raise InstanceRefusedError("ask for report", self._entry.id, why)
            case _:
                self._forwarding.avoid(self._entry.id, owner.name)
                raise self._unreachable(getattr(told, "reason", "an unexpected answer"))

    def _take_unreachable(self, owner: ProxyRecord) -> None:
        """Avoid the owner; when no other one is left the instance itself is in doubt."""
        self._forwarding.avoid(self._entry.id, owner.name)
        if self._choose_owner() is None:
            self._on_unreachable()

    def _refuse(self, why: str, retry_after: float | None = None) -> Reply:
        return Reply(failure=Failure(FailureCode.BUSY, f"not sent: {why}", retry_after))

    def _unreachable(self, why: str) -> InstanceUnreachableError:
        return InstanceUnreachableError("ask instance", self._entry.id, why)
