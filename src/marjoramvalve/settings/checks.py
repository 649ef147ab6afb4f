"""Checks that involve several settings or files, run at start and by `marjoramvalve check`."""

import os
from pathlib import Path

from marjoramvalve.outcomes import Fault
from marjoramvalve.settings.loading import Settings

MIN_SECRET_BYTES = 16
MAX_CONTROLLERS = 7


def _check_secret_file(flag: str, path: Path | None) -> list[Fault]:
    if path is None:
        return [Fault("settings.E020", flag, "", "no file is given", "give a path")]
    try:
        secret = path.read_bytes().strip()
    except OSError as exc:
        hint = "create the file, readable by the daemon"
        return [Fault("settings.E021", flag, str(path), f"file is not readable: {exc}", hint)]
    if len(secret) < MIN_SECRET_BYTES:
        hint = f"put at least {MIN_SECRET_BYTES} random bytes into it"
        return [Fault("settings.E022", flag, str(path), "secret is too short", hint)]
    return []


def _check_data_dir(cfg: Settings) -> list[Fault]:
    if cfg.data_dir is None:
        return []
    if not cfg.data_dir.is_dir() or not os.access(cfg.data_dir, os.W_OK):
        hint = "create the folder, writable by the daemon"
        message = "data folder does not exist or is not writable"
        return [Fault("settings.E023", "--data-dir", str(cfg.data_dir), message, hint)]
    return []


def _check_controllers(cfg: Settings) -> list[Fault]:
    faults = []
    count = len(cfg.controllers)
    if count % 2 == 0 or count > MAX_CONTROLLERS:
        message = "number of controllers is not 1, 3, 5 or 7"
        hint = "an even number tolerates no more failures than the odd number below it"
        faults.append(Fault("settings.E024", "--controllers", str(count), message, hint))
    listed_address = cfg.controllers.get(cfg.instance)
    if listed_address is not None and listed_address != cfg.peer:
        message = f"address of {cfg.instance!r} differs from --peer {cfg.peer}"
        faults.append(
            Fault("settings.E025", "--controllers", listed_address, message, "make them equal")
        )
    if listed_address is not None and cfg.data_dir is None:
        message = "instance is listed as a controller and has no data folder"
        faults.append(Fault("settings.E026", "--data-dir", "", message, "give --data-dir"))
    if listed_address is None and cfg.data_dir is not None and cfg.join == "no":
        message = "instance has a data folder and is not listed as a controller"
        hint = "list it, or give --join yes to join a running group"
        faults.append(Fault("settings.E027", "--data-dir", str(cfg.data_dir), message, hint))
    return faults


def _check_durations_and_tracing(cfg: Settings) -> list[Fault]:
    faults = []
    if cfg.poll_interval * 3 > cfg.config_lease:
        message = "interval is longer than a third of --config-lease"
        hint = "lower it, so that the lease survives two lost polls"
        value = str(cfg.poll_interval)
        faults.append(Fault("settings.E028", "--poll-interval", value, message, hint))
    if cfg.remove_after <= cfg.config_lease * (1 + cfg.clock_drift):
        message = "removal would come before --config-lease has expired"
        hint = "raise it: an instance must have stopped serving before it is removed"
        value = str(cfg.remove_after)
        faults.append(Fault("settings.E029", "--remove-after", value, message, hint))
    if cfg.trace_exporter == "otlp" and not cfg.otlp_endpoint:
        message = "trace exporter is otlp, but no endpoint is given"
        faults.append(Fault("settings.E030", "--otlp-endpoint", "", message, "give a URL"))
    return faults


def check_settings(cfg: Settings) -> tuple[Fault, ...]:
    """Returns all faults in combinations of settings and in the files that they name."""
    faults = _check_secret_file("--fleet-secret-file", cfg.fleet_secret_file)
    faults += _check_secret_file("--operator-credential-file", cfg.operator_credential_file)
    if cfg.upstream_credential_file is not None:
        faults += _check_secret_file("--upstream-credential-file", cfg.upstream_credential_file)
    faults += _check_data_dir(cfg)
    faults += _check_controllers(cfg)
    faults += _check_durations_and_tracing(cfg)
    return tuple(faults)
