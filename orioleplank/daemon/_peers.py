"""Links to the other proxies.

Each proxy opens a stream to every other proxy and sends only on the streams that it opened.
"""

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

REOPEN_INTERVAL_S = 0.2
MAX_QUEUED_MESSAGES = 100


class _Link:
    """The link to one proxy: a task that keeps the stream open and sends queued messages."""

    def __init__(self, address: str) -> None:
        self.address = address
        self._outgoing: asyncio.Queue[pb.PeerMessage] = asyncio.Queue(MAX_QUEUED_MESSAGES)
        self._task = asyncio.get_running_loop().create_task(self._run())

    def send(self, message: pb.PeerMessage) -> None:
        """Queue a message; when the queue is full, its oldest message is dropped."""
        if self._outgoing.full():
            self._outgoing.get_nowait()
        self._outgoing.put_nowait(message)

    def close(self) -> None:
        """Cancel the stream and stop reopening it."""
        self._task.cancel()

    async def _run(self) -> None:
        while True:
            try:
                await self._send_queued()
            except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
                pass
            await asyncio.sleep(REOPEN_INTERVAL_S)

    async def _send_queued(self) -> None:
        async with grpc.aio.insecure_channel(self.address) as channel:
            call = rpc.PeerStub(channel).Link()
            while True:
                await call.write(await self._outgoing.get())


class PeerTransport(Service, rpc.PeerServicer):
    """Owns the links to other proxies and serves the links that they open.

    There is a link to each VM of the latest list that runs a proxy, except to this one.
    """

    def __init__(self, identity: ProxyIdentity, address: str) -> None:
        super().__init__(names.PEERS)
        self._identity = identity
        self._address = address
        self._links: dict[str, _Link] = {}
        self._server: grpc.aio.Server | None = None

    def start(self) -> None:
        """Start the gRPC server."""
        self._server = grpc.aio.server()
        rpc.add_PeerServicer_to_server(self, self._server)
        self._server.add_insecure_port(self._address)
        asyncio.get_running_loop().create_task(self._server.start())

    def stop(self) -> Deferred[None]:
        """Close all links and stop the gRPC server."""
        for link in self._links.values():
            link.close()
        assert self._server is not None
        return Deferred.fromFuture(asyncio.ensure_future(self._server.stop(None)))

    def receive(self, message: object) -> None:
        """Send a message to one or all peers, or update the links from the list of VMs."""
        match message:
            case SendHeartbeat():
                encoded = encode_heartbeat(self._identity, message)
                for link in self._links.values():
                    link.send(encoded)
            case SendObjects(proxy=proxy):
                if proxy in self._links:
                    self._links[proxy].send(_encode_objects(message))
            case RequestSlots(proxy=proxy) | TransferSlots(proxy=proxy):
                if proxy in self._links:
                    self._links[proxy].send(_encode_slots(self._identity.name, message))
            case VmsListed(vms):
                peer_addresses = {vm.name: vm.address for vm in vms if vm.entry}
                self._update_links(peer_addresses)

    def _update_links(self, peer_addresses: dict[str, str]) -> None:
        peer_addresses.pop(self._identity.name, None)
        for name, link in list(self._links.items()):
            if peer_addresses.get(name) != link.address:
                link.close()
                del self._links[name]
        for name, address in peer_addresses.items():
            if name not in self._links:
                self._links[name] = _Link(address)

    async def Link(  # noqa: N802
        self, requests: AsyncIterator[pb.PeerMessage], context: grpc.aio.ServicerContext
    ) -> AsyncIterator[pb.PeerMessage]:
        """Receive messages from a peer until it closes the link; nothing is sent back."""
        async for message in requests:
            self._handle_message(message)
        return
        yield pb.PeerMessage()  # Never reached; makes this function an async generator.

    def _handle_message(self, message: pb.PeerMessage) -> None:
        decisions = self.kernel.get_service(names.DECISIONS)
        match message.WhichOneof("body"):
            case "heartbeat":
                decisions.post(_decode_heartbeat(message.heartbeat))
            case "objects":
                decisions.post(_decode_objects(message.objects))
            case "wanted":
                slot_request = message.wanted
                decisions.post(
                    SlotsRequested(
                        slot_request.proxy,
                        slot_request.service,
                        slot_request.instance,
                        slot_request.epoch,
                        slot_request.count,
                    )
                )
            case "given":
                slot_transfer = message.given
                decisions.post(
                    SlotsReceived(
                        slot_transfer.service,
                        slot_transfer.instance,
                        slot_transfer.epoch,
                        slot_transfer.count,
                    )
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


def _decode_heartbeat(message: pb.PeerHeartbeat) -> HeartbeatReceived:
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


def _encode_slots(sender: str, effect: RequestSlots | TransferSlots) -> pb.PeerMessage:
    match effect:
        case RequestSlots(service=service, instance=instance, epoch=epoch, count=count):
            slot_request = pb.PeerSlotsWanted(
                proxy=sender, service=service, instance=instance, epoch=epoch, count=count
            )
            return pb.PeerMessage(wanted=slot_request)
        case TransferSlots(service=service, instance=instance, epoch=epoch, count=count):
            slot_transfer = pb.PeerSlotsGiven(
                service=service, instance=instance, epoch=epoch, count=count
            )
            return pb.PeerMessage(given=slot_transfer)


def _encode_objects(effect: SendObjects) -> pb.PeerMessage:
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


def _decode_objects(message: pb.PeerObjects) -> ObjectsReceived:
    known_kinds = {kind.value for kind in ObjectKind}
    return ObjectsReceived(
        message.revision,
        tuple(
            StoredObject(ObjectKey(ObjectKind(item.kind), item.name), item.version, item.body)
            for item in message.objects
            if item.kind in known_kinds
        ),
    )
