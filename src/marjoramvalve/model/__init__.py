"""The versioned configuration document: types, validation, patches and digests."""

from marjoramvalve.model.documents import (
    PRIORITIES,
    CallerLimits,
    Customer,
    Document,
    Key,
    Policy,
    Route,
    Service,
    decode_document,
    document_digest,
    encode_document,
    key_digest,
    validate_document,
)
from marjoramvalve.model.patches import PatchKind, apply_patch, merge_patch

__all__ = [
    "PRIORITIES",
    "CallerLimits",
    "Customer",
    "Document",
    "Key",
    "PatchKind",
    "Policy",
    "Route",
    "Service",
    "apply_patch",
    "decode_document",
    "document_digest",
    "encode_document",
    "key_digest",
    "merge_patch",
    "validate_document",
]
