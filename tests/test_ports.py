"""Ports of tests that run beside each other."""

import multiprocessing
import socket
import unittest

from scripts import ports
from scripts.fleet import free_address
from tests.ports import free_port, separate_port_block

PROCESSES, DRAWN = 8, 300


def allocate_ports(told, all_drawn):
    """Tell ports as tests and fleets draw them; lives until all processes have drawn theirs."""
    addresses = [free_address() for _ in range(DRAWN // 2)]
    told.put(
        [free_port() for _ in range(DRAWN // 2)] + [int(one.split(":")[1]) for one in addresses]
    )
    all_drawn.wait()


class PortsTest(unittest.TestCase):
    """Guards against a fleet that does not start since another process took one of its ports."""

    def test_processes_beside_each_other_draw_none_twice(self):
        spawning = multiprocessing.get_context("spawn")
        told, all_drawn = spawning.Queue(), spawning.Barrier(PROCESSES)
        processes = [
            spawning.Process(target=allocate_ports, args=(told, all_drawn))
            for _ in range(PROCESSES)
        ]
        for one in processes:
            one.start()
        drawn = [port for _ in processes for port in told.get(timeout=60)]
        for one in processes:
            one.join()
        self.assertEqual(len(set(drawn)), PROCESSES * DRAWN)

    def test_a_process_draws_each_once_before_it_begins_anew(self):
        block = ports.reserve_block()
        self.addCleanup(block.close)
        drawn = [block.allocate() for _ in range(ports.BLOCK_SIZE - 1)]
        self.assertEqual(len(set(drawn)), len(drawn))

    def test_one_that_is_in_use_is_passed_over(self):
        block = ports.reserve_block()
        self.addCleanup(block.close)
        with socket.socket() as taken:
            taken.bind((ports.HOST, block.first + 1))
            self.assertEqual(block.allocate(), block.first + 2)

    def test_a_soak_has_a_block_of_its_own(self):
        before = free_port() // ports.BLOCK_SIZE
        with separate_port_block():
            self.assertNotEqual(free_port() // ports.BLOCK_SIZE, before)
        self.assertEqual(free_port() // ports.BLOCK_SIZE, before)


if __name__ == "__main__":
    unittest.main()
