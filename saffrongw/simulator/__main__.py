"""The process that the simulator starts: frames on standard input, replies on standard output.

Each frame gets one reply. One process runs many gateways, which share no state.
"""

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
    """Answer frames until the input ends; raise ``WireError`` if a frame is malformed."""
    decoder = codec.Decoder()
    gateways: dict[int, Gateway] = {}
    while first := source.read(1):
        header = first + _read(source, codec.HEADER.size - 1)
        count, length, now_us = codec.HEADER.unpack(header)
        encoder = codec.Encoder()
        for number, event in decoder.frame(count, _read(source, length)):
            if isinstance(event, codec.Stop):
                gateways.pop(number, None)
                continue
            if not isinstance(event, codec.Start) and number not in gateways:
                raise codec.WireError(f"event for gateway {number}, which never started")
            try:
                actions = _decide(gateways, number, event, now_us)
            # Any exception of the policy is reported to the simulator in a record of the reply.
            except Exception as error:  # noqa: BLE001
                encoder.add_policy_error(number, f"{type(error).__name__}: {error}")
                continue
            for action in actions:
                encoder.add(number, action)
        sink.write(encoder.reply())
        sink.flush()


def _decide(
    gateways: dict[int, Gateway], number: int, event: codec.Start | Event, now_us: int
) -> list[Action]:
    if isinstance(event, codec.Start):
        gateways[number] = Gateway(event.settings, event.seed, now_us)
        return gateways[number].start()
    return gateways[number].handle(now_us, event)


def main() -> int:
    """Serve standard input; if it is malformed, print one line on standard error and return 1."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except codec.WireError as error:
        print(f"saffrongw.simulator: {error}", file=sys.stderr)
        return 1
    except BrokenPipeError:
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
