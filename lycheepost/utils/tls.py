"""TLS contexts whose certificate is replaced while the listener runs.

A certificate is renewed by writing new files. A task looks at their content and,
when it has changed and certificate and key go together, uses the new pair for
every later handshake; connections that are open keep theirs. A broken or half
written pair is logged and the old one kept.

The listener's own context is never loaded a second time: loading sets the
certificate before the key, so a pair that does not match would leave a context
that fails every handshake. Each pair gets a context of its own, and the
listener's hands each new connection over to the newest one.
"""

import asyncio
import hashlib
import pathlib
import ssl
from dataclasses import dataclass

import structlog
from returns.result import Failure, Result, Success

from lycheepost.core.errors import LycheepostError
from lycheepost.generated.settings import TlsSettings

_log = structlog.get_logger(part="tls")


@dataclass(frozen=True)
class TlsError(LycheepostError):
    """The certificate and key cannot be used."""


class TlsManager:
    """The TLS context of one listener; made by ``make_tls_manager``.

    Args:
        name: Stands in logs.
        settings: Where the files are and how often they are looked at.
        first: The context of the pair that was there at the start.
        digest: Of that pair.
    """

    def __init__(
        self, name: str, settings: TlsSettings, first: ssl.SSLContext, digest: str
    ) -> None:
        self._name = name
        self._settings = settings
        self._newest = first
        self._digest = digest
        self._rejected_digest = ""
        self._task: asyncio.Task[None] | None = None
        self.context = first
        first.sni_callback = self._use_newest_context

    def _use_newest_context(
        self, connection: ssl.SSLObject, _server_name: str | None, _: ssl.SSLContext
    ) -> None:
        connection.context = self._newest

    async def start(self) -> None:
        """Begin to look at the files."""
        self._task = asyncio.create_task(self._run(), name=f"tls-{self._name}")

    async def drain(self) -> None:
        """Do nothing: connections in flight keep their context."""

    async def stop(self) -> None:
        """Stop looking."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def reload(self) -> bool:
        """Use the pair in the files if it is new and whole; return whether it was."""
        digest = _digest_files(self._settings)
        if digest in ("", self._digest):
            return False
        match _load(self._settings):
            case Success(context) if _digest_files(self._settings) == digest:
                self._newest = context
                self._digest = digest
                _log.info("tls: certificate replaced", name=self._name)
                return True
            case Success():
                # The files changed while they were read: look again next time.
                return False
            case Failure(error):
                self._log_rejected(digest, error)
        return False

    def _log_rejected(self, digest: str, error: TlsError) -> None:
        # Once for each content: half written files are the usual case, and a
        # pair that stays broken must not fill the log.
        if digest != self._rejected_digest:
            self._rejected_digest = digest
            _log.warning(
                "tls: new certificate not used", name=self._name, reason=error.reason
            )

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(self._settings.reread_seconds)
            self.reload()


def make_tls_manager(name: str, settings: TlsSettings) -> Result[TlsManager, TlsError]:
    """Return the keeper of a listener's TLS context, or why there is none."""
    digest = _digest_files(settings)
    return _load(settings).map(
        lambda context: TlsManager(name, settings, context, digest)
    )


def _load(settings: TlsSettings) -> Result[ssl.SSLContext, TlsError]:
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(settings.certificate_path, settings.key_path)
    except (OSError, ValueError) as error:
        # ssl.SSLError is an OSError; its text names no secret.
        reason = getattr(error, "reason", None) or str(error)
        return Failure(TlsError(f"{settings.certificate_path}: {reason}"))
    return Success(context)


def _digest_files(settings: TlsSettings) -> str:
    """Return the digest of both files; empty when one cannot be read."""
    digest = hashlib.sha256()
    for path in (settings.certificate_path, settings.key_path):
        try:
            data = pathlib.Path(path).read_bytes()
        except OSError:
            return ""
        digest.update(len(data).to_bytes(8, "big") + data)
    return digest.hexdigest()
