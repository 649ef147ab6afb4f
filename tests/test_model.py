"""Tests of the configuration document: validation, encoding and patches."""

import json
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramvalve.model import (
    Document,
    PatchKind,
    apply_patch,
    decode_document,
    document_digest,
    encode_document,
    key_digest,
    merge_patch,
    validate_document,
)
from marjoramvalve.outcomes import Err, Ok

JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 5) | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=3), inner, max_size=3),
    max_leaves=10,
)


class ValidationTests(unittest.TestCase):
    """Validation and encoding of whole documents."""

    def test_all_faults_are_reported_with_their_paths(self):
        tree = {
            "customers": {"shed": {"rate": -1, "burst": 0}},
            "keys": {"plain": {"customer": "nobody"}},
            "routes": {"a": {"service": "S P", "path": "x"}, "b": {"service": "s"}},
            "typo": 1,
        }
        result = validate_document(tree)
        self.assertIsInstance(result, Err)
        paths = {fault.path for fault in result.faults}
        expected = {"/customers/shed/rate", "/customers/shed/burst", "/routes/a/path", "/routes/b"}
        self.assertLessEqual(expected | {"/typo", "/keys/plain"}, paths)

    def test_keys_are_stored_as_digests_only(self):
        tree = {
            "customers": {"shed": {"rate": 1, "burst": 1}},
            "keys": {"mvk_secret": {"customer": "shed"}},
        }
        self.assertIsInstance(validate_document(tree), Err)
        tree["keys"] = {key_digest("mvk_secret"): {"customer": "shed"}}
        self.assertIsInstance(validate_document(tree), Ok)

    def test_duplicate_routes_are_rejected(self):
        route = {"service": "s", "path": "/a"}
        self.assertIsInstance(validate_document({"routes": {"x": route, "y": route}}), Err)

    def test_encoding_round_trip(self):
        tree = {"customers": {"shed": {"rate": 1, "burst": 2}}}
        document = validate_document(tree).value
        self.assertEqual(decode_document(encode_document(document)), document)
        decoded = decode_document(encode_document(document))
        self.assertEqual(document_digest(decoded), document_digest(document))


class PatchTests(unittest.TestCase):
    """JSON Merge Patch and JSON Patch."""

    def test_merge_patch_examples_from_rfc_7396(self):
        cases = [
            ({"a": "b"}, {"a": "c"}, {"a": "c"}),
            ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
            ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
            ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
            ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
            ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
            ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
        ]
        for target, patch, expected in cases:
            self.assertEqual(merge_patch(target, patch), expected)

    def test_json_patch(self):
        patch = [{"op": "add", "path": "/customers/shed", "value": {"rate": 1, "burst": 1}}]
        result = apply_patch(Document(), PatchKind.JSON, json.dumps(patch).encode())
        self.assertEqual(result.value.customers["shed"].rate, 1)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(JSON_VALUES, st.sampled_from(list(PatchKind)))
    def test_no_patch_raises(self, patch, kind):
        result = apply_patch(Document(), kind, json.dumps(patch).encode())
        self.assertIsInstance(result, Ok | Err)

    def test_deeply_nested_and_malformed_patches_are_rejected(self):
        for body in (b"[" * 5000, b"{", b"\xff", b"[]" * 2):
            self.assertIsInstance(apply_patch(Document(), PatchKind.MERGE, body), Err)
