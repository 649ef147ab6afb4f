"""Settings of the daemon: their declarations, loading and checks."""

from marjoramvalve.settings.checks import check_settings
from marjoramvalve.settings.declarations import (
    DECLARATIONS,
    Declaration,
    SettingType,
    reference_table,
)
from marjoramvalve.settings.loading import Settings, load_settings

__all__ = [
    "DECLARATIONS",
    "Declaration",
    "SettingType",
    "Settings",
    "check_settings",
    "load_settings",
    "reference_table",
]
