"""Connections to instances, which use the platform's line protocol."""

from __future__ import annotations

from collections import deque
from typing import Any

from msgspec import Struct, field
from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientCreator, Protocol, connectionDone
from twisted.python.failure import Failure as TwistedFailure

from orioleplank._exceptions import OrioleplankError
from orioleplank._socket_options import set_tcp_timeouts
from orioleplank.decision import Position
from orioleplank.decision.failover import InstanceReport
from orioleplank.decision.instances import DbRole, InstanceEntry
from orioleplank.decision.session import (
    ConnectionSetupStep,
    ExecutableStatement,
    Failure,
    FailureCode,
    Reply,
    TransactionState,
    is_write,
)
from orioleplank.gateway import (
    InstanceLink,
    InstanceRefusedError,
    InstanceUnreachableError,
    Intake,
    LimitReason,
    LimitSide,
    RequestOptions,
    TunnelRoute,
)
from orioleplank.platform import _codec as codec
from orioleplank.platform._line_buffer import DELIMITER, LineBuffer

# Timeout for opening a connection, and for its greeting; it allows for several round trips between
# regions.
DIAL_TIMEOUT_S = 1.0
# Caller name under which the proxy connects to instances for callers without an account.
PROXY_CALLER_NAME = "orioleplank"

# Columns of a report that are read: role, term, received position, and as the sixth one the running
# statements.
REPORT_COLUMNS = 6
_ROLES = frozenset(role.value for role in DbRole)


class _PendingRequest(Struct):
    """A statement without a complete reply."""

    # Fires with the complete reply.
    result: Deferred[Reply] = field(default_factory=Deferred)
    # True for a read of a caller, which changes nothing if it has run.
    is_read: bool = False
    # Rows received so far.
    rows: list[str] = field(default_factory=list)
    # Bytes of these rows.
    row_bytes: int = 0
    # Signature of a successful execution; empty until it is received.
    signature: str = ""
    # Error reported by the instance; None until one is received.
    failure: Failure | None = None


