"""Checks across settings, run at start and by `marjoramvalve check`."""

import os
from pathlib import Path

from marjoramvalve.outcomes import Fault
from marjoramvalve.settings.loading import Settings

MIN_SECRET_BYTES = 16
MAX_CONTROLLERS = 7


def _check_file(flag: str, path: Path | None) -> list[Fault]:
    if path is None:
        return [Fault("settings.E020", flag, "", "file is not named", "give a path")]
    try:
        secret = path.read_bytes().strip()
    except OSError as exc:
        hint = "create the file, readable by the daemon"
        return [Fault("settings.E021", flag, str(path), f"file is not readable: {exc}", hint)]
    if len(secret) < MIN_SECRET_BYTES:
        hint = f"put at least {MIN_SECRET_BYTES} random bytes into it"
        return [Fault("settings.E022", flag, str(path), "secret is too short", hint)]
    return []


def _check_folder(cfg: Settings) -> list[Fault]:
    if cfg.data_dir is None:
        return []
    if not cfg.data_dir.is_dir() or not os.access(cfg.data_dir, os.W_OK):
        hint = "create the folder, writable by the daemon"
        message = "data folder is not a writable folder"
        return [Fault("settings.E023", "--data-dir", str(cfg.data_dir), message, hint)]
    return []


def _check_controllers(cfg: Settings) -> list[Fault]:
    faults = []
    count = len(cfg.controllers)
    if count % 2 == 0 or count > MAX_CONTROLLERS:
        message = "number of controllers is not 1, 3, 5 or 7"
        hint = "an even group stands no more losses than the next smaller odd one"
        faults.append(Fault("settings.E024", "--controllers", str(count), message, hint))
    listed = cfg.controllers.get(cfg.instance)
    if listed is not None and listed != cfg.peer:
        message = f"address of {cfg.instance!r} differs from --peer {cfg.peer}"
        faults.append(Fault("settings.E025", "--controllers", listed, message, "make them equal"))
    if listed is not None and cfg.data_dir is None:
        message = "instance is listed as a controller and has no data folder"
        faults.append(Fault("settings.E026", "--data-dir", "", message, "give --data-dir"))
    if listed is None and cfg.data_dir is not None and cfg.join == "no":
        message = "instance has a data folder and is not listed as a controller"
        hint = "list it, or give --join yes to join a running group"
        faults.append(Fault("settings.E027", "--data-dir", str(cfg.data_dir), message, hint))
    return faults


def _check_durations(cfg: Settings) -> list[Fault]:
    faults = []
    if cfg.poll_interval * 3 > cfg.config_lease:
        message = "interval is above a third of --config-lease"
        hint = "lower it, so that two lost polls do no harm"
        value = str(cfg.poll_interval)
        faults.append(Fault("settings.E028", "--poll-interval", value, message, hint))
    if cfg.remove_after <= cfg.config_lease * (1 + cfg.clock_drift):
        message = "removal comes before --config-lease has run out"
        hint = "raise it: a removed instance must have stopped first"
        value = str(cfg.remove_after)
        faults.append(Fault("settings.E029", "--remove-after", value, message, hint))
    if cfg.trace_exporter == "otlp" and not cfg.otlp_endpoint:
        message = "exporter is otlp and no endpoint is given"
        faults.append(Fault("settings.E030", "--otlp-endpoint", "", message, "give a URL"))
    return faults


def check_settings(cfg: Settings) -> tuple[Fault, ...]:
    """Returns every fault that shows only across settings or in the files they name."""
    faults = _check_file("--fleet-secret-file", cfg.fleet_secret_file)
    faults += _check_file("--operator-credential-file", cfg.operator_credential_file)
    if cfg.upstream_credential_file is not None:
        faults += _check_file("--upstream-credential-file", cfg.upstream_credential_file)
    faults += _check_folder(cfg)
    faults += _check_controllers(cfg)
    faults += _check_durations(cfg)
    return tuple(faults)
