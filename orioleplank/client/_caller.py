"""Streams to proxies."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator
from contextlib import contextmanager

import grpc

from orioleplank._exceptions import OrioleplankError
from orioleplank._protos import orioleplank_caller_pb2 as pb
from orioleplank._protos import orioleplank_caller_pb2_grpc as rpc

DOWN_S = 3.0


class StreamLostError(OrioleplankError):
    """A stream broke before a reply came; the request may have run."""


class Stream:
    """One stream to one proxy."""

    def __init__(self, address: str) -> None:
        self.address = address
        self.alive = True
        self.move = False
        self._channel = grpc.aio.insecure_channel(
            address, (("grpc.use_local_subchannel_pool", 1), ("grpc.enable_retries", 0))
        )
        self._call = rpc.CallerStub(self._channel).Session()
        self._waiting: dict[str, asyncio.Future[pb.CallerReply]] = {}
        self._holds = 0
        self._ended = False
        self._writing = asyncio.Lock()
        self._reader = asyncio.get_running_loop().create_task(self._read())

    async def ask(self, request: pb.CallerRequest) -> pb.CallerReply:
        """Send a request and return its reply; raise `StreamLostError` when the stream breaks."""
        waiting: asyncio.Future[pb.CallerReply] = asyncio.get_running_loop().create_future()
        self._waiting[request.id] = waiting
        try:
            if not self.alive:
                raise StreamLostError("send request", self.address, "the stream is closed")
            async with self._writing:
                await self._call.write(request)
            return await waiting
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError) as error:
            self.alive = False
            raise StreamLostError("send request", self.address, str(error)) from error
        finally:
            self._waiting.pop(request.id, None)
            self._leave_when_idle()

    @contextmanager
    def held(self) -> Iterator[None]:
        """Keep the stream while a transaction on it is open, even when asked to move."""
        self._holds += 1
        try:
            yield
        finally:
            self._holds -= 1
            self._leave_when_idle()

    async def close(self) -> None:
        """End the stream."""
        self.alive = False
        self._call.cancel()
        self._reader.cancel()
        await self._channel.close()

    async def _read(self) -> None:
        try:
            while (reply := await self._call.read()) is not grpc.aio.EOF:
                self.move = self.move or reply.move
                self._leave_when_idle()
                waiting = self._waiting.get(reply.id)
                if waiting is not None and not waiting.done():
                    waiting.set_result(reply)
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            pass
        finally:
            self._break()

    def _leave_when_idle(self) -> None:
        """End this side once the proxy has asked to move and nothing is in progress."""
        if self.move and not self._ended and not self._waiting and not self._holds:
            self._ended = True
            self.alive = False
            self._ending = asyncio.get_running_loop().create_task(self._end())

    async def _end(self) -> None:
        try:
            async with self._writing:
                await self._call.done_writing()
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            pass

    def _break(self) -> None:
        self.alive = False
        for waiting in self._waiting.values():
            if not waiting.done():
                error = StreamLostError("await reply", self.address, "the stream broke")
                waiting.set_exception(error)


class Caller:
    """Streams to several proxies, as a balancer would spread them.

    A proxy that has asked to be left, or whose stream broke, gets no new stream for a while.
    """

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self._addresses = addresses
        self._streams: dict[str, Stream] = {}
        self._left: list[Stream] = []
        self._down_until: dict[str, float] = {}
        self._next = 0

    def stream(self) -> Stream:
        """Return a stream to the next proxy."""
        now = asyncio.get_running_loop().time()
        for _ in self._addresses:
            address = self._addresses[self._next % len(self._addresses)]
            self._next += 1
            if self._down_until.get(address, 0.0) <= now:
                stream = self._use(address, now)
                if stream is not None:
                    return stream
        return self._use_any()

    def _use(self, address: str, now: float) -> Stream | None:
        stream = self._streams.get(address)
        if stream is None:
            stream = self._streams[address] = Stream(address)
            return stream
        if stream.alive and not stream.move:
            return stream
        del self._streams[address]
        self._left.append(stream)
        self._down_until[address] = now + DOWN_S
        return None

    def _use_any(self) -> Stream:
        """Return a stream although every proxy is to be left alone."""
        address = self._addresses[self._next % len(self._addresses)]
        stream = self._streams.get(address)
        if stream is None or not stream.alive:
            stream = self._streams[address] = Stream(address)
        return stream

    async def close(self) -> None:
        """End all streams."""
        for stream in [*self._streams.values(), *self._left]:
            await stream.close()
