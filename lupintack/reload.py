"""Reloads on SIGHUP: reads and checks both files, then applies the changes that need no restart."""

from __future__ import annotations

import dataclasses
import logging
from collections.abc import Callable, Mapping, Sequence
from typing import TYPE_CHECKING, Protocol

from lupintack import config, logs, operator
from lupintack.core.actor import Core
from lupintack.core.list_validity import FOREVER_US
from lupintack.core.member_table import MemberTable
from lupintack.core.settings_update import SettingsUpdate
from lupintack.discovery.client import DiscoveryClient
from lupintack.discovery.validity import validity_us
from lupintack.fronts.platform import Platform
from lupintack.limits.streams import StreamTerms
from lupintack.process.upgrade_sharing import UpgradeSharing
from lupintack.settings import changes

if TYPE_CHECKING:  # importing it costs memory, so it is imported only if a feature is on
    from lupintack.settings.operator import Operator

LOG = logging.getLogger("lupintack")
RELOADABLE_FIELDS = ("discovery_address", "settings", "names", "raw")  # of `Config`
STARTUP_FIELDS = ("initial_log", "tmp")  # of `Config`: only used by the start
NAME_LISTS = ("zones", "kinds", "reports")  # of `Names`: lists whose order is part of the running state


class StreamLimitedFront(Protocol):
    """A front whose stream limits can be reloaded."""

    def apply(self, terms: StreamTerms) -> None:
        """Apply new limits."""


class ReloadableNode(Protocol):
    """The parts of a node that a reload changes; a protocol, because the node's module imports this one."""

    conf: config.Config
    operator_settings: Operator | None

    @property
    def core(self) -> Core:
        """The actor that takes new settings."""

    @property
    def member_table(self) -> MemberTable:
        """The table whose purge times and validity follow the settings."""

    @property
    def discovery(self) -> DiscoveryClient:
        """The client whose address can change."""

    @property
    def platform(self) -> Platform:
        """The front that maps class names to indexes."""

    @property
    def http2(self) -> Sequence[StreamLimitedFront]:
        """The HTTP/2 fronts."""

    @property
    def sharing(self) -> UpgradeSharing:
        """What is shared with the router's other processes."""


def reload_files(node: ReloadableNode, environ: Mapping[str, str]) -> bool:
    """Reload both files; return whether they were applied. An invalid file leaves everything unchanged."""
    try:
        conf = config.load(environ)
        missing_key = changes.first_missing_key(node.conf.raw, conf.raw)
        if missing_key:
            raise config.ConfigError(f"EDGE_CONFIG: {missing_key}: is missing, and the running file has it")
    except config.ConfigError as error:
        report_rejection(node, "new configuration can't be used, the old one is kept", error)
        return False
    return reload_operator_file(node, environ, lambda: apply_configuration(node, conf))


def reload_operator_file(
    node: ReloadableNode, environ: Mapping[str, str], apply_first: Callable[[], None] = lambda: None
) -> bool:
    """Reload the operator file; return whether it was applied. If so, `apply_first` is called before."""
    try:
        operator_settings = operator.load(environ)
    except config.ConfigError as error:
        report_rejection(node, "new operator file can't be used, the old one is kept", error)
        return False
    node.core.counters.increment("reload.taken")
    apply_first()
    apply_operator_settings(node, operator_settings)
    return True


def report_rejection(node: ReloadableNode, text: str, error: config.ConfigError) -> None:
    """Log and count a rejected file."""
    LOG.error(text, extra=logs.fields(reason=error))
    node.core.counters.increment("reload.refused")


def report_ignored(names: Sequence[str]) -> None:
    """Log the changes that need a restart, if any."""
    if names:
        LOG.warning("changes ignored until the next start", extra=logs.fields(names=",".join(names)))


def apply_configuration(node: ReloadableNode, conf: config.Config) -> None:
    """Apply the platform's file: the settings, in one turn of the core, and the discovery address."""
    old = node.conf
    ignored = restart_only_changes(old, conf)
    settings = conf.settings
    running_lists = {name: getattr(old.names, name) for name in NAME_LISTS}
    changed_lists = [name for name in NAME_LISTS if getattr(conf.names, name) != running_lists[name]]
    if changed_lists:
        # Members hold indexes into these lists, which only a new endpoint list replaces.
        ignored += [f"names.{name}" for name in changed_lists]
        settings = changes.with_running_name_lists(old.settings, settings)
    report_ignored(ignored)
    node.conf = dataclasses.replace(
        old,
        discovery_address=conf.discovery_address,
        settings=settings,
        names=dataclasses.replace(conf.names, **running_lists),
        raw=conf.raw,
    )
    has_discovery = conf.discovery_address is not None
    node.member_table.set_purge_settle_ms(settings.purge_settle_ms)
    node.member_table.set_validity(validity_us(settings) if has_discovery else FOREVER_US)
    node.sharing.share_keys(settings)
    node.core.enqueue(SettingsUpdate(settings=settings, on_applied=node.platform.apply_settings))
    node.discovery.change_address(conf.discovery_address)
    log_configuration(old, conf, settings.max_attempts)


def restart_only_changes(old: config.Config, new: config.Config) -> list[str]:
    """Return the names of changed fields that need a restart."""
    excluded = RELOADABLE_FIELDS + STARTUP_FIELDS
    names = [field.name for field in dataclasses.fields(new) if field.name not in excluded]
    return [name for name in names if getattr(new, name) != getattr(old, name)]


def log_configuration(old: config.Config, new: config.Config, max_attempts: int) -> None:
    """Log an applied configuration with the request classes that it adds and removes."""
    before, after = set(old.names.classes), set(new.names.classes)
    added, removed = ",".join(sorted(after - before)), ",".join(sorted(before - after))
    applied = logs.fields(
        discovery=new.discovery_address, added=added, removed=removed, attempts=str(max_attempts)
    )
    LOG.info("configuration read", extra=applied)


def apply_operator_settings(node: ReloadableNode, new: Operator | None) -> None:
    """Apply changes that need no restart, and log the others as ignored until the next start."""
    running = node.operator_settings
    if running is None or new is None:
        report_ignored(["operator file"] if new is not running else [])
        return
    from lupintack.settings.operator import Http2, live_keys
    from lupintack.settings.terms import stream_terms

    reloadable = live_keys(Http2)
    names = Http2.__struct_fields__
    changed = [name for name in names if getattr(new.http2, name) != getattr(running.http2, name)]
    for server in node.http2:
        server.apply(stream_terms(new.http2))
    ignored = [f"http2.{name}" for name in changed if name not in reloadable]
    if new.membership != running.membership:
        ignored.append("membership")
    report_ignored(ignored)
    applied = ",".join(name for name in changed if name in reloadable)
    LOG.info("operator file read", extra=logs.fields(changed=applied))
