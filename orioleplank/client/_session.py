"""A caller's session: its token goes with every request, through whichever proxy."""

from __future__ import annotations

from orioleplank._protos import orioleplank_caller_pb2 as pb
from orioleplank.client._caller import Stream


class Session:
    """Carries the newest token from answer to request."""

    def __init__(self) -> None:
        self.token = b""

    def prepare(self, request: pb.CallerRequest) -> pb.CallerRequest:
        """Add the session's token to a request."""
        request.token = self.token
        request.new_session = not self.token
        return request

    def learn(self, reply: pb.CallerReply) -> pb.CallerReply:
        """Take the token of an answer."""
        if reply.WhichOneof("outcome") == "answer":
            self.token = reply.answer.token
        return reply

    async def ask(self, stream: Stream, request: pb.CallerRequest) -> pb.CallerReply:
        """Send a request of this session and take its reply."""
        return self.learn(await stream.ask(self.prepare(request)))
