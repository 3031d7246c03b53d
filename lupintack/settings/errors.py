"""Exceptions for settings that can't be used; each text is one line with the reason."""

from __future__ import annotations


class SettingsError(ValueError):
    """Raised for settings of an instance that can't be used."""


class ConfigError(ValueError):
    """Raised for a configuration file that can't be used."""
