"""Call tokens: signed context that an upstream passes on with its sub-calls."""

import base64
import binascii
import hashlib
import hmac

import msgspec

MAC_BYTES = 16
HASH_PERSONALIZATION = b"marjoramvalvetok"


class CallToken(msgspec.Struct, frozen=True, array_like=True):
    """Context of a call: request id, customer, priority rank, retries left and deadline.

    `deadline_ms` is wall-clock time in milliseconds. The customer is empty if the call came in on
    an open route, without an API key.
    """

    request_id: str
    customer: str
    rank: int
    retries: int
    deadline_ms: int
    depth: int
    traceparent: str = ""


class TokenSigner:
    """Signs and verifies call tokens with a key derived from the fleet secret."""

    def __init__(self, secret: bytes) -> None:
        self._key = hashlib.blake2b(secret, digest_size=32, person=HASH_PERSONALIZATION).digest()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(CallToken)

    def _mac(self, raw: bytes) -> bytes:
        return hashlib.blake2b(raw, key=self._key, digest_size=MAC_BYTES).digest()

    def sign(self, token: CallToken) -> str:
        """Returns the signed token, encoded for use in a header."""
        raw = self._encoder.encode(token)
        return base64.urlsafe_b64encode(self._mac(raw) + raw).decode()

    def verify(self, text: str, now_ms: int) -> CallToken | None:
        """Returns the token, or None if it is malformed, wrongly signed or expired."""
        try:
            signed = base64.urlsafe_b64decode(text.encode())
        except (binascii.Error, ValueError):
            return None
        if base64.urlsafe_b64encode(signed).decode() != text:  # The decoder ignores some bits.
            return None
        raw = signed[MAC_BYTES:]
        if not hmac.compare_digest(signed[:MAC_BYTES], self._mac(raw)):
            return None
        try:
            token = self._decoder.decode(raw)
        except msgspec.DecodeError:
            return None
        return token if now_ms < token.deadline_ms else None
