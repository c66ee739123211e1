"""Reads the settings again while the daemon runs."""

import collections.abc

import structlog

from savorybend.internal import errors
from savorybend.relay import settings

_log = structlog.get_logger()


class Reloading:
    """Applies changed settings; most take effect at the next start only."""

    def __init__(
        self,
        loaded_settings: settings.Settings,
        reload: collections.abc.Callable[[], settings.Settings],
        set_service: collections.abc.Callable[[str], None],
    ):
        self._settings = loaded_settings
        self._reload = reload
        self._set_service = set_service

    def reload(self) -> None:
        """Reads the settings and applies the name of the service."""
        try:
            loaded_settings = self._reload()
        except errors.InvalidSettingError as error:
            _log.error("settings_not_reloaded", error=str(error))
            return
        changed = [
            name
            for name, before, after in zip(
                loaded_settings._fields,
                self._settings,
                loaded_settings,
                strict=True,
            )
            if before != after
        ]
        if not changed:
            return
        _log.info("settings_reloaded", changed=",".join(changed))
        self._settings = loaded_settings
        self._set_service(loaded_settings.service)


def create_reloading(
    loaded_settings: settings.Settings,
    reload: collections.abc.Callable[[], settings.Settings],
    set_service: collections.abc.Callable[[str], None],
) -> Reloading:
    """Returns what reloads the settings of a daemon.

    Args:
        loaded_settings: The settings that the daemon started with.
        reload: Reads the settings again; raises `errors.InvalidSettingError`.
        set_service: Called with the name of this daemon's service.
    """
    return Reloading(loaded_settings, reload, set_service)
