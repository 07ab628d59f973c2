"""Allocation of ports by tests and fleets that run at the same time."""

import multiprocessing
import socket
import unittest

from scripts import ports
from scripts.fleet import free_address
from tests.ports import free_port, separate_port_block

PROCESSES, PORTS_PER_PROCESS = 8, 300


def allocate_ports(results, all_allocated):
    """Send ports allocated as by tests and by fleets; wait until all processes have allocated."""
    addresses = [free_address() for _ in range(PORTS_PER_PROCESS // 2)]
    results.put(
        [free_port() for _ in range(PORTS_PER_PROCESS // 2)]
        + [int(address.split(":")[1]) for address in addresses]
    )
    all_allocated.wait()


def ports_of(block):
    """Return the ports that a block allocates from."""
    return range(block.first + 1, block.first + ports.BLOCK_SIZE)


class PortsTest(unittest.TestCase):
    """Guards against fleets that fail to start because another process took one of their ports.

    Ports that were only checked to be free, not reserved, could be given to two processes.
    """

    def test_concurrent_processes_allocate_distinct_ports(self):
        context = multiprocessing.get_context("spawn")
        results, all_allocated = context.Queue(), context.Barrier(PROCESSES)
        processes = [
            context.Process(target=allocate_ports, args=(results, all_allocated))
            for _ in range(PROCESSES)
        ]
        for process in processes:
            process.start()
        allocated = [port for _ in processes for port in results.get(timeout=60)]
        for process in processes:
            process.join()
        self.assertEqual(len(set(allocated)), PROCESSES * PORTS_PER_PROCESS)

    def test_a_process_allocates_each_port_once_before_it_wraps_around(self):
        block = ports.reserve_block()
        self.addCleanup(block.close)
        # Connections closed by other test processes may linger on ports of the block.
        free = [port for port in ports_of(block) if ports.is_free(port)]
        allocated = [block.allocate() for _ in free]
        self.assertEqual(allocated, sorted(set(allocated)))
        self.assertLessEqual(set(allocated), set(ports_of(block)))
        self.assertGreater(len(allocated), ports.BLOCK_SIZE // 2)

    def test_a_port_in_use_is_skipped(self):
        block = ports.reserve_block()
        self.addCleanup(block.close)
        used, following = [port for port in ports_of(block) if ports.is_free(port)][:2]
        with socket.socket() as listener:
            listener.bind((ports.HOST, used))
            self.assertEqual(block.allocate(), following)

    def test_a_soak_test_has_its_own_block(self):
        before = free_port() // ports.BLOCK_SIZE
        with separate_port_block():
            self.assertNotEqual(free_port() // ports.BLOCK_SIZE, before)
        self.assertEqual(free_port() // ports.BLOCK_SIZE, before)


if __name__ == "__main__":
    unittest.main()
