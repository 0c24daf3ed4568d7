"""Measures the costs per block and message that docs/CAPACITY.md uses.

Usage: python bench/capacity.py [--blocks N] [--seed N]

Prints one line for the process, the table and each message. Memory is the
growth of the resident memory of this process, and CPU time is that of this
process. A run measures one table size, because a larger table would reuse the
memory that a smaller one has freed.
"""

import gc
import ipaddress
import pathlib
import random
import time

import click

from guavapulley import lookup
from guavapulley import model
from guavapulley.adapters import codec

SITE_COUNT = 660
LOOKUP_COUNT = 100_000
MESSAGE_COUNT = 2_000
# Weights of the generated blocks by prefix length.
PREFIX_LENGTHS = {24: 70, 22: 12, 20: 8, 18: 5, 16: 5}


def resident_memory_bytes() -> int:
    """Returns the resident memory of this process in bytes."""
    gc.collect()
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * 4096


def generate_blocks(count: int, seed: int) -> list[tuple[int, int]]:
    """Returns distinct blocks as (address, prefix length), sorted."""
    rng = random.Random(seed)
    lengths = list(PREFIX_LENGTHS)
    weights = list(PREFIX_LENGTHS.values())
    blocks: set[tuple[int, int]] = set()
    while len(blocks) < count:
        length = rng.choices(lengths, weights)[0]
        host_bits = 32 - length
        blocks.add((rng.getrandbits(32) >> host_bits << host_bits, length))
    return sorted(blocks)


def measure_table(count: int, seed: int) -> None:
    """Measures memory, lookups and moves of blocks of a client block table."""
    rng = random.Random(seed)
    blocks = generate_blocks(count, seed)
    memory_before_bytes = resident_memory_bytes()
    started_at_s = time.process_time()
    table = lookup.ClientBlockTable.from_networks(
        (ipaddress.ip_network(block), f"site-{n % SITE_COUNT}")
        for n, block in enumerate(blocks)
    )
    load_s = time.process_time() - started_at_s
    table_bytes = resident_memory_bytes() - memory_before_bytes
    addresses = [
        str(ipaddress.ip_address(rng.getrandbits(32)))
        for _ in range(LOOKUP_COUNT)
    ]
    started_at_s = time.process_time()
    hits = sum(table.find(address) is not None for address in addresses)
    lookup_s = time.process_time() - started_at_s
    moved_blocks = rng.sample(blocks, 100)
    started_at_s = time.process_time()
    for block in moved_blocks:
        network = ipaddress.ip_network(block)
        table.remove(network)
        table.put(network, "site-0")
    move_s = time.process_time() - started_at_s
    print(
        f"blocks={count} load_s={load_s:.2f} memory_MB={table_bytes / 1e6:.1f}"
        f" bytes_per_block={table_bytes / count:.1f}"
        f" lookup_us={lookup_s / LOOKUP_COUNT * 1e6:.2f} hits={hits}"
        f" move_block_us={move_s / len(moved_blocks) * 1e6:.0f}"
    )


def measure_message(name: str, message: object) -> None:
    """Measures the size of a message and its encoding and decoding time."""
    envelopes = codec.EnvelopeCodec(codec.MessageCodec(), b"key")
    envelope = codec.Envelope("entry-1", 1, message)
    data = envelopes.encode(envelope)
    envelopes.decode(data)
    started_at_s = time.process_time()
    for _ in range(MESSAGE_COUNT):
        envelopes.decode(envelopes.encode(envelope))
    cpu_per_message_s = (time.process_time() - started_at_s) / MESSAGE_COUNT
    print(
        f"message={name} bytes={len(data)} cpu_us={cpu_per_message_s * 1e6:.0f}"
    )


def example_upstream(number: int) -> model.UpstreamRecord:
    """Returns an upstream record of typical size."""
    return model.UpstreamRecord(
        upstream=f"line-status-{number:03}",
        service="line-status",
        address=model.NodeAddress("10.20.30.40", 8080),
        region="pb",
        failure_domain="pb-1",
        slots=6,
        max_connections=330,
        labels={"rack": "7", "generation": "2"},
        incarnation=1_796_000_000_000,
        sequence=number,
        load=model.LoadReport(in_flight=3, queued=0, age_s=0.5),
        age_s=0.2,
    )


def example_entry(number: int) -> model.EntryRecord:
    """Returns an entry record of typical size."""
    return model.EntryRecord(
        name=f"entry-{number}",
        region="pb",
        failure_domain="pb-1",
        address=model.NodeAddress("10.20.30.40", 8080),
        peer_address=model.NodeAddress("10.20.30.40", 8081),
        incarnation=1_796_000_000_000,
        heartbeat=number,
        state=model.EntryState.ALIVE,
        revision=1234,
        in_flight={f"line-status-{n:03}": 2 for n in range(6)},
    )


def measure_messages() -> None:
    """Measures the messages that make up most of the traffic of a node."""
    upstreams = tuple(example_upstream(n) for n in range(40))
    entries = tuple(example_entry(n) for n in range(11))
    intent = model.Intent("shift", "service = line-status", "region = za", 10)
    measure_message(
        "gossip-40-upstreams-11-entries",
        model.Gossip("entry-1", entries, upstreams),
    )
    measure_message("gossip-empty", model.Gossip("entry-1", (), ()))
    measure_message(
        "gossip-1-upstream", model.Gossip("entry-1", (), upstreams[:1])
    )
    measure_message("gossip-1-entry", model.Gossip("entry-1", entries[:1], ()))
    for count in (1, 100, 1000):
        configuration = model.Configuration(
            7,
            tuple(
                model.Intent(f"i{n}", "a = b", "c = d") for n in range(count)
            ),
        )
        measure_message(
            f"watch-reply-{count}-objects",
            model.WatchReply(configuration, 7, True),
        )
    measure_message(
        "watch-request", model.WatchConfiguration("entry-1", 7, 10.0, False)
    )
    measure_message(
        "propose-1-object",
        model.ProposeChange(model.Change("id", 7, "operator", (intent,))),
    )


@click.command()
@click.option("--blocks", default=2_400_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(blocks: int, seed: int) -> None:
    """Measures the costs per block and message that docs/CAPACITY.md uses."""
    print(f"process resident_MB={resident_memory_bytes() / 1e6:.1f}")
    measure_table(blocks, seed)
    measure_messages()


if __name__ == "__main__":
    main()
