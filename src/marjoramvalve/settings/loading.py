"""Reading of settings from flags and the environment into one frozen data class."""

import difflib
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from marjoramvalve.outcomes import Err, Fault, Ok, Result
from marjoramvalve.settings.declarations import DECLARATIONS, ENV_PREFIX, Declaration, Kind

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
ADDRESS_PATTERN = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})")
MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Settings:
    """Checked settings of one daemon. Durations in seconds, sizes in bytes."""

    instance: str
    domain: str
    region: str
    listen: str
    control: str
    peer: str
    controllers: dict[str, str]
    data_dir: Path | None
    join: str
    fleet_secret_file: Path
    operator_credential_file: Path
    upstream_credential_file: Path | None
    config_lease: float
    stale_config: str
    poll_interval: float
    slot_lease: float
    suspect_after: float
    remove_after: float
    drain_timeout: float
    upstream_heartbeat: float
    read_timeout: float
    write_timeout: float
    max_header_bytes: int
    max_body_bytes: int
    buffer_bytes: int
    max_waiting: int
    snapshot_entries: int
    election_timeout: float
    clock_drift: float
    trace_exporter: str
    trace_ratio: float
    otlp_endpoint: str
    log_level: str
    unknown: tuple[str, ...] = field(default=())


def _fault(item: Declaration, number: int, raw: str, message: str, hint: str) -> Fault:
    return Fault(f"settings.E{number:03d}", item.flag, raw, message, hint)


def _parse_number(item: Declaration, raw: str) -> float | Fault:
    try:
        value = float(raw)
    except ValueError:
        return _fault(item, 2, raw, f"{item.kind} is not a number", "give a number such as 2.5")
    if not 0 < value < float("inf") and not (item.kind is Kind.RATIO and value == 0):
        return _fault(item, 3, raw, f"{item.kind} is not above zero", "give a positive number")
    if item.kind is Kind.RATIO and value > 1:
        return _fault(item, 4, raw, "ratio is above 1", "give a number from 0 to 1")
    if item.kind in (Kind.COUNT, Kind.BYTES):
        return int(value)
    return value


def _parse_address(item: Declaration, raw: str) -> str | Fault:
    match = ADDRESS_PATTERN.fullmatch(raw)
    if match is None or int(match.group(2)) > MAX_PORT:
        hint = "give an IP number and a port, such as 127.0.0.1:7000"
        return _fault(item, 5, raw, "address is not host:port", hint)
    return raw


def _parse_peers(item: Declaration, raw: str) -> dict[str, str] | Fault:
    peers: dict[str, str] = {}
    for part in raw.split(","):
        name, _, address = part.strip().partition("@")
        if not NAME_PATTERN.fullmatch(name) or not ADDRESS_PATTERN.fullmatch(address):
            hint = "give name@host:port, separated by commas"
            return _fault(item, 6, part, "controller is not name@host:port", hint)
        if name in peers:
            return _fault(item, 7, part, f"controller {name!r} is listed twice", "remove one")
        peers[name] = address
    return peers


def parse_value(item: Declaration, raw: str):
    """Returns the parsed value of one setting, or the fault found in it."""
    match item.kind:
        case Kind.SECONDS | Kind.COUNT | Kind.BYTES | Kind.RATIO:
            return _parse_number(item, raw)
        case Kind.ADDRESS:
            return _parse_address(item, raw)
        case Kind.PEERS:
            return _parse_peers(item, raw)
        case Kind.FILE | Kind.FOLDER:
            return Path(raw) if raw else None
        case Kind.CHOICE if raw not in item.choices:
            hint = "choose one of " + ", ".join(item.choices)
            return _fault(item, 8, raw, "value is not one of the choices", hint)
        case Kind.NAME if not NAME_PATTERN.fullmatch(raw):
            hint = "use lower-case letters, digits, dots and dashes"
            return _fault(item, 9, raw, "name is not valid", hint)
        case _:
            return raw


def _unknown_names(flags: Mapping[str, object], env: Mapping[str, str]) -> list[Fault]:
    known = {item.name for item in DECLARATIONS}
    faults = []
    named = [("--" + name.replace("_", "-"), name) for name in flags]
    named += [
        (name, name.removeprefix(ENV_PREFIX).lower()) for name in env if name.startswith(ENV_PREFIX)
    ]
    for shown, name in named:
        if name in known:
            continue
        close = difflib.get_close_matches(name, known, 1)
        hint = f"did you mean {close[0]!r}" if close else "see the settings reference"
        faults.append(Fault("settings.E001", shown, name, "setting does not exist", hint))
    return faults


def load_settings(flags: Mapping[str, object], env: Mapping[str, str]) -> Result[Settings]:
    """Returns the settings; a flag wins over its environment variable. Reports every fault."""
    faults = _unknown_names(flags, env)
    values = {}
    for item in DECLARATIONS:
        raw = flags.get(item.name, env.get(item.env, item.default))
        if raw is None:
            hint = f"give {item.flag} or {item.env}"
            faults.append(_fault(item, 10, "", "required setting is missing", hint))
            continue
        value = parse_value(item, str(raw))
        if isinstance(value, Fault):
            faults.append(value)
        values[item.name] = value
    if faults:
        return Err(tuple(faults))
    return Ok(Settings(**values))
