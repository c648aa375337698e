"""Apply changes of the catalog to what the data path stores of upstreams and routes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from burdockmill.policies.cold_rate import cold_rate_per_s

if TYPE_CHECKING:
    from burdockmill.forwarding.data_path import DataPath
    from burdockmill.forwarding.messages import Registration
    from burdockmill.forwarding.routes import RoutingTables
    from burdockmill.forwarding.settings import ForwardingSettings
    from burdockmill.messages.events import CatalogChanged
    from burdockmill.names import UpstreamId
    from burdockmill.world import World


class CatalogFollower:
    """Follow the catalog: observations, budgets, cold rates and connections.

    What the catalog no longer names is removed, and an upstream with another
    incarnation is reset.
    """

    def __init__(
        self, settings: ForwardingSettings, world: World, data_path: DataPath
    ) -> None:
        self._settings = settings
        self._world = world
        self._data_path = data_path

    def apply(self, change: CatalogChanged, now_ms: float) -> None:
        """Apply one change of the catalog."""
        catalog = self._world.catalog
        registered = catalog.registration_by_upstream
        for upstream in change.upstreams:
            registration = registered.get(upstream)
            if registration is None:
                self._remove(upstream)
            else:
                self._register(registration, now_ms)
        if change.tables and catalog.tables is not None:
            self._apply_tables(catalog.tables)
            self._data_path.client.apply_limits(registered)
            for registration in registered.values():
                self._set_cold_rate(registration, now_ms)

    def _remove(self, upstream: UpstreamId) -> None:
        self._data_path.observations.remove([upstream])
        self._world.reach.forget(upstream)
        self._data_path.client.close_pools([upstream])

    def _register(self, registration: Registration, now_ms: float) -> None:
        data_path, upstream = self._data_path, registration.upstream
        observation = data_path.observations.of(upstream)
        cold_until_ms = now_ms + registration.cold_ms
        # It may turn cold again while it runs.
        observation.cold_until_ms = cold_until_ms
        if observation.started_ms != registration.started_ms:
            self._world.reach.forget(upstream)
            data_path.silence.restarted(upstream, observation.started_ms, now_ms)
            data_path.observations.reset(
                upstream, registration.started_ms, cold_until_ms
            )
            data_path.client.close_pools([upstream])
        self._set_cold_rate(registration, now_ms)

    def _apply_tables(self, tables: RoutingTables) -> None:
        data_path = self._data_path
        names = {route.name for route in tables.routes}
        services = {one.name for one in tables.services}
        data_path.observations.keep_routes(names)
        data_path.choices.keep(names)
        data_path.budget.retain_only(services)
        data_path.room.follow({one.rank for one in tables.routes}, services)
        data_path.budget.has_ranks = data_path.room.has_ranks
        data_path.lag_timer.follow()

    def _set_cold_rate(self, registration: Registration, now_ms: float) -> None:
        """Bound what an upstream gets while it is cold, if its service names a rate."""
        bounds = self._world.catalog.bounds_by_service.get(registration.service)
        cold_per_s = 0.0 if bounds is None else bounds.cold_per_s
        ratio, allowance = self._settings.cold_ratio, self._settings.cold_allowance
        rate_per_s = cold_rate_per_s(cold_per_s, ratio, allowance)
        observation = self._data_path.observations.of(registration.upstream)
        cold_ms = max(0.0, observation.cold_until_ms - now_ms)
        self._world.limits.set_cold(
            registration._replace(cold_ms=cold_ms), rate_per_s, now_ms
        )
