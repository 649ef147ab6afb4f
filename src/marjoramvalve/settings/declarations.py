"""Declarations of every setting of the daemon."""

from dataclasses import dataclass
from enum import StrEnum

ENV_PREFIX = "MARJORAMVALVE_"


class Kind(StrEnum):
    """Type of a setting's value."""

    TEXT = "text"
    NAME = "name"
    ADDRESS = "address"
    PEERS = "peers"
    FILE = "file"
    FOLDER = "folder"
    SECONDS = "seconds"
    COUNT = "count"
    BYTES = "bytes"
    RATIO = "ratio"
    CHOICE = "choice"


@dataclass(frozen=True, slots=True)
class Declaration:
    """One setting: its name, kind, default (None means required) and meaning."""

    name: str
    kind: Kind
    default: str | None
    help: str
    choices: tuple[str, ...] = ()

    @property
    def flag(self) -> str:
        """Name of the command-line flag."""
        return "--" + self.name.replace("_", "-")

    @property
    def env(self) -> str:
        """Name of the environment variable."""
        return ENV_PREFIX + self.name.upper()


DECLARATIONS: tuple[Declaration, ...] = (
    Declaration("instance", Kind.NAME, None, "Name of this instance, unique in the fleet."),
    Declaration("domain", Kind.NAME, None, "Failure domain of this instance."),
    Declaration("region", Kind.NAME, "default", "Region of this instance."),
    Declaration("listen", Kind.ADDRESS, None, "Address for callers and sub-calls (HTTP)."),
    Declaration(
        "control", Kind.ADDRESS, None, "Address for operators and the upstream beside (HTTP)."
    ),
    Declaration(
        "peer", Kind.ADDRESS, None, "Address for the other instances (TCP and UDP, one port)."
    ),
    Declaration(
        "controllers",
        Kind.PEERS,
        None,
        "First controllers as name@host:port of their peer address, comma separated.",
    ),
    Declaration("data_dir", Kind.FOLDER, "", "Data folder; an instance with one is a controller."),
    Declaration(
        "join",
        Kind.CHOICE,
        "no",
        "Start as a controller that joins an existing group with an empty folder.",
        ("no", "yes"),
    ),
    Declaration("fleet_secret_file", Kind.FILE, None, "File with the secret shared by the fleet."),
    Declaration(
        "operator_credential_file", Kind.FILE, None, "File with the credential of operators."
    ),
    Declaration(
        "upstream_credential_file",
        Kind.FILE,
        "",
        "File with the credential upstreams announce with; empty allows loopback peers only.",
    ),
    Declaration(
        "config_lease",
        Kind.SECONDS,
        "5",
        "Longest time keyed calls are served without confirmation of the configuration.",
    ),
    Declaration(
        "stale_config",
        Kind.CHOICE,
        "refuse",
        "What to do with keyed calls once the configuration lease has run out.",
        ("refuse", "serve"),
    ),
    Declaration("poll_interval", Kind.SECONDS, "0.5", "Interval of configuration polls."),
    Declaration("slot_lease", Kind.SECONDS, "1", "Duration of a lease on upstream slots."),
    Declaration(
        "suspect_after", Kind.SECONDS, "4", "Silence after which an instance is suspected."
    ),
    Declaration(
        "remove_after", Kind.SECONDS, "8", "Silence after which an instance leaves the roster."
    ),
    Declaration("drain_timeout", Kind.SECONDS, "20", "Longest time a planned stop waits."),
    Declaration(
        "upstream_heartbeat", Kind.SECONDS, "2", "Silence after which an upstream is lost."
    ),
    Declaration(
        "read_timeout", Kind.SECONDS, "10", "Longest wait for a caller to send its request."
    ),
    Declaration(
        "write_timeout", Kind.SECONDS, "30", "Longest wait for a caller to take its answer."
    ),
    Declaration("max_header_bytes", Kind.BYTES, "16384", "Largest size of a header line."),
    Declaration("max_body_bytes", Kind.BYTES, "16777216", "Largest request body."),
    Declaration(
        "buffer_bytes", Kind.BYTES, "65536", "Body size kept in memory before streaming begins."
    ),
    Declaration("max_waiting", Kind.COUNT, "512", "Most calls waiting for a slot at this node."),
    Declaration(
        "snapshot_entries", Kind.COUNT, "1000", "Log entries after which a snapshot is taken."
    ),
    Declaration("election_timeout", Kind.SECONDS, "0.6", "Shortest election timeout."),
    Declaration(
        "clock_drift", Kind.RATIO, "0.05", "Largest difference between clock rates, as a ratio."
    ),
    Declaration(
        "trace_exporter",
        Kind.CHOICE,
        "none",
        "Where spans and metrics go.",
        ("none", "console", "otlp"),
    ),
    Declaration("trace_ratio", Kind.RATIO, "0.01", "Share of root calls that are traced."),
    Declaration("otlp_endpoint", Kind.TEXT, "", "URL of the OTLP collector over HTTP."),
    Declaration(
        "log_level", Kind.CHOICE, "info", "Least level logged.", ("debug", "info", "warning")
    ),
)


def reference_table() -> str:
    """Returns the settings reference as a Markdown table, in order of declaration."""
    lines = ["| flag | environment | type | default | meaning |", "| --- | --- | --- | --- | --- |"]
    for item in DECLARATIONS:
        kind = " or ".join(item.choices) if item.choices else str(item.kind)
        default = "required" if item.default is None else (item.default or "empty")
        lines.append(f"| `{item.flag}` | `{item.env}` | {kind} | {default} | {item.help} |")
    return "\n".join(lines) + "\n"
