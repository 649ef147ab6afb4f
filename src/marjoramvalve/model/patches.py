"""Patches to the configuration document: JSON Merge Patch (RFC 7396), JSON Patch (RFC 6902)."""

from enum import StrEnum
from typing import Any

import jsonpatch
import jsonpointer
import msgspec

from marjoramvalve.model.documents import Document, validate_document
from marjoramvalve.outcomes import Err, Fault, Result


class PatchKind(StrEnum):
    """Format of a patch."""

    MERGE = "merge"
    JSON = "json"


def merge_patch(target: Any, patch: Any) -> Any:
    """Returns a copy of `target` with a JSON Merge Patch applied; changes neither argument."""
    if not isinstance(patch, dict):
        return patch
    result = dict(target) if isinstance(target, dict) else {}
    for name, value in patch.items():
        if value is None:
            result.pop(name, None)
        else:
            result[name] = merge_patch(result.get(name), value)
    return result


def _patched_tree(tree: Any, kind: PatchKind, patch: Any) -> Any:
    match kind:
        case PatchKind.MERGE:
            return merge_patch(tree, patch)
        case PatchKind.JSON if not isinstance(patch, list):
            raise TypeError("a JSON Patch is an array of operations")
        case PatchKind.JSON:
            return jsonpatch.apply_patch(tree, patch)


def apply_patch(doc: Document, kind: PatchKind, body: bytes) -> Result[Document]:
    """Returns the patched document, validated as a whole, or all faults found."""
    try:
        patch = msgspec.json.decode(body)
        tree = _patched_tree(msgspec.to_builtins(doc), kind, patch)
    except (msgspec.DecodeError, UnicodeDecodeError) as exc:
        return Err((Fault("model.E020", "patch", str(exc), "patch is not JSON"),))
    except RecursionError:
        return Err((Fault("model.E022", "patch", "nested", "patch is nested too deeply"),))
    except (
        jsonpatch.JsonPatchException,
        jsonpointer.JsonPointerException,
        TypeError,
        LookupError,
        ValueError,
        AttributeError,
    ) as exc:
        return Err((Fault("model.E021", "patch", str(exc), "patch cannot be applied"),))
    return validate_document(tree)
