"""Data is written in order, and no faster than the transport takes it."""

import hypothesis
from hypothesis import strategies

from savorybend.relay import pacedwriter
from tests.relay import transports

_PIECE_BYTES = 32_768


class _SlowTransport(transports.RecordingTransport):
    """Takes a piece, and then says that it is full."""

    def __init__(self, writer):
        super().__init__()
        self._writer = writer
        self.full = False
        self.largest = 0

    def write(self, data):
        super().write(data)
        self.largest = max(self.largest, len(data))
        self.full = True
        self._writer.pause()

    def drain(self):
        self.full = False
        self._writer.resume()


def _written():
    writer = pacedwriter.create_paced_writer()
    transport = _SlowTransport(writer)
    writer.attach(transport)
    return writer, transport


@hypothesis.given(
    strategies.lists(strategies.integers(1, 100_000), max_size=8),
    strategies.booleans(),
)
def test_all_data_is_written_in_order_in_small_pieces(sizes, closes):
    writer, transport = _written()
    expected = b""
    for number, size in enumerate(sizes):
        data = bytes([number + 1]) * size
        expected += data
        writer.write(data)
    if closes:
        writer.close()
    while writer.unsent_bytes:
        transport.drain()
    assert transport.written == expected
    assert transport.largest <= _PIECE_BYTES
    assert transport.closed == closes


def test_data_that_is_dropped_keeps_no_room():
    writer, _ = _written()
    data = bytearray(100_000)
    writer.write(data)
    writer.clear()
    assert writer.unsent_bytes == 0
    # A buffer with a view on it can't be resized.
    data.clear()
