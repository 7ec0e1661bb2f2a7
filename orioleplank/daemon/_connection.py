"""A database connection to an instance: a task that runs one statement at a time on a stream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import grpc

from orioleplank._protos import orioleplank_upstream_pb2 as pb
from orioleplank._protos import orioleplank_upstream_pb2_grpc as rpc
from orioleplank.decision.quorum import ConnectionClosed, ConnectionId, ConnectionOpened, Message
from orioleplank.wire import decode_statement_reply

OPEN_TIMEOUT_S = 2.0


class Connection:
    """A database connection, carried by one gRPC stream.

    `post` receives `ConnectionOpened`, a message for each reply, and `ConnectionClosed` when
    the stream ends, also when it was not opened within `OPEN_TIMEOUT_S`.
    """

    def __init__(
        self,
        connection_id: ConnectionId,
        channel: grpc.aio.Channel,
        post: Callable[[Message], None],
    ) -> None:
        self._connection_id = connection_id
        self._channel = channel
        self._post = post
        self._statements: asyncio.Queue[pb.Statement] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Start opening the stream."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, statement: pb.Statement) -> None:
        """Queue a statement; it is sent when the one before it has been answered."""
        self._statements.put_nowait(statement)

    def close(self) -> None:
        """Cancel the stream; no further messages are posted for it."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        call = rpc.UpstreamStub(self._channel).Connect()
        try:
            await self._serve_statements(call)
        except (grpc.aio.AioRpcError, TimeoutError, KeyError, asyncio.InvalidStateError):
            pass
        finally:
            call.cancel()
        self._post(ConnectionClosed(self._connection_id))

    async def _serve_statements(self, call: grpc.aio.StreamStreamCall) -> None:
        opening_reply = await asyncio.wait_for(call.read(), OPEN_TIMEOUT_S)
        if opening_reply is grpc.aio.EOF or opening_reply.status != pb.STATEMENT_STATUS_DONE:
            return
        self._post(ConnectionOpened(self._connection_id))
        while True:
            await call.write(await self._statements.get())
            reply = await call.read()
            if reply is grpc.aio.EOF:
                return
            self._post(decode_statement_reply(self._connection_id, reply))
