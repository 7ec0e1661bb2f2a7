"""Streams to proxies."""

from __future__ import annotations

import asyncio

import grpc

from orioleplank._exceptions import OrioleplankError
from orioleplank._protos import orioleplank_caller_pb2 as pb
from orioleplank._protos import orioleplank_caller_pb2_grpc as rpc

OPEN_LIMIT_S = 2.0


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

    @property
    def idle(self) -> bool:
        """True when no reply is awaited."""
        return not self._waiting

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
                waiting = self._waiting.get(reply.id)
                if waiting is not None and not waiting.done():
                    waiting.set_result(reply)
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            pass
        finally:
            self._break()

    def _break(self) -> None:
        self.alive = False
        for waiting in self._waiting.values():
            if not waiting.done():
                error = StreamLostError("await reply", self.address, "the stream broke")
                waiting.set_exception(error)


class Caller:
    """Streams to several proxies, as a balancer would spread them."""

    def __init__(self, addresses: tuple[str, ...]) -> None:
        self._addresses = addresses
        self._streams: dict[str, Stream] = {}
        self._old: list[Stream] = []
        self._next = 0

    def stream(self, avoid: str = "") -> Stream:
        """Return a stream to the next proxy that has not asked to be left."""
        for _ in self._addresses:
            address = self._addresses[self._next % len(self._addresses)]
            self._next += 1
            stream = self._open(address)
            if not stream.move and address != avoid:
                return stream
        return self._open(self._addresses[self._next % len(self._addresses)])

    def _open(self, address: str) -> Stream:
        stream = self._streams.get(address)
        if stream is None or not stream.alive:
            if stream is not None:
                self._old.append(stream)
            stream = self._streams[address] = Stream(address)
        return stream

    async def close(self) -> None:
        """End all streams."""
        for stream in [*self._streams.values(), *self._old]:
            await stream.close()
