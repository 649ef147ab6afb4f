"""Header names, and the filters for headers passed between callers and upstreams."""

from urllib.parse import unquote, unquote_plus

from multidict import CIMultiDict, CIMultiDictProxy

KEY = "Marjoramvalve-Key"
TOKEN = "Marjoramvalve-Token"
DEADLINE = "Marjoramvalve-Deadline-Ms"
PRIORITY = "Marjoramvalve-Priority"
RUN = "Marjoramvalve-Run"
REASON = "Marjoramvalve-Reason"
REQUEST_ID = "Marjoramvalve-Request-Id"
RETRIES_SPENT = "Marjoramvalve-Retries-Spent"
REPLAYED = "Marjoramvalve-Replayed"
IDEMPOTENCY_KEY = "Idempotency-Key"
TRACEPARENT = "traceparent"

HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "expect",
    }
)
OWN_HEADERS = frozenset(name.lower() for name in (KEY, TOKEN, DEADLINE, PRIORITY, RUN, REASON))
NEVER_FORWARDED = HOP_BY_HOP | OWN_HEADERS | {"authorization", "content-length", "traceparent"}
NEVER_RETURNED = HOP_BY_HOP | {RUN.lower(), REASON.lower(), TOKEN.lower(), KEY.lower()}
BEARER = "bearer "


def is_plain_path(raw_path: str) -> bool:
    """Returns whether a path is unambiguous: it has no dot segments and no empty segments.

    An upstream that resolves them would otherwise serve another path than the route allows.
    """
    if not raw_path.startswith("/") or "//" in raw_path or "\\" in raw_path:
        return False
    if "." not in raw_path and "%" not in raw_path:
        return True
    decoded = unquote(raw_path)
    if decoded.count("/") != raw_path.count("/") or "\\" in decoded or "%" in decoded:
        return False
    return not any(part in (".", "..") for part in decoded.split("/"))


def caller_key(headers: CIMultiDictProxy[str]) -> str:
    """Returns the caller's key from its header or from a bearer authorization, or ''."""
    key = headers.get(KEY)
    if key is not None:
        return key.strip()
    authorization = headers.get("Authorization", "")
    if authorization[: len(BEARER)].lower() == BEARER:
        return authorization[len(BEARER) :].strip()
    return ""


def _connection_options(headers: CIMultiDictProxy[str]) -> frozenset[str]:
    values = headers.getall("Connection", ())
    return frozenset(part.strip().lower() for value in values for part in value.split(","))


def contains_key(text: str, key: str) -> bool:
    """Returns whether a text contains the key, plain or percent-encoded up to three times."""
    if "%" not in text and "+" not in text:
        return key in text
    for _ in range(3):
        if key in text:
            return True
        decoded = unquote(text)
        if key in unquote_plus(text):
            return True
        if decoded == text:
            return False
        text = decoded
    return False


def _remove_key_from_cookie(cookie: str, key: str) -> str:
    parts = [part for part in cookie.split(";") if not contains_key(part, key)]
    return ";".join(parts).strip()


def forwarded_headers(headers: CIMultiDictProxy[str], key: str) -> CIMultiDict[str]:
    """Returns the request headers for an upstream, without hop-by-hop headers and keys."""
    dropped = NEVER_FORWARDED
    if "Connection" in headers:
        dropped = dropped | _connection_options(headers)
    out: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        lowered = name.lower()
        if lowered in dropped:
            continue
        if key and contains_key(value, key) or key and key in name:
            if lowered != "cookie":
                continue
            value = _remove_key_from_cookie(value, key)
            if not value:
                continue
        out.add(name, value)
    return out


def forwarded_target(raw_path: str, key: str) -> str:
    """Returns the path and query for an upstream, without query parameters that contain the key."""
    path, separator, query = raw_path.partition("?")
    if not separator or not key or not contains_key(query, key):
        return raw_path
    parts = [part for part in query.split("&") if not contains_key(part, key)]
    return f"{path}?{'&'.join(parts)}" if parts else path


def returned_headers(headers: CIMultiDictProxy[str]) -> CIMultiDict[str]:
    """Returns the response headers for a caller, without hop-by-hop and internal headers."""
    dropped = NEVER_RETURNED
    if "Connection" in headers:
        dropped = dropped | _connection_options(headers)
    out: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in dropped:
            out.add(name, value)
    return out
