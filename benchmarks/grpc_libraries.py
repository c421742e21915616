"""CPU and memory per check of grpcio's asyncio API and of grpclib, as clients of the same simulated authoriser.

Run by hand: ``python -m benchmarks.grpc_libraries``. Each library runs in its own process on uvloop, in alternation;
the result is the ratio of their CPU in one run.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import resource
import subprocess
import sys
import time

import uvloop

METHOD = "/envoy.service.auth.v3.Authorization/Check"
BODY = b'\n\x1e\n\x12"\x1000000000000000071\x08\x01' * 6
REPLY = b"\n\x00"


def raw_codec():
    """Return a grpclib codec that passes bytes through; grpclib is imported only where it is measured."""
    from grpclib.encoding.base import CodecBase

    class Raw(CodecBase):
        __content_subtype__ = "proto"

        def encode(self, message, message_type):
            return message

        def decode(self, data, message_type):
            return bytes(data)

    return Raw()


async def serve() -> None:
    """Run a grpclib authoriser that allows every request, and print its port."""
    from grpclib.const import Cardinality, Handler
    from grpclib.server import Server

    async def check(stream) -> None:
        await stream.recv_message()
        await stream.send_message(REPLY)

    class Service:
        def __mapping__(self):
            return {METHOD: Handler(check, Cardinality.UNARY_UNARY, bytes, bytes)}

    server = Server([Service()], codec=raw_codec())
    await server.start("127.0.0.1", 0)
    print(server._server.sockets[0].getsockname()[1], flush=True)
    await asyncio.sleep(600)


async def by_grpcio(port: int, number: int, concurrency: int) -> None:
    import grpc

    async with grpc.aio.insecure_channel(f"127.0.0.1:{port}") as channel:
        call = channel.unary_unary(METHOD)
        await _drive(lambda: call(BODY, timeout=5), number, concurrency)


async def by_grpclib(port: int, number: int, concurrency: int) -> None:
    from grpclib.client import Channel, UnaryUnaryMethod

    channel = Channel("127.0.0.1", port, codec=raw_codec())
    method = UnaryUnaryMethod(channel, METHOD, bytes, bytes)
    await _drive(lambda: method(BODY, timeout=5), number, concurrency)
    channel.close()


async def _drive(once, number: int, concurrency: int) -> None:
    await once()
    began, cpu = time.perf_counter(), time.process_time()
    left = number

    async def worker() -> None:
        nonlocal left
        while left > 0:
            left -= 1
            assert bytes(await once()) == REPLY

    await asyncio.gather(*(worker() for _ in range(concurrency)))
    used, wall = time.process_time() - cpu, time.perf_counter() - began
    peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    print(json.dumps({"us": 1e6 * used / number, "rate": number / wall, "mb": peak}))


def main() -> None:
    """Print the table, or run one part of the benchmark in a child process."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--part", choices=("serve", "grpcio", "grpclib"))
    parser.add_argument("--port", type=int)
    parser.add_argument("--number", type=int, default=4000)
    parser.add_argument("--rounds", type=int, default=3)
    options = parser.parse_args()
    if options.part == "serve":
        uvloop.run(serve())
    elif options.part:
        work = by_grpcio if options.part == "grpcio" else by_grpclib
        uvloop.run(work(options.port, options.number, 32))
    else:
        command_prefix = [sys.executable, "-m", "benchmarks.grpc_libraries", "--part"]
        server = subprocess.Popen([*command_prefix, "serve"], stdout=subprocess.PIPE, text=True)
        try:
            port = server.stdout.readline().strip()
            print(f"{'library':<10}{'us CPU a check':>16}{'checks/s':>12}{'peak MB':>10}")
            for _ in range(options.rounds):
                for part in ("grpcio", "grpclib"):
                    command = [
                        *command_prefix,
                        part,
                        "--port",
                        port,
                        "--number",
                        str(options.number),
                    ]
                    found = json.loads(
                        subprocess.run(command, capture_output=True, text=True, check=True).stdout
                    )
                    print(
                        f"{part:<10}{found['us']:>16.0f}{found['rate']:>12.0f}{found['mb']:>10.0f}",
                        flush=True,
                    )
        finally:
            server.kill()


if __name__ == "__main__":
    main()
