"""Client for the fault injection and call counters of a running stand-in store."""

from __future__ import annotations

import msgspec
from aetcd import rpc

from hickorywind.ids import Address
from standins.store.faults import CALLS_KEY, FAULTS_KEY, Faults

_TIMEOUT_S = 5.0


async def set_faults(address: Address, faults: Faults) -> None:
    """Replace the injected faults."""
    async with rpc.insecure_channel(str(address)) as channel:
        request = rpc.PutRequest(key=FAULTS_KEY, value=msgspec.json.encode(faults))
        await rpc.KVStub(channel).Put(request, timeout=_TIMEOUT_S, wait_for_ready=True)


async def read_calls(address: Address) -> dict[str, int]:
    """Return the number of calls by kind since the store's start, and of open watches."""
    async with rpc.insecure_channel(str(address)) as channel:
        request = rpc.RangeRequest(key=CALLS_KEY)
        answer = await rpc.KVStub(channel).Range(request, timeout=_TIMEOUT_S, wait_for_ready=True)
        return msgspec.json.decode(answer.kvs[0].value, type=dict[str, int])
