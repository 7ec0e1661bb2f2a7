"""Links to the other proxies: each proxy dials all others and only the dialling side sends."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator

import grpc
from twisted.internet.defer import Deferred

from orioleplank._protos import orioleplank_peer_pb2 as pb
from orioleplank._protos import orioleplank_peer_pb2_grpc as rpc
from orioleplank.daemon import _service_names as names
from orioleplank.decision.quorum import (
    HeartbeatAck,
    HeartbeatReceived,
    ObjectKey,
    ObjectKind,
    ObjectsReceived,
    ProxyIdentity,
    RequestSlots,
    SendHeartbeat,
    SendObjects,
    SlotHolding,
    SlotsReceived,
    SlotsRequested,
    StoredObject,
    TransferSlots,
    VmsListed,
)
from orioleplank.kernel import Service

REOPEN_S = 0.2
OUTGOING_LIMIT = 100


class _Link:
    """The link to one proxy: a task that owns its stream."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._outgoing: asyncio.Queue[pb.PeerMessage] = asyncio.Queue(OUTGOING_LIMIT)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: pb.PeerMessage) -> None:
        """Send a message; the oldest is dropped when the peer does not read."""
        if self._outgoing.full():
            self._outgoing.get_nowait()
        self._outgoing.put_nowait(message)

    def close(self) -> None:
        """End the link."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._serve()
            except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
                pass
            await asyncio.sleep(REOPEN_S)

    async def _serve(self) -> None:
        async with grpc.aio.insecure_channel(self.address) as channel:
            call = rpc.PeerStub(channel).Link()
            while True:
                await call.write(await self._outgoing.get())


class PeerTransport(Service, rpc.PeerServicer):
    """Owns the links."""

    def __init__(self, identity: ProxyIdentity, address: str) -> None:
        super().__init__(names.PEERS)
        self._identity = identity
        self._address = address
        self._links: dict[str, _Link] = {}
        self._server: grpc.aio.Server | None = None

    def start(self) -> None:
        """Listen."""
        self._server = grpc.aio.server()
        rpc.add_PeerServicer_to_server(self, self._server)
        self._server.add_insecure_port(self._address)
        asyncio.get_running_loop().create_task(self._server.start())

    def stop(self) -> Deferred[None]:
        """Close all links."""
        for link in self._links.values():
            link.close()
        assert self._server is not None
        return Deferred.fromFuture(asyncio.ensure_future(self._server.stop(None)))

    def receive(self, message: object) -> None:
        """Send to peers, or take the list of VMs."""
        match message:
            case SendHeartbeat():
                sent = encode_heartbeat(self._identity, message)
                for link in self._links.values():
                    link.send(sent)
            case SendObjects(proxy=proxy):
                if proxy in self._links:
                    self._links[proxy].send(_write_objects(message))
            case RequestSlots(proxy=proxy) | TransferSlots(proxy=proxy):
                if proxy in self._links:
                    self._links[proxy].send(_write_slots(self._identity.name, message))
            case VmsListed(vms):
                entries = {vm.name: vm.address for vm in vms if vm.entry}
                self._dial(entries)

    def _dial(self, entries: dict[str, str]) -> None:
        entries.pop(self._identity.name, None)
        for name, link in list(self._links.items()):
            if entries.get(name) != link.address:
                link.close()
                del self._links[name]
        for name, address in entries.items():
            if name not in self._links:
                self._links[name] = _Link(address)

    async def Link(  # noqa: N802
        self, requests: AsyncIterator[pb.PeerMessage], context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.PeerMessage]:
        """Take what a peer sends."""
        async for message in requests:
            self._take(message)
        return
        yield pb.PeerMessage()

    def _take(self, message: pb.PeerMessage) -> None:
        decisions = self.kernel.get_service(names.DECISIONS)
        match message.WhichOneof("body"):
            case "heartbeat":
                decisions.post(_read_heartbeat(message.heartbeat))
            case "objects":
                decisions.post(_read_objects(message.objects))
            case "wanted":
                wanted = message.wanted
                decisions.post(
                    SlotsRequested(
                        wanted.proxy,
                        wanted.service,
                        wanted.instance,
                        wanted.epoch,
                        wanted.count,
                    )
                )
            case "given":
                given = message.given
                decisions.post(
                    SlotsReceived(given.service, given.instance, given.epoch, given.count)
                )


def encode_heartbeat(identity: ProxyIdentity, heartbeat: SendHeartbeat) -> pb.PeerMessage:
    return pb.PeerMessage(
        heartbeat=pb.PeerHeartbeat(
            proxy=identity.name,
            incarnation=identity.incarnation,
            revision=heartbeat.revision,
            newest=heartbeat.newest_version,
            stopping=heartbeat.stopping,
            unreachable_services=heartbeat.unreachable_services,
            headless_services=heartbeat.headless_services,
            number=heartbeat.number,
            echoes=[
                pb.PeerEcho(incarnation=echo.incarnation, number=echo.number)
                for echo in heartbeat.acks
            ],
            holdings=[
                pb.PeerHolding(service=item.service, epoch=item.released_epoch, slots=item.slots)
                for item in heartbeat.holdings
            ],
        )
    )


def _read_heartbeat(message: pb.PeerHeartbeat) -> HeartbeatReceived:
    return HeartbeatReceived(
        message.proxy,
        message.incarnation,
        message.revision,
        message.newest,
        message.stopping,
        tuple(message.unreachable_services),
        tuple(message.headless_services),
        message.number,
        tuple(HeartbeatAck(echo.incarnation, echo.number) for echo in message.echoes),
        tuple(SlotHolding(item.service, item.epoch, item.slots) for item in message.holdings),
    )


def _write_slots(proxy: str, effect: RequestSlots | TransferSlots) -> pb.PeerMessage:
    match effect:
        case RequestSlots(service=service, instance=instance, epoch=epoch, count=count):
            wanted = pb.PeerSlotsWanted(
                proxy=proxy, service=service, instance=instance, epoch=epoch, count=count
            )
            return pb.PeerMessage(wanted=wanted)
        case TransferSlots(service=service, instance=instance, epoch=epoch, count=count):
            given = pb.PeerSlotsGiven(service=service, instance=instance, epoch=epoch, count=count)
            return pb.PeerMessage(given=given)


def _write_objects(effect: SendObjects) -> pb.PeerMessage:
    return pb.PeerMessage(
        objects=pb.PeerObjects(
            revision=effect.revision,
            objects=[
                pb.PeerObject(
                    kind=stored.key.kind.value,
                    name=stored.key.name,
                    version=stored.version,
                    body=stored.body,
                )
                for stored in effect.objects
            ],
        )
    )


def _read_objects(message: pb.PeerObjects) -> ObjectsReceived:
    known = {kind.value for kind in ObjectKind}
    return ObjectsReceived(
        message.revision,
        tuple(
            StoredObject(ObjectKey(ObjectKind(item.kind), item.name), item.version, item.body)
            for item in message.objects
            if item.kind in known
        ),
    )
