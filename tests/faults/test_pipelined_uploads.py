"""Uploads that arrive in pieces, with further commands behind them on the same connection."""

from __future__ import annotations

import asyncio
import itertools
import os
import random

import pytest
import uvloop
from async_testing import asyncio_test
from crowd_rig import LimitedGateway
from pipeline_rig import (
    CLASSES,
    NamingEndpoint,
    PipelinedRequest,
    PipelineRun,
    ReplyChecker,
    exchange,
)

SEED_COUNT = int(os.environ.get("PIPELINE_SEEDS", "6"))
RUN_TIMEOUT_S = 40
SHOWN_FAULTS = 20
UPLOAD_BYTES = 20_000
# Bytes of the upload that arrive before the rest of it, which comes with the commands behind it.
FIRST_PIECE_BYTES = 6_000
UPLOADS_AND_FOLLOWERS = list(itertools.product(("put", "bill"), CLASSES))


@pytest.mark.parametrize(("upload", "follower"), UPLOADS_AND_FOLLOWERS)
@asyncio_test
async def test_a_command_behind_an_upload_in_pieces_does_not_get_the_reply_to_the_upload(
    tmp_path, upload, follower
):
    endpoint = await NamingEndpoint(random.Random(1)).listen()
    gateway = LimitedGateway(tmp_path, endpoint, memory_mb=192, sockets=256)
    await gateway.start()
    requests = [PipelinedRequest.of(upload, UPLOAD_BYTES), PipelinedRequest.of(follower, 100)]
    replies = await exchange(gateway, requests, FIRST_PIECE_BYTES)
    checker = ReplyChecker(endpoint)
    for request, reply in zip(requests, replies, strict=True):
        checker.replied(request, reply)
    assert checker.finish().faults == []
    await gateway.end()


@asyncio_test
async def test_a_request_that_has_run_does_not_get_the_refusal_of_the_upload_before_it(tmp_path):
    endpoint = await NamingEndpoint(random.Random(1)).listen()
    gateway = LimitedGateway(tmp_path, endpoint, memory_mb=192, sockets=256)
    await gateway.start()
    requests = [PipelinedRequest.of("bill", UPLOAD_BYTES), PipelinedRequest.of("bill", 100)]
    endpoint.turned_away_ids.add(requests[0].request_id)
    refused, served = await exchange(gateway, requests, FIRST_PIECE_BYTES)
    checker = ReplyChecker(endpoint)
    checker.replied(requests[0], refused)
    checker.replied(requests[1], served)
    assert checker.finish().faults == []
    assert checker.findings.answers == {"busy": 1, "served": 1}
    await gateway.end()


@pytest.mark.parametrize("seed", range(1, SEED_COUNT + 1))
def test_pipelined_requests_get_their_own_replies_through_signals_and_clock_steps(tmp_path, seed):
    run = PipelineRun(tmp_path, seed)
    findings = uvloop.run(asyncio.wait_for(run.play(), RUN_TIMEOUT_S))
    print(f"seed {seed}: {dict(findings.answers)}, {len(findings.faults)} faults")
    print(*findings.faults[:SHOWN_FAULTS], sep="\n")
    assert findings.answers["served"] > 0
    assert not findings.faults
