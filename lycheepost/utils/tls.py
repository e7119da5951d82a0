"""TLS contexts whose certificate is replaced while the listener runs.

A certificate is renewed by writing new files. A task checks their content
periodically. When it has changed and the certificate matches the key, later handshakes
use the new pair; open connections keep theirs. An invalid or partially written pair is
logged and the old one stays in use.

The listener's own context is never reloaded: loading sets the certificate before the
key, so a pair that does not match would leave a context that fails every handshake.
Each pair gets a context of its own, and an SNI callback on the listener's context
switches each new connection to the newest one.
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
    """The TLS context of one listener; created by ``make_tls_manager``.

    Args:
        name: Name of the listener in logs.
        settings: Paths of the files and the interval between checks.
        first: Context of the pair loaded at the start.
        digest: Digest of that pair.
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
        """Start to check the files periodically."""
        self._task = asyncio.create_task(self._run(), name=f"tls-{self._name}")

    async def drain(self) -> None:
        """Do nothing: open connections keep their context."""

    async def stop(self) -> None:
        """Stop checking the files."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def reload(self) -> bool:
        """Use the pair in the files if it is new and valid; return whether it was."""
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
                # The files changed while they were read; the next check retries.
                return False
            case Failure(error):
                self._log_rejected(digest, error)
        return False

    def _log_rejected(self, digest: str, error: TlsError) -> None:
        # Once for each content, so that a pair that stays invalid does not fill the
        # log. Partially written files are the usual case.
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
    """Return the manager of a listener's TLS context, or why there is none."""
    digest = _digest_files(settings)
    return _load(settings).map(
        lambda context: TlsManager(name, settings, context, digest)
    )


def _load(settings: TlsSettings) -> Result[ssl.SSLContext, TlsError]:
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(settings.certificate_path, settings.key_path)
    except (OSError, ValueError) as error:
        # ssl.SSLError is an OSError; its text contains no secret.
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
