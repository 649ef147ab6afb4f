"""Removes a caller's key from other headers and the query, so that upstreams never see it."""


def remove_key(line: bytes, key: bytes) -> bytes:
    """Returns a header line without the key.

    A line that contains the key becomes empty; a Cookie line loses only the cookies with the key.
    """
    if key not in line:
        return line
    name, _, value = line.rstrip(b"\r\n").partition(b":")
    if name.strip().lower() != b"cookie":
        return b""
    kept = [part.strip() for part in value.split(b";") if key not in part]
    return b"%b: %b\r\n" % (name, b"; ".join(kept)) if kept else b""


def remove_key_from_query(target: bytes, key: bytes) -> bytes:
    """Returns a request target without the query parameters that contain the key."""
    path, _, query = target.partition(b"?")
    if key not in query:
        return target
    kept = [part for part in query.split(b"&") if key not in part]
    return b"%b?%b" % (path, b"&".join(kept)) if kept else path
