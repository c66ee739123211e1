"""A transport for protocols that are driven without a socket."""

from savorybend.relay import upstream


class RecordingTransport:
    """Records the data written and how it was closed.

    Attributes:
        written: All data written.
        closed: Whether it was closed.
        aborted: Whether it was closed at once.
        paused: Whether nothing is to be read.
    """

    def __init__(self):
        self.written = b""
        self.closed = False
        self.aborted = False
        self.paused = False

    def write(self, data):
        self.written += data

    def get_write_buffer_size(self):
        return 0

    def set_write_buffer_limits(self, high):
        pass

    def is_closing(self):
        return self.closed

    def abort(self):
        self.closed = self.aborted = True

    def close(self):
        self.closed = True

    def pause_reading(self):
        self.paused = True

    def resume_reading(self):
        self.paused = False


def match(request_id):
    """Returns a function that matches responses by the header `Id`."""

    def match_headers(headers):
        if (b"id", request_id) in headers:
            return upstream.Match.OWN
        return upstream.Match.ANOTHER

    return match_headers
