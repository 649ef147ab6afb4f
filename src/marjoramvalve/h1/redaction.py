"""Keeps a caller's key from the upstream, wherever else than in its own header it was put."""


def remove_key(line: bytes, key: bytes) -> bytes:
    """Returns a header line without the key: empty, or for cookies without those that hold it."""
    if key not in line:
        return line
    name, _, value = line.rstrip(b"\r\n").partition(b":")
    if name.strip().lower() != b"cookie":
        return b""
    kept = [part.strip() for part in value.split(b";") if key not in part]
    return b"%b: %b\r\n" % (name, b"; ".join(kept)) if kept else b""


def remove_key_from_query(target: bytes, key: bytes) -> bytes:
    """Returns a target without the parts of its query that hold the key."""
    path, _, query = target.partition(b"?")
    if key not in query:
        return target
    kept = [part for part in query.split(b"&") if key not in part]
    return b"%b?%b" % (path, b"&".join(kept)) if kept else path
