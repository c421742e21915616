"""The process on the wire: frames in, one flushed reply to each out, many gateways that share nothing."""

from __future__ import annotations

import sys
from typing import BinaryIO

from ..policy.actions import Action
from ..policy.events import Event
from ..policy.gateway import Gateway
from . import codec


def _read(source: BinaryIO, size: int) -> bytes:
    data = source.read(size)
    if len(data) < size:
        raise codec.WireError(f"input ended within a frame: {len(data)} of {size} bytes")
    return data


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer frames until the input ends."""
    decoder = codec.Decoder()
    gateways: dict[int, Gateway] = {}
    while first := source.read(1):
        head = first + _read(source, codec.HEADER.size - 1)
        count, length, now = codec.HEADER.unpack(head)
        encoder = codec.Encoder()
        for number, event in decoder.frame(count, _read(source, length)):
            if isinstance(event, codec.Stop):
                gateways.pop(number, None)
                continue
            if not isinstance(event, codec.Start) and number not in gateways:
                raise codec.WireError(f"event for gateway {number}, which never started")
            try:
                actions = _decide(gateways, number, event, now)
            except (
                Exception
            ) as failure:  # the wire wants every failure of the decisions as a record
                encoder.bug(number, f"{type(failure).__name__}: {failure}")
                continue
            for action in actions:
                encoder.add(number, action)
        sink.write(encoder.reply())
        sink.flush()


def _decide(
    gateways: dict[int, Gateway], number: int, event: codec.Start | Event, now: int
) -> list[Action]:
    if isinstance(event, codec.Start):
        gateways[number] = Gateway(event.settings, event.seed, now)
        return gateways[number].start()
    return gateways[number].handle(now, event)


def main() -> int:
    """Serve standard input and output; one plain line and 1 where the input is not of this wire."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except codec.WireError as wrong:
        print(f"saffrongw.simulator: {wrong}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
