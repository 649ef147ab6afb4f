"""Settings: declared once, read from flags and the environment, checked all at once."""

from marjoramvalve.settings.checks import check_settings
from marjoramvalve.settings.declarations import DECLARATIONS, Declaration, Kind, reference_table
from marjoramvalve.settings.loading import Settings, load_settings

__all__ = [
    "DECLARATIONS",
    "Declaration",
    "Kind",
    "Settings",
    "check_settings",
    "load_settings",
    "reference_table",
]
