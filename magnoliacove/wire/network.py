"""Listening and connecting, optionally with mutual TLS."""

from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import ssl

import trio

from magnoliacove import defaults
from magnoliacove import errors

__all__ = ["Address", "Network", "TlsFiles"]


@dataclass(frozen=True)
class Address:
    """An IP address and a port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``host:port``, with brackets around an IPv6 address."""
        host, _, port = text.rpartition(":")
        digits = port.isascii() and port.isdigit() and len(port) <= 5
        if not host or not digits or int(port) > 65535:
            raise errors.UserError(
                f"{text!r} is no address; write it as 10.0.0.5:7000"
            )
        return cls(host.strip("[]"), int(port))

    def __str__(self) -> str:
        host = f"[{self.host}]" if ":" in self.host else self.host
        return f"{host}:{self.port}"

    @property
    def loopback(self) -> bool:
        """Whether the address is reachable only from this instance."""
        return self.host in ("::1", "localhost") or self.host.startswith(
            "127."
        )


@dataclass(frozen=True)
class TlsFiles:
    """The paths of a certificate, its key and the CA bundle."""

    certificate: str
    key: str
    authority: str


class Network:
    """Opens and accepts connections between processes.

    :param tls: files for mutual TLS, or None for plain TCP.
    """

    def __init__(self, tls: TlsFiles | None = None) -> None:
        self._server = self._client = None
        if tls is None:
            return
        self._server = _make_context(ssl.PROTOCOL_TLS_SERVER, tls)
        self._client = _make_context(ssl.PROTOCOL_TLS_CLIENT, tls)
        # Instances are addressed by IP addresses that change with each
        # replacement, so the CA authenticates the peer, not its host name.
        self._client.check_hostname = False

    async def connect(self, address: Address) -> trio.abc.Stream:
        """Open a connection.

        :raises magnoliacove.errors.PeerError: when the peer cannot be
            reached in time.
        """
        try:
            with trio.fail_after(defaults.CONNECT_TIMEOUT):
                stream = await trio.open_tcp_stream(address.host, address.port)
                if self._client is None:
                    return stream
                secure = trio.SSLStream(
                    stream, self._client, server_hostname=address.host
                )
                await secure.do_handshake()
                return secure
        except (OSError, trio.TooSlowError, trio.BrokenResourceError) as exc:
            raise errors.PeerError(
                f"{address} cannot be reached: {exc or 'no answer in time'}"
            ) from exc

    async def listen(
        self,
        address: Address,
        serve: Callable[[trio.abc.Stream], Awaitable[None]],
        *,
        task_status: trio.TaskStatus[Address],
    ) -> None:
        """Accept connections and serve each in a task until cancelled."""
        listeners = await trio.open_tcp_listeners(
            address.port, host=address.host
        )
        bound = listeners[0].socket.getsockname()

        async def accept(stream: trio.abc.Stream) -> None:
            if self._server is not None:
                stream = trio.SSLStream(
                    stream,  # type: ignore[arg-type]
                    self._server,
                    server_side=True,
                )
            await serve(stream)

        async with trio.open_nursery() as nursery:
            await nursery.start(trio.serve_listeners, accept, listeners)
            task_status.started(Address(address.host, bound[1]))


def _make_context(protocol: int, files: TlsFiles) -> ssl.SSLContext:
    try:
        context = ssl.SSLContext(protocol)
        context.minimum_version = ssl.TLSVersion.TLSv1_3
        context.load_cert_chain(files.certificate, files.key)
        context.load_verify_locations(files.authority)
    except OSError as exc:
        raise errors.UserError(
            f"the TLS files cannot be used ({exc}); check --tls-certificate, "
            "--tls-key and --tls-authority"
        ) from exc
    context.verify_mode = ssl.CERT_REQUIRED
    return context
