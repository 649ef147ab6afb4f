"""Requests of calls as they are sent to the upstream."""

from marjoramvalve.links import MAX_SMALL_BYTES
from marjoramvalve.mesh.jobs import Job

BODY_METHODS = (b"POST", b"PUT", b"PATCH")


def encode_request(
    job: Job, deadline_name: bytes, left_ms: int, expect_name: bytes, instance: str
) -> tuple[bytes, bytes]:
    """Returns the text of a request, and the rest of it if its body is large.

    `left_ms` is the time until the deadline in milliseconds.
    """
    framing = b""
    if job.body or job.head.startswith(BODY_METHODS):
        framing = b"Content-Length: %d\r\n" % len(job.body)
    is_large = len(job.body) > MAX_SMALL_BYTES  # Sent apart from the head, without a copy.
    text = b"%b%b%b: %d\r\n%b: %b\r\n\r\n%b" % (
        job.head,
        framing,
        deadline_name,
        left_ms,
        expect_name,
        instance.encode(),
        b"" if is_large else job.body,
    )
    return text, job.body if is_large else b""
