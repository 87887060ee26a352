"""Losses: a relay of HTTP calls that loses changes or their answers."""

import http.server
import json
import threading

from testbed import machines


class LossyRelay:
    """Passes calls on to a daemon; of a PUT either way may be lost.

    With ``passes_on`` the daemon gets the change and its answer is lost,
    without it the change itself is.
    """

    def __init__(self, *, address: str, passes_on: bool) -> None:
        self._address = address
        self._passes_on = passes_on
        self._server = http.server.ThreadingHTTPServer(
            ("127.0.0.1", 0), self._make_handler()
        )
        self._thread = threading.Thread(
            target=self._server.serve_forever, daemon=True
        )

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self._server.server_port}"

    def start(self) -> None:
        """Begin to pass on."""
        self._thread.start()

    def stop(self) -> None:
        """End."""
        self._server.shutdown()
        self._server.server_close()

    def _make_handler(self):
        relay = self

        class Handler(http.server.BaseHTTPRequestHandler):
            """Passes one call on."""

            def do_GET(self):  # noqa: N802
                """Pass a question and its answer on."""
                status, text = relay.pass_on(self, b"")
                self.send_response(status)
                self.end_headers()
                self.wfile.write(text)

            def do_PUT(self):  # noqa: N802
                """Lose a change or its answer."""
                body = self.rfile.read(int(self.headers["Content-Length"]))
                if relay.passes_on:
                    relay.pass_on(self, body)

            def log_message(self, *arguments):
                """Write nothing."""

        return Handler

    @property
    def passes_on(self) -> bool:
        """Whether the daemon gets changes."""
        return self._passes_on

    def pass_on(self, handler, body: bytes) -> tuple[int, bytes]:
        """Call the daemon; return status and body of its answer."""
        reply = machines.call(
            handler.command,
            self._address,
            handler.path,
            json.loads(body) if body else None,
            headers={"Authorization": handler.headers["Authorization"]},
        )
        return reply.status, reply.text.encode()
