"""Settings of the programs, read from an INI file and validated."""

import dataclasses
import logging
import pathlib
from typing import Any, Final

from hornbeampulley._settings_kinds import InvalidValueError, ValueRule
from hornbeampulley._settings_source import load_text, parse_text
from hornbeampulley.errors import Fault, SettingsError

MAX_PORT: Final = 65_535
MAX_BODY_BYTES: Final = 1 << 30
MAX_OPEN_REQUESTS: Final = 1_000_000
MAX_RETENTION_MS: Final = 3_600_000
MAX_DRAIN_MS: Final = 86_400_000

_NAME: Final = {'rule': ValueRule('name')}
_ADDRESS: Final = {'rule': ValueRule('address')}
_PORT: Final = {'rule': ValueRule('integer', 1, MAX_PORT)}


def _bounded_int(default: int, minimum: int, maximum: int) -> Any:
    rule = ValueRule('integer', minimum, maximum)
    return dataclasses.field(default=default, metadata={'rule': rule})


def _port_field(default: int) -> Any:
    return dataclasses.field(default=default, metadata=_PORT)


@dataclasses.dataclass(frozen=True, slots=True)
class HostSettings:
    """Host that the process runs on.

    Attributes
    ----------
    name : str
        Name in the platform's list of hosts.
    address : str
        IP address that peers and callers connect to.
    availability_zone : str
        Availability zone of the host.
    region : str
        Region, a group of availability zones; empty if there is only one.
    """

    name: str = dataclasses.field(metadata=_NAME)
    address: str = dataclasses.field(metadata=_ADDRESS)
    availability_zone: str = dataclasses.field(metadata=_NAME)
    region: str = dataclasses.field(default='', metadata=_NAME)


@dataclasses.dataclass(frozen=True, slots=True)
class PortSettings:
    """TCP ports; the same on every host.

    Attributes
    ----------
    caller : int
        HTTP port of the entry.
    entry_peer, scheduler_peer, agent_peer : int
        Ports of the peer protocol of the three programs.
    """

    caller: int = _port_field(8470)
    entry_peer: int = _port_field(8471)
    scheduler_peer: int = _port_field(8472)
    agent_peer: int = _port_field(8473)


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Endpoint of the configuration service and the list of hosts.

    Attributes
    ----------
    address : str
        IP address of the service.
    port : int
        TCP port of the service.
    """

    address: str = dataclasses.field(metadata=_ADDRESS)
    port: int = dataclasses.field(metadata=_PORT)


@dataclasses.dataclass(frozen=True, slots=True)
class PeerSettings:
    """Peers to contact before the list of hosts has been read.

    Attributes
    ----------
    seeds : tuple of str
        IP addresses of agents.
    """

    seeds: tuple[str, ...] = dataclasses.field(
        default=(),
        metadata={'rule': ValueRule('addresses')},
    )


@dataclasses.dataclass(frozen=True, slots=True)
class MetricSettings:
    """Statsd server that metrics are sent to.

    Attributes
    ----------
    statsd_address : str or None
        IP address of the statsd server; None disables metrics.
    statsd_port : int
        UDP port of the statsd server.
    """

    statsd_address: str | None = dataclasses.field(
        default=None,
        metadata=_ADDRESS,
    )
    statsd_port: int = _port_field(8125)


@dataclasses.dataclass(frozen=True, slots=True)
class LogSettings:
    """Level and destination of the log.

    Attributes
    ----------
    level : int
        Lowest level that is logged.
    file : str
        Path of the log file; empty for standard error.
    """

    level: int = dataclasses.field(
        default=logging.INFO,
        metadata={'rule': ValueRule('level')},
    )
    file: str = dataclasses.field(
        default='', metadata={'rule': ValueRule('path')}
    )


@dataclasses.dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on the work of a process.

    Attributes
    ----------
    max_body_bytes : int
        Maximum length of a request body.
    max_open_requests : int
        Maximum number of requests waiting or running at one entry.
    retention_ms : int
        How long an answer is kept for repeats of its request.
    drain_timeout_ms : int
        Maximum time that a shutdown waits for open requests.
    """

    max_body_bytes: int = _bounded_int(8 << 20, 1, MAX_BODY_BYTES)
    max_open_requests: int = _bounded_int(10_000, 1, MAX_OPEN_REQUESTS)
    retention_ms: int = _bounded_int(60_000, 0, MAX_RETENTION_MS)
    drain_timeout_ms: int = _bounded_int(600_000, 0, MAX_DRAIN_MS)


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """All settings of a process; each attribute is a section of the file."""

    host: HostSettings
    ports: PortSettings
    platform: PlatformSettings
    peers: PeerSettings
    metrics: MetricSettings
    logs: LogSettings
    limits: LimitSettings


