"""gRPC streams to proxies, and their distribution over several proxies."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import grpc

from orioleplank._exceptions import OrioleplankError
from orioleplank._protos import orioleplank_caller_pb2 as pb
from orioleplank._protos import orioleplank_caller_pb2_grpc as rpc

# Time for which a proxy gets no new stream after its stream broke or it asked its callers to
# reconnect.
STREAM_RETRY_DELAY_S = 3.0


class StreamLostError(OrioleplankError):
    """The stream broke before the reply arrived; the request may have run."""


class Stream:
    """A bidirectional stream to one proxy.

    `alive` is false once the stream is unusable. `move` is true once the proxy has asked the caller
    to reconnect to another proxy. Requests may be sent concurrently.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self.alive = True
        self.move = False
        self._channel = grpc.aio.insecure_channel(
            address, (("grpc.use_local_subchannel_pool", 1), ("grpc.enable_retries", 0))
        )
        self._call = rpc.CallerStub(self._channel).Session()
        self._pending_replies: dict[str, asyncio.Future[pb.CallerReply]] = {}
        self._hold_count = 0
        self._is_half_closed = False
        self._write_lock = asyncio.Lock()
        self._read_task = asyncio.get_running_loop().create_task(self._read())

    async def ask(self, request: pb.CallerRequest) -> pb.CallerReply:
        """Send a request and return its reply; raise `StreamLostError` if the stream breaks."""
        pending_reply: asyncio.Future[pb.CallerReply] = asyncio.get_running_loop().create_future()
        self._pending_replies[request.id] = pending_reply
        try:
            if not self.alive:
                raise StreamLostError("send request", self.address, "the stream is closed")
            async with self._write_lock:
                await self._call.write(request)
            return await pending_reply
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError) as error:
            self.alive = False
            raise StreamLostError("send request", self.address, str(error)) from error
        finally:
            self._pending_replies.pop(request.id, None)
            self._half_close_when_idle()

    @contextmanager
    def held(self) -> Iterator[None]:
        """Keep the stream open during a transaction, even if the caller is asked to reconnect."""
        self._hold_count += 1
        try:
            yield
        finally:
            self._hold_count -= 1
            self._half_close_when_idle()

    async def close(self) -> None:
        """Cancel the stream and close its channel."""
        self.alive = False
        self._call.cancel()
        self._read_task.cancel()
        await self._channel.close()

    async def _read(self) -> None:
        try:
            while (reply := await self._call.read()) is not grpc.aio.EOF:
                self.move = self.move or reply.move
                self._half_close_when_idle()
                pending_reply = self._pending_replies.get(reply.id)
                if pending_reply is not None and not pending_reply.done():
                    pending_reply.set_result(reply)
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            pass
        finally:
            self._fail_pending_replies()

    def _half_close_when_idle(self) -> None:
        """Half-close the stream if the caller was asked to reconnect and the stream is idle.

        It is idle if no reply is pending and no transaction holds it.
        """
        if (
            self.move
            and not self._is_half_closed
            and not self._pending_replies
            and not self._hold_count
        ):
            self._is_half_closed = True
            self.alive = False
            self._half_close_task = asyncio.get_running_loop().create_task(self._half_close())

    async def _half_close(self) -> None:
        try:
            async with self._write_lock:
                await self._call.done_writing()
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            pass

    def _fail_pending_replies(self) -> None:
        self.alive = False
        for pending_reply in self._pending_replies.values():
            if not pending_reply.done():
                error = StreamLostError("await reply", self.address, "the stream broke")
                pending_reply.set_exception(error)


class Caller:
    """Distributes streams over several proxies in round-robin order.

    A proxy that has asked its callers to reconnect, or whose stream broke, gets no new stream for
    `STREAM_RETRY_DELAY_S`, unless this applies to every proxy.
    """

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self._addresses = addresses
        self._streams: dict[str, Stream] = {}
        self._replaced_streams: list[Stream] = []
        self._retry_at: dict[str, float] = {}
        self._next_index = 0

    def stream(self) -> Stream:
        """Return a stream to the next available proxy, reusing an open one."""
        now = asyncio.get_running_loop().time()
        for _ in self._addresses:
            address = self._addresses[self._next_index % len(self._addresses)]
            self._next_index += 1
            if self._retry_at.get(address, 0.0) <= now:
                stream = self._get_stream(address, now)
                if stream is not None:
                    return stream
        return self._get_any_stream()

    def _get_stream(self, address: str, now: float) -> Stream | None:
        stream = self._streams.get(address)
        if stream is None:
            stream = self._streams[address] = Stream(address)
            return stream
        if stream.alive and not stream.move:
            return stream
        del self._streams[address]
        self._replaced_streams.append(stream)
        self._retry_at[address] = now + STREAM_RETRY_DELAY_S
        return None

    def _get_any_stream(self) -> Stream:
        """Return a stream to the next proxy although every proxy is in its retry delay."""
        address = self._addresses[self._next_index % len(self._addresses)]
        stream = self._streams.get(address)
        if stream is None or not stream.alive:
            stream = self._streams[address] = Stream(address)
        return stream

    async def close(self) -> None:
        """Close all streams, including those that were replaced."""
        for stream in [*self._streams.values(), *self._replaced_streams]:
            await stream.close()
