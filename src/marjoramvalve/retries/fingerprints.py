"""Fingerprints that identify a repeated request at any instance."""

import hashlib
from collections.abc import Iterable
from zlib import crc32

PREFIX_BYTES = 4
DIGEST_BYTES = 12  # 128 bits with the prefix, so that accidental collisions are negligible.
MAX_HASHED_BODY_BYTES = 65_536  # Hashing more would block other requests for milliseconds.


def digest(parts: Iterable[bytes], size: int) -> bytes:
    """Returns a hash of parts, each with its length so that the boundaries count as well."""
    hasher = hashlib.blake2b(digest_size=size)
    for part in parts:
        hasher.update(len(part).to_bytes(8, "big"))
        hasher.update(part)
    return hasher.digest()


def path_prefix(target: bytes) -> bytes:
    """Returns the prefix shared by the fingerprints of all requests for a path.

    It takes a fraction of a microsecond to compute and rules out almost all other requests.
    """
    return crc32(target.partition(b"?")[0]).to_bytes(PREFIX_BYTES, "big")


def fingerprints(
    route: bytes, customer: bytes, method: bytes, target: bytes, body: bytes
) -> tuple[bytes, ...]:
    """Returns two fingerprints of a request: without and with its query.

    A crash may depend on the query, but the query may also differ each time the request is sent.
    """
    path, _, query = target.partition(b"?")
    prefix = path_prefix(target)
    fixed = (route, customer, method, len(body).to_bytes(8, "big"), body[:MAX_HASHED_BODY_BYTES])
    return (
        prefix + digest((*fixed, path), DIGEST_BYTES),
        prefix + digest((*fixed, path, query), DIGEST_BYTES),
    )
