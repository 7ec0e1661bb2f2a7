"""Client sessions, which send their consistency token with every request to any proxy."""

from __future__ import annotations

from orioleplank._protos import orioleplank_caller_pb2 as pb
from orioleplank.client._caller import Stream


class Session:
    """A session of a caller, which adds the token of its latest answer to its next request.

    `token` is empty until the first answer.
    """

    def __init__(self) -> None:
        self.token = b""

    def prepare(self, request: pb.CallerRequest) -> pb.CallerRequest:
        """Set the session fields of `request` in place and return it."""
        request.token = self.token
        request.new_session = not self.token
        return request

    def learn(self, reply: pb.CallerReply) -> pb.CallerReply:
        """Store the token of `reply` if it is an answer; return the reply unchanged."""
        if reply.WhichOneof("outcome") == "answer":
            self.token = reply.answer.token
        return reply

    async def ask(self, stream: Stream, request: pb.CallerRequest) -> pb.CallerReply:
        """Send a request of this session over `stream` and store the token of its reply."""
        return self.learn(await stream.ask(self.prepare(request)))