class InstanceProtocol(Protocol):
    """Connection to one instance; implements the gateway's `InstanceLink`.

    Replies arrive in the order of the requests. A protocol violation closes the connection.
    """

    def __init__(
        self,
        entry: InstanceEntry,
        prologue: bytes = b"",
        account: str = "",
        *,
        intake: Intake,
    ) -> None:
        self._entry = entry
        self._intake = intake
        self._buffer = LineBuffer(codec.MAX_MESSAGE_BYTES)
        self._is_closing = False
        self._account = account
        self._prologue = prologue
        self._pending_requests: deque[_PendingRequest] = deque()
        self.greeted: Deferred[InstanceLink] = Deferred()
        self._is_greeted = False

    # Methods called by the gateway.

    @property
    def has_replied_on_opening(self) -> bool:
        """True: opening this connection has shown that the instance responds."""
        return True

    @property
    def account(self) -> str:
        """Name of the account under which the connection was opened; empty for the proxy."""
        return self._account

    def set_next_request_options(self, options: RequestOptions) -> None:
        """Do nothing; the instance handles statements in order of arrival."""

    def prepare(self, step: ConnectionSetupStep) -> Deferred[Reply]:
        """Set a value, prepare a statement or reset the connection."""
        return self._send_query(codec.PROXY_REQUEST_ID, codec.format_setup_step(step))

    def begin(self, read_only: bool, min_position: Position | None) -> Deferred[Reply]:
        """Begin a transaction; the instance must have reached `min_position`, if given."""
        text = "BEGIN READ" if read_only else "BEGIN"
        return self._send_query(codec.PROXY_REQUEST_ID, codec.add_min_position(text, min_position))

    def run(
        self,
        request_id: str,
        statement: ExecutableStatement,
        prepared_name: str,
        min_position: Position | None,
    ) -> Deferred[Reply]:
        """Run a statement with the caller's request id.

        The instance must have reached `min_position`, if given.
        """
        text = codec.format_statement(statement, prepared_name)
        text = codec.add_min_position(text, min_position)
        return self._send_query(request_id, text, is_read=not is_write(statement))

    def commit(self, request_id: str) -> Deferred[Reply]:
        """Commit the transaction with the caller's request id."""
        return self._send_query(request_id, "COMMIT")

    def roll_back(self) -> Deferred[Reply]:
        """Roll back the transaction."""
        return self._send_query(codec.PROXY_REQUEST_ID, "ROLLBACK")

    def fetch_report(self) -> Deferred[InstanceReport]:
        """Request a report of the instance's state.

        Fails with `InstanceRefusedError` if the instance responds with an error, for example
        because it is busy, or if the report is incomplete or contains no valid position.
        """
        return self._send_query(codec.PROXY_REQUEST_ID, "STATUS").addCallback(self._read_report)

    def step_down(self, term: int) -> Deferred[Reply]:
        """Make the instance a replica if it is the primary of a term lower than `term`."""
        return self._send_query(codec.PROXY_REQUEST_ID, f"STEPDOWN {term}")

    def close(self) -> None:
        """Abort the connection; requests without a complete reply fail."""
        self._is_closing = True
        if self.transport is not None:
            self.transport.abortConnection()

    # Methods called by Twisted.

    def connectionMade(self) -> None:  # noqa: N802
        """Send the start message, which contains the id that the instance is expected to have."""
        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        set_tcp_timeouts(transport.getHandle())
        if self._prologue:
            transport.write(self._prologue)
        caller = self._account or PROXY_CALLER_NAME
        self._send(f"STARTUP {self._entry.service} {caller} {self._entry.id}")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle received messages; bytes are dropped while the connection is being closed."""
        if self._is_closing:
            return
        self._buffer.append(data)
        while not self._is_closing:
            if self._buffer.is_too_long:
                self._close_for_limit(
                    LimitReason.MESSAGE, f"a message has over {codec.MAX_MESSAGE_BYTES} bytes"
                )
                return
            if not self._buffer.has_line:
                break
            self._handle_message(self._buffer.take_line())
        self._intake.record(self)

    def count_held_bytes(self) -> int:
        """Return the bytes of replies that are not complete."""
        return len(self._buffer) + sum(pending.row_bytes for pending in self._pending_requests)

    def close_for_budget(self) -> None:
        """Close the connection, because the process holds too much and most of it here."""
        self._close_for_limit(LimitReason.PROCESS, "this proxy holds too many bytes of replies")

    def _handle_message(self, line: bytes) -> None:
        """Handle one message; an unexpected one closes the connection."""
        message_type, _, rest = line.decode(codec.ENCODING).partition(" ")
        if not self._is_greeted:
            self._handle_greeting(message_type, rest)
            return
        if not self._pending_requests:
            self.close()
            return
        pending = self._pending_requests[0]
        match message_type:
            case "DATAROW":
                self._add_row(pending, rest)
            case "COMPLETE":
                pending.signature = rest
            case "ERROR":
                code, _, detail = rest.partition(" ")
                pending.failure = Failure(codec.parse_code(code), detail)
            case "READY":
                self._complete_reply(pending, rest)
            case _:
                self.close()

    def connectionLost(self, reason: TwistedFailure = connectionDone) -> None:  # noqa: N802
        """Fail the greeting or all requests without a complete reply."""
        self._is_closing = True
        self._buffer.clear()
        self._intake.forget(self)
        self.transport = None
        error = InstanceUnreachableError("ask instance", self._entry.id, "the connection broke")
        if not self._is_greeted:
            self._is_greeted = True
            self.greeted.errback(error)
        pending_requests, self._pending_requests = self._pending_requests, deque()
        for pending in pending_requests:
            if not pending.result.called:
                pending.result.errback(error)

    def _send_query(self, request_id: str, text: str, is_read: bool = False) -> Deferred[Reply]:
        pending = _PendingRequest(is_read=is_read)
        if self.transport is None or not self.transport.connected:
            error = InstanceUnreachableError("ask instance", self._entry.id, "it is closed")
            pending.result.errback(error)
            return pending.result
        self._pending_requests.append(pending)
        self._send(f"QUERY {request_id} {text}")
        return pending.result

    def _send(self, line: str) -> None:
        transport: Any = self.transport
        transport.writeSequence((line.encode(codec.ENCODING), DELIMITER))

    def _add_row(self, pending: _PendingRequest, row: str) -> None:
        pending.rows.append(row)
        pending.row_bytes += len(row)
        limit = self._intake.limits.reply_bytes
        if pending.row_bytes > limit:
            self._close_for_limit(LimitReason.REPLY, f"the reply has over {limit} bytes")

    def _close_for_limit(self, reason: LimitReason, detail: str) -> None:
        """Answer the request in progress with the limit that its reply met, and close.

        It is no failure of the instance, which has replied, so it must not cause a failover.
        """
        self._intake.report(LimitSide.INSTANCE, reason, instance=self._entry.id)
        self.close()
        self._buffer.clear()
        if not self._pending_requests:
            return
        pending = self._pending_requests.popleft()
        pending.rows.clear()
        text = f"program read reply: {detail}; the statement may have run"
        # A read is not repeated elsewhere, where its reply is as large.
        code = FailureCode.TOO_LARGE if pending.is_read else FailureCode.IN_DOUBT
        failure = Failure(code, text)
        if not pending.result.called:
            pending.result.callback(Reply((), "-", failure, TransactionState.FAILED))

    def _handle_greeting(self, message_type: str, rest: str) -> None:
        self._is_greeted = True
        if message_type == "READY":
            self.greeted.callback(self)
            return
        error = InstanceRefusedError("open connection", self._entry.id, rest or message_type)
        self.greeted.errback(error)
        self.close()

    def _complete_reply(self, pending: _PendingRequest, rest: str) -> None:
        state_letter, _, position = rest.partition(" ")
        state = codec.parse_state(state_letter)
        if state is None or not (pending.signature or pending.failure):
            self.close()
            return
        self._pending_requests.popleft()
        reply = Reply(
            tuple(pending.rows),
            pending.signature or "-",
            pending.failure,
            state,
            codec.parse_position(position),
        )
        pending.result.callback(reply)

    def _read_report(self, reply: Reply) -> InstanceReport:
        columns = reply.rows[0].split(" ") if reply.rows else []
        if reply.failure is None and len(columns) >= REPORT_COLUMNS and columns[0] in _ROLES:
            term, running_statements = codec.parse_number(columns[1]), codec.parse_number(
                columns[5]
            )
            received_position = codec.parse_position(columns[2])
            if (
                term is not None
                and running_statements is not None
                and received_position is not None
            ):
                return InstanceReport(
                    self._entry.id,
                    DbRole(columns[0]),
                    term,
                    received_position,
                    running_statements=running_statements,
                )
        detail = reply.failure.code.value if reply.failure else "the report is not readable"
        raise InstanceRefusedError("ask for report", self._entry.id, detail)


class InstanceDialer:
    """Opens connections to instances; implements the gateway's `Dialer`."""

    def __init__(self, reactor: Any, intake: Intake) -> None:
        self._reactor = reactor
        self._intake = intake

    def dial(
        self, entry: InstanceEntry, tunnel_route: TunnelRoute | None, account: str
    ) -> Deferred[InstanceLink]:
        """Open a connection, directly or through another proxy, and wait for its greeting.

        The instance is told the name of `account`; of this proxy if it is empty.

        Fails with `InstanceUnreachableError` or `InstanceRefusedError`.
        """
        address = tunnel_route.address if tunnel_route else entry.address
        host, _, port = address.rpartition(":")
        prologue = tunnel_route.prologue if tunnel_route else b""
        creator = ClientCreator(
            self._reactor, InstanceProtocol, entry, prologue, account, intake=self._intake
        )

        def convert_error(failure: TwistedFailure) -> TwistedFailure:
            if isinstance(failure.value, OrioleplankError):
                return failure
            detail = type(failure.value).__name__
            raise InstanceUnreachableError("open connection", entry.id, detail)

        def await_greeting(protocol: InstanceProtocol) -> Deferred[InstanceLink]:
            timer = self._reactor.callLater(DIAL_TIMEOUT_S, protocol.close)

            def cancel_timer(result: Any) -> Any:
                if timer.active():
                    timer.cancel()
                return result

            return protocol.greeted.addBoth(cancel_timer)

        connecting: Any = creator.connectTCP(host, int(port), timeout=DIAL_TIMEOUT_S)
        opened: Deferred[InstanceLink] = connecting.addCallback(await_greeting).addErrback(
            convert_error
        )
        return opened
