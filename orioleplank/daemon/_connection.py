"""One connection to an instance: a task that owns its stream and runs one statement at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import grpc

from orioleplank._protos import orioleplank_upstream_pb2 as pb
from orioleplank._protos import orioleplank_upstream_pb2_grpc as rpc
from orioleplank.decision.quorum import ConnectionClosed, ConnectionId, ConnectionOpened, Message
from orioleplank.wire import decode_statement_reply

OPEN_LIMIT_S = 2.0


class Connection:
    """A stream that is one database connection."""

    def __init__(
        self,
        connection: ConnectionId,
        channel: grpc.aio.Channel,
        tell: Callable[[Message], None],
    ) -> None:
        self._connection = connection
        self._channel = channel
        self._tell = tell
        self._statements: asyncio.Queue[pb.Statement] = asyncio.Queue()
        self._task: asyncio.Task[None] | None = None

    def start(self) -> None:
        """Open the stream."""
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, statement: pb.Statement) -> None:
        """Send a statement once the one before it is answered."""
        self._statements.put_nowait(statement)

    def close(self) -> None:
        """End the stream; nothing is told of it any more."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        call = rpc.UpstreamStub(self._channel).Connect()
        try:
            await self._serve(call)
        except (grpc.aio.AioRpcError, TimeoutError, KeyError, asyncio.InvalidStateError):
            pass
        finally:
            call.cancel()
        self._tell(ConnectionClosed(self._connection))

    async def _serve(self, call: grpc.aio.StreamStreamCall) -> None:
        greeting = await asyncio.wait_for(call.read(), OPEN_LIMIT_S)
        if greeting is grpc.aio.EOF or greeting.status != pb.STATEMENT_STATUS_DONE:
            return
        self._tell(ConnectionOpened(self._connection))
        while True:
            await call.write(await self._statements.get())
            reply = await call.read()
            if reply is grpc.aio.EOF:
                return
            self._tell(decode_statement_reply(self._connection, reply))
