"""Loads settings from command-line flags and environment variables."""

import difflib
import re
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path

from marjoramvalve.outcomes import Err, Fault, Ok, Result
from marjoramvalve.settings.declarations import DECLARATIONS, ENV_PREFIX, Declaration, SettingType

NAME_PATTERN = re.compile(r"[a-z0-9][a-z0-9._-]{0,62}")
ADDRESS_PATTERN = re.compile(r"(\d{1,3}(?:\.\d{1,3}){3}):(\d{1,5})")
MAX_PORT = 65535


@dataclass(frozen=True, slots=True)
class Settings:
    """Parsed settings of a daemon. Durations are in seconds, sizes in bytes."""

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


def _fault(declaration: Declaration, number: int, raw: str, message: str, hint: str) -> Fault:
    return Fault(f"settings.E{number:03d}", declaration.flag, raw, message, hint)


def _parse_number(declaration: Declaration, raw: str) -> float | Fault:
    try:
        value = float(raw)
    except ValueError:
        return _fault(
            declaration, 2, raw, f"{declaration.type} is not a number", "give a number such as 2.5"
        )
    if not 0 < value < float("inf") and not (declaration.type is SettingType.RATIO and value == 0):
        return _fault(
            declaration, 3, raw, f"{declaration.type} is not above zero", "give a positive number"
        )
    if declaration.type is SettingType.RATIO and value > 1:
        return _fault(declaration, 4, raw, "ratio is above 1", "give a number from 0 to 1")
    if declaration.type in (SettingType.COUNT, SettingType.BYTES):
        return int(value)
    return value


def _parse_address(declaration: Declaration, raw: str) -> str | Fault:
    match = ADDRESS_PATTERN.fullmatch(raw)
    if match is None or int(match.group(2)) > MAX_PORT:
        hint = "give an IPv4 address and a port, such as 127.0.0.1:7000"
        return _fault(declaration, 5, raw, "address is not host:port", hint)
    return raw


def _parse_peers(declaration: Declaration, raw: str) -> dict[str, str] | Fault:
    peers: dict[str, str] = {}
    for part in raw.split(","):
        name, _, address = part.strip().partition("@")
        if not NAME_PATTERN.fullmatch(name) or not ADDRESS_PATTERN.fullmatch(address):
            hint = "give name@host:port, separated by commas"
            return _fault(declaration, 6, part, "controller is not name@host:port", hint)
        if name in peers:
            return _fault(
                declaration, 7, part, f"controller {name!r} is listed twice", "remove one"
            )
        peers[name] = address
    return peers


def parse_value(declaration: Declaration, raw: str):
    """Returns the parsed value of a setting, or the fault found in it."""
    match declaration.type:
        case SettingType.SECONDS | SettingType.COUNT | SettingType.BYTES | SettingType.RATIO:
            return _parse_number(declaration, raw)
        case SettingType.ADDRESS:
            return _parse_address(declaration, raw)
        case SettingType.PEERS:
            return _parse_peers(declaration, raw)
        case SettingType.FILE | SettingType.FOLDER:
            return Path(raw) if raw else None
        case SettingType.CHOICE if raw not in declaration.choices:
            hint = "choose one of " + ", ".join(declaration.choices)
            return _fault(declaration, 8, raw, "value is not one of the choices", hint)
        case SettingType.NAME if not NAME_PATTERN.fullmatch(raw):
            hint = "use lower-case letters, digits, dots and dashes"
            return _fault(declaration, 9, raw, "name is not valid", hint)
        case _:
            return raw


def _unknown_setting_faults(flags: Mapping[str, object], env: Mapping[str, str]) -> list[Fault]:
    known = {declaration.name for declaration in DECLARATIONS}
    faults = []
    given = [("--" + name.replace("_", "-"), name) for name in flags]
    given += [
        (name, name.removeprefix(ENV_PREFIX).lower()) for name in env if name.startswith(ENV_PREFIX)
    ]
    for flag_or_variable, name in given:
        if name in known:
            continue
        matches = difflib.get_close_matches(name, known, 1)
        hint = f"did you mean {matches[0]!r}" if matches else "see the settings reference"
        faults.append(
            Fault("settings.E001", flag_or_variable, name, "setting does not exist", hint)
        )
    return faults


def load_settings(flags: Mapping[str, object], env: Mapping[str, str]) -> Result[Settings]:
    """Returns the settings, or all faults found; flags override environment variables."""
    faults = _unknown_setting_faults(flags, env)
    values = {}
    for declaration in DECLARATIONS:
        raw = flags.get(declaration.name, env.get(declaration.env, declaration.default))
        if raw is None:
            hint = f"give {declaration.flag} or {declaration.env}"
            faults.append(_fault(declaration, 10, "", "required setting is missing", hint))
            continue
        value = parse_value(declaration, str(raw))
        if isinstance(value, Fault):
            faults.append(value)
        values[declaration.name] = value
    if faults:
        return Err(tuple(faults))
    return Ok(Settings(**values))
