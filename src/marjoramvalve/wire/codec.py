"""Authenticated encoding of messages: a keyed BLAKE2b digest followed by msgpack."""

import hashlib
import hmac
from dataclasses import dataclass

import msgspec

from marjoramvalve.wire import messages as m

MAC_BYTES = 16
MAC_PERSON = b"marjoramvalvewir"

AnyMessage = (
    m.PreVoteRequest
    | m.PreVoteResponse
    | m.VoteRequest
    | m.VoteResponse
    | m.AppendEntries
    | m.AppendEntriesResponse
    | m.InstallSnapshot
    | m.Poll
    | m.PollResponse
    | m.SlotRequest
    | m.SlotGrant
    | m.HeldSlotsQuery
    | m.HeldSlotsReport
    | m.BucketTokenRequest
    | m.BucketTokenGrant
    | m.TokenOffer
    | m.TokenTransfer
    | m.KeeperBeginRequest
    | m.KeeperResponse
    | m.KeeperFinishRequest
    | m.HandOver
    | m.HandOverAck
    | m.Quarantine
)


class _Payload(msgspec.Struct, frozen=True, array_like=True):
    src: str
    address: str
    dst: str
    body: AnyMessage


@dataclass(frozen=True, slots=True)
class Envelope:
    """A received message with the name and the peer address of its sender."""

    src: str
    address: str
    body: m.Message


class Codec:
    """Encodes messages of one instance and decodes those authenticated by the fleet's secret."""

    def __init__(self, secret: bytes, name: str, address: str) -> None:
        self._key = hashlib.blake2b(secret, digest_size=32).digest()
        self._name = name
        self._address = address
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(_Payload)

    def _mac(self, raw: bytes) -> bytes:
        return hashlib.blake2b(
            raw, key=self._key, digest_size=MAC_BYTES, person=MAC_PERSON
        ).digest()

    def encode(self, body: m.Message, dst: str = "") -> bytes:
        """Returns the frame for a message; only the instance named `dst`, if given, accepts it."""
        raw = self._encoder.encode(_Payload(self._name, self._address, dst, body))
        return self._mac(raw) + raw

    def decode(self, frame: bytes) -> Envelope | None:
        """Returns the envelope, or None if the frame is forged, corrupt or for another instance."""
        raw = frame[MAC_BYTES:]
        if not hmac.compare_digest(frame[:MAC_BYTES], self._mac(raw)):
            return None
        try:
            payload = self._decoder.decode(raw)
        except msgspec.DecodeError:
            return None
        if payload.dst and payload.dst != self._name:
            return None
        return Envelope(payload.src, payload.address, payload.body)
