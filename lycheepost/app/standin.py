"""Runs one stand-in as a separate process."""

from enum import Enum
from typing import Protocol

from aiohttp import web

from lycheepost.core.ids import AvailabilityZone, ModelId, WeightsVersion
from lycheepost.generated.standin import StandinSettings
from lycheepost.ports.vms import Vm, VmRole, VmState
from lycheepost.ports.weights import WeightsInfo
from lycheepost.standin.engine import make_engine
from lycheepost.standin.enginesettings import EngineStandinSettings
from lycheepost.standin.objects import make_object_model, make_objects_app
from lycheepost.standin.service import ServiceStandinSettings, make_service
from lycheepost.standin.table import make_table_app, make_table_model
from lycheepost.standin.vmlist import make_vm_list_app, make_vm_list_model
from lycheepost.standin.webserver import StandinServer
from lycheepost.standin.weightstore import (
    make_weight_store_app,
    make_weight_store_model,
)


class StandinKind(Enum):
    """The service that a stand-in process imitates."""

    ENGINE = "engine"
    SERVICE = "service"
    TABLE = "table"
    OBJECTS = "objects"
    WEIGHTS = "weights"
    VM_LIST = "vm-list"


class Standin(Protocol):
    """A stand-in with an HTTP server."""

    @property
    def url(self) -> str:
        """Return the base URL."""
        ...

    async def start(self) -> str:
        """Start listening and return the base URL."""
        ...

    async def stop(self) -> None:
        """Close all connections and stop."""
        ...


class StandinApplication:
    """The life cycle of one stand-in process."""

    def __init__(self, standin: Standin) -> None:
        self.standin = standin

    async def start(self) -> None:
        """Start listening."""
        await self.standin.start()

    async def drain(self) -> None:
        """Do nothing: the imitated service may disappear at any time."""

    async def stop(self) -> None:
        """Stop listening."""
        await self.standin.stop()


def make_standin(kind: StandinKind, settings: StandinSettings) -> Standin:
    """Return a stand-in of the given kind without starting it."""
    match kind:
        case StandinKind.ENGINE:
            return _make_engine(settings)
        case StandinKind.SERVICE:
            return _make_service(settings)
        case _:
            app = _make_platform_app(kind, settings)
            return StandinServer(lambda: app, settings.host, settings.port)


def _make_engine(settings: StandinSettings) -> Standin:
    section = settings.engine
    return make_engine(
        EngineStandinSettings(
            host=settings.host,
            port=settings.port,
            model=section.model,
            weights_version=section.weights_version,
            checks_fencing=section.checks_fencing,
            restart_seconds=section.restart_seconds,
            load_lag_seconds=section.load_lag_seconds,
            crash_text=section.crash_text,
        )
    )


def _make_service(settings: StandinSettings) -> Standin:
    section = settings.service
    return make_service(
        ServiceStandinSettings(
            host=settings.host,
            port=settings.port,
            run_seconds=section.run_seconds,
            restart_seconds=section.restart_seconds,
        )
    )


def _make_platform_app(kind: StandinKind, settings: StandinSettings) -> web.Application:
    match kind:
        case StandinKind.TABLE:
            section = settings.table
            return make_table_app(
                make_table_model(
                    reads_per_second=section.reads_per_second,
                    writes_per_second=section.writes_per_second,
                )
            )
        case StandinKind.OBJECTS:
            return make_objects_app(make_object_model())
        case StandinKind.WEIGHTS:
            return _make_weights_app(settings)
        case _:
            return _make_vm_list_app(settings)


def _make_weights_app(settings: StandinSettings) -> web.Application:
    model = make_weight_store_model(settings.weights.full_speed_loads)
    for entry in settings.weights.versions:
        model.put(
            WeightsInfo(
                ModelId(entry.model),
                WeightsVersion(entry.weights_version),
                entry.size_bytes,
                entry.load_seconds,
            )
        )
    return make_weight_store_app(model)


def _make_vm_list_app(settings: StandinSettings) -> web.Application:
    model = make_vm_list_model()
    model.faults.lag_seconds = settings.vm_list.lag_seconds
    for entry in settings.vm_list.vms:
        model.put(
            Vm(
                name=entry.name,
                role=VmRole(entry.role.value),
                state=VmState.LIVE,
                availability_zone=AvailabilityZone(entry.availability_zone),
                address=entry.address,
                callers_url=entry.callers_url,
                peer_endpoint=entry.peer_endpoint,
            )
        )
    return make_vm_list_app(model)
