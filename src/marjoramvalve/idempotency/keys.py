"""Parsing of the Idempotency-Key header (draft-ietf-httpapi-idempotency-key-header), and digests.

The value is a quoted string. Its parameter `created` is the Unix time in seconds at which the
caller created the key, as in `"order-7"; created=1700000000`.
"""

import hashlib
import re
from dataclasses import dataclass

QUOTED_KEY_PATTERN = re.compile(
    r'"([\x20-\x21\x23-\x5b\x5d-\x7e]{1,128})"(?:\s*;\s*created=(\d{1,12}))?'
)
BARE_KEY_PATTERN = re.compile(r"[A-Za-z0-9._:-]{1,128}")


@dataclass(frozen=True, slots=True)
class IdempotencyKey:
    """A parsed key; `created` is 0 if the header does not contain it."""

    value: str
    created: float


@dataclass(frozen=True, slots=True)
class KeyProblem:
    """A header value that is not a valid key; `text` is its beginning."""

    text: str


def parse_key(text: str) -> IdempotencyKey | KeyProblem:
    """Parses a header value; a bare token is accepted as if it were quoted."""
    match = QUOTED_KEY_PATTERN.fullmatch(text.strip())
    if match is not None:
        return IdempotencyKey(match.group(1), float(match.group(2) or 0))
    if BARE_KEY_PATTERN.fullmatch(text.strip()):
        return IdempotencyKey(text.strip(), 0.0)
    return KeyProblem(text[:64])


def request_digest(method: str, path: str, body: bytes) -> str:
    """Returns a digest that distinguishes a resend from another request with the same key."""
    return _digest(method.encode(), path.encode(), body).hexdigest()


def scope_digest(holder: str, route: str, key: str) -> bytes:
    """Returns a digest of the scope of an idempotency key: its holder, a route and the key."""
    return _digest(holder.encode(), route.encode(), key.encode()).digest()


def _digest(*parts: bytes) -> "hashlib.blake2b":
    hashed = hashlib.blake2b(digest_size=16)
    for part in parts:
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    return hashed
