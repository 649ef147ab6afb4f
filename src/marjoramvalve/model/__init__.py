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
from marjoramvalve.model.reviews import Difference, compare_documents, review_document

__all__ = [
    "PRIORITIES",
    "CallerLimits",
    "Customer",
    "Difference",
    "Document",
    "Key",
    "PatchKind",
    "Policy",
    "Route",
    "Service",
    "apply_patch",
    "compare_documents",
    "decode_document",
    "document_digest",
    "encode_document",
    "key_digest",
    "merge_patch",
    "review_document",
    "validate_document",
]
