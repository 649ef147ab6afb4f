"""Declarations of all settings of the daemon."""

from dataclasses import dataclass
from enum import StrEnum

ENV_PREFIX = "MARJORAMVALVE_"


class SettingType(StrEnum):
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
    """A setting: its name, type, default (None if it is required) and description."""

    name: str
    type: SettingType
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
    Declaration("instance", SettingType.NAME, None, "Name of this instance, unique in the fleet."),
    Declaration("domain", SettingType.NAME, None, "Failure domain of this instance."),
    Declaration("region", SettingType.NAME, "default", "Region of this instance."),
    Declaration("listen", SettingType.ADDRESS, None, "Address for callers and sub-calls (HTTP)."),
    Declaration(
        "control",
        SettingType.ADDRESS,
        None,
        "Address for operators and the upstream beside (HTTP).",
    ),
    Declaration(
        "peer",
        SettingType.ADDRESS,
        None,
        "Address for the other instances (TCP and UDP, one port).",
    ),
    Declaration(
        "controllers",
        SettingType.PEERS,
        None,
        "First controllers as name@host:port of their peer address, comma separated.",
    ),
    Declaration(
        "data_dir", SettingType.FOLDER, "", "Data folder; an instance with one is a controller."
    ),
    Declaration(
        "join",
        SettingType.CHOICE,
        "no",
        "Start as a controller that joins an existing group with an empty folder.",
        ("no", "yes"),
    ),
    Declaration(
        "fleet_secret_file", SettingType.FILE, None, "File with the secret shared by the fleet."
    ),
    Declaration(
        "operator_credential_file", SettingType.FILE, None, "File with the credential of operators."
    ),
    Declaration(
        "upstream_credential_file",
        SettingType.FILE,
        "",
        "File with the credential upstreams announce with; empty allows loopback peers only.",
    ),
    Declaration(
        "config_lease",
        SettingType.SECONDS,
        "5",
        "Longest time keyed calls are served without confirmation of the configuration.",
    ),
    Declaration(
        "stale_config",
        SettingType.CHOICE,
        "refuse",
        "What to do with keyed calls once the configuration lease has run out.",
        ("refuse", "serve"),
    ),
    Declaration("poll_interval", SettingType.SECONDS, "0.5", "Interval of configuration polls."),
    Declaration("slot_lease", SettingType.SECONDS, "1", "Duration of a lease on upstream slots."),
    Declaration(
        "suspect_after", SettingType.SECONDS, "4", "Silence after which an instance is suspected."
    ),
    Declaration(
        "remove_after",
        SettingType.SECONDS,
        "8",
        "Silence after which an instance leaves the roster.",
    ),
    Declaration("drain_timeout", SettingType.SECONDS, "20", "Longest time a planned stop waits."),
    Declaration(
        "upstream_heartbeat", SettingType.SECONDS, "2", "Silence after which an upstream is lost."
    ),
    Declaration(
        "read_timeout", SettingType.SECONDS, "10", "Longest wait for a caller to send its request."
    ),
    Declaration(
        "write_timeout", SettingType.SECONDS, "30", "Longest wait for a caller to take its answer."
    ),
    Declaration("max_header_bytes", SettingType.BYTES, "16384", "Largest size of a header line."),
    Declaration("max_body_bytes", SettingType.BYTES, "16777216", "Largest request body."),
    Declaration(
        "buffer_bytes",
        SettingType.BYTES,
        "65536",
        "Body size kept in memory before streaming begins.",
    ),
    Declaration(
        "max_waiting", SettingType.COUNT, "512", "Most calls waiting for a slot at this node."
    ),
    Declaration(
        "snapshot_entries",
        SettingType.COUNT,
        "1000",
        "Log entries after which a snapshot is taken.",
    ),
    Declaration("election_timeout", SettingType.SECONDS, "0.6", "Shortest election timeout."),
    Declaration(
        "clock_drift",
        SettingType.RATIO,
        "0.05",
        "Largest difference between clock rates, as a ratio.",
    ),
    Declaration(
        "trace_exporter",
        SettingType.CHOICE,
        "none",
        "Where spans and metrics go.",
        ("none", "console", "otlp"),
    ),
    Declaration("trace_ratio", SettingType.RATIO, "0.01", "Share of root calls that are traced."),
    Declaration("otlp_endpoint", SettingType.TEXT, "", "URL of the OTLP collector over HTTP."),
    Declaration(
        "log_level", SettingType.CHOICE, "info", "Least level logged.", ("debug", "info", "warning")
    ),
)


def reference_table() -> str:
    """Returns a Markdown table of all settings, in order of declaration."""
    lines = ["| flag | environment | type | default | meaning |", "| --- | --- | --- | --- | --- |"]
    for setting in DECLARATIONS:
        value_type = " or ".join(setting.choices) if setting.choices else str(setting.type)
        default = "required" if setting.default is None else (setting.default or "empty")
        lines.append(
            f"| `{setting.flag}` | `{setting.env}` | {value_type} | {default} | {setting.help} |"
        )
    return "\n".join(lines) + "\n"
