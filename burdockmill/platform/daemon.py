"""Run a host on the platform."""

from __future__ import annotations

import os
import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn

from loguru import logger

from burdockmill._line_writer import LineWriter
from burdockmill.fast_start_service import run_until_stopped
from burdockmill.forwarding_node import ForwardingNode
from burdockmill.logs import set_up_logs
from burdockmill.platform.ingress_codec import PlatformIngressCodec
from burdockmill.platform.settings_file import parse_platform_settings
from burdockmill.platform.store_source import StoreSource
from burdockmill.platform.upstream_codec import PlatformUpstreamCodec
from burdockmill.platform.wire_names import SETTINGS_VARIABLE
from burdockmill.settings_watcher import SettingsWatcher

if TYPE_CHECKING:
    from socket import socket

    from burdockmill.forwarding.settings import ForwardingSettings
    from burdockmill.settings_fields import SettingProblem
    from burdockmill.settings_reading import SettingsReading

EXIT_BAD_SETTINGS = 2
# What follows these bytes of the settings file is not read.
SETTINGS_BYTES_LIMIT = 1_048_576


def main(ingress_socket: socket | None = None, started_ms: float | None = None) -> None:
    """Serve until SIGTERM or SIGINT, with the file that SETTINGS_VARIABLE names.

    `ingress_socket` is already listening for clients, and `started_ms` is the time of
    BootClock at which the process started.
    """
    path = _settings_path()
    settings, problems = _read_settings(path)
    writer = LineWriter(sys.stdout)
    set_up_logs("json", settings.log_level, writer)
    for problem in problems:
        logger.error("settings: {}; a default takes its place.", problem)
    node: ForwardingNode | None = None

    def make() -> ForwardingNode:
        nonlocal node
        node = make_node(settings, writer, ingress_socket, started_ms)
        node.watch_settings(watch)
        return node

    def apply(changed: ForwardingSettings) -> None:
        if node is not None:
            node.apply(changed)

    watch = SettingsWatcher(settings, lambda last: _read(path, last), apply, problems)
    run_until_stopped(make, settings.stop_grace_ms, watch.check)


def make_node(
    settings: ForwardingSettings,
    writer: LineWriter,
    ingress_socket: socket | None = None,
    started_ms: float | None = None,
) -> ForwardingNode:
    """Return a host that uses the platform's store and protocols."""

    def body_limit() -> int:
        return node.limits.body_bytes

    node = ForwardingNode(
        settings,
        StoreSource(settings.store_address),
        PlatformIngressCodec(settings.client_path_ms, body_limit),
        PlatformUpstreamCodec(),
        writer,
        ingress_socket=ingress_socket,
        process_started_ms=started_ms,
    )
    return node


def _settings_path() -> Path:
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        _exit_with_errors(
            f"the variable {SETTINGS_VARIABLE} is not set; set it to the settings file"
        )
    return Path(path)


def _read(path: Path, last: ForwardingSettings | None = None) -> SettingsReading:
    with path.open("rb") as file:
        text = file.read(SETTINGS_BYTES_LIMIT).decode(errors="replace")
    return parse_platform_settings(text, last)


def _read_settings(
    path: Path,
) -> tuple[ForwardingSettings, tuple[SettingProblem, ...]]:
    try:
        settings, problems = _read(path)
    except OSError as error:
        _exit_with_errors(f"cannot read {path}: {error}; check the file")
    if settings is None:
        _exit_with_errors(*(f"{path}: {problem}" for problem in problems))
    return settings, problems


def _exit_with_errors(*lines: str) -> NoReturn:
    for line in lines:
        sys.stderr.write(f"burdockmill: {line}\n")
    sys.exit(EXIT_BAD_SETTINGS)