def read_settings(path: pathlib.Path | str) -> Settings:
    """Read and check a settings file.

    Parameters
    ----------
    path : pathlib.Path or str
        Path of the file.

    Returns
    -------
    Settings
        Checked settings.

    Raises
    ------
    SettingsError
        With all faults of the file.
    """
    return Settings(**read_sections(path, Settings))


def read_sections(path: pathlib.Path | str, kind: Any) -> dict[str, Any]:
    """Read and check the sections of a settings file.

    Parameters
    ----------
    path : pathlib.Path or str
        Path of the file.
    kind : data class
        Data class whose fields are the sections; each section is a data
        class whose fields are its keys.

    Returns
    -------
    dict
        Checked sections by name.

    Raises
    ------
    SettingsError
        With all faults of the file.
    """
    path = pathlib.Path(path)
    text = load_text(path)
    if isinstance(text, Fault):
        raise SettingsError((text,))
    source = parse_text(path, text)
    reader = _Reader(path, source.sections)
    sections = reader.read_sections(kind)
    faults = (*source.faults, *reader.faults)
    if faults:
        raise SettingsError(faults)
    return sections


class _Reader:
    """Checks the sections of one file and collects their faults."""

    def __init__(
        self,
        path: pathlib.Path,
        texts: dict[str, dict[str, str]],
    ) -> None:
        self.faults: list[Fault] = []
        self._path = path
        self._texts = texts

    def read_sections(self, kind: Any) -> dict[str, Any]:
        known = {field.name: field.type for field in dataclasses.fields(kind)}
        self._check_unknown_names('', self._texts, known)
        sections = {
            name: self._read_section(name, data_class)
            for name, data_class in known.items()
        }
        if sections.get('ports'):
            self._check_ports(sections['ports'])
        return sections

    def _read_section(self, section: str, data_class: Any) -> Any:
        texts = self._texts.get(section, {})
        fields = dataclasses.fields(data_class)
        known = {field.name: field for field in fields}
        self._check_unknown_names(f' [{section}]', texts, known)
        count_before = len(self.faults)
        read = {
            name: self._read_value(section, field, texts.get(name))
            for name, field in known.items()
        }
        if len(self.faults) > count_before:
            return None
        return data_class(**read)

    def _read_value(
        self,
        section: str,
        field: dataclasses.Field[Any],
        text: str | None,
    ) -> object:
        rule = field.metadata['rule']
        place = f'{self._path} [{section}] {field.name}'
        if text is None:
            if field.default is dataclasses.MISSING:
                self._add_fault(place, 'missing', f'write {rule.describe()}')
            return field.default
        try:
            return rule.parse(text)
        except InvalidValueError as error:
            self._add_fault(place, str(error), f'write {rule.describe()}')
        return None

    def _check_unknown_names(
        self,
        section: str,
        found: dict[str, Any],
        known: dict[str, Any],
    ) -> None:
        for name in found:
            if name not in known:
                place = f'{self._path}{section}'
                noun = 'key' if section else 'section'
                choice = ', '.join(known)
                remedy = f'remove it or write one of: {choice}'
                self._add_fault(place, f'unknown {noun} {name!r}', remedy)

    def _check_ports(self, ports: PortSettings) -> None:
        users: dict[int, str] = {}
        for name, port in dataclasses.asdict(ports).items():
            if port in users:
                place = f'{self._path} [ports] {name}'
                problem = f'{port} is the port of {users[port]} too'
                self._add_fault(place, problem, 'write another port')
            users.setdefault(port, name)

    def _add_fault(self, place: str, problem: str, remedy: str) -> None:
        self.faults.append(Fault(place, problem, remedy))
