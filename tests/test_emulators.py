"""Emulated engines, log, machine list and weight store."""

import json
import unittest

from werkzeug.test import Client

from postvalve.emulator.engine_model import EngineModel, EngineParameters
from postvalve.emulator.engine_service import EngineEmulation, EngineServer
from postvalve.emulator.log_model import LogFault, LogModel
from postvalve.emulator.machine_service import MachineListModel
from postvalve.emulator.tokens import ChatMessage, ChatRequest
from postvalve.emulator.weights_service import WeightStoreModel
from postvalve.exceptions import LogUnavailableError
from postvalve.services.machines import Machine
from postvalve.states import MachineKind
from tests.support import expected_first_token


def request(text, max_tokens=3):
    message = ChatMessage(role="user", content=text)
    return ChatRequest(model="m", messages=[message], max_tokens=max_tokens)


def submit(model, name, *, text=None, priority=0, offset=0, salt=""):
    model.submit(
        name,
        request(text or name),
        version="1",
        priority=priority,
        cache_salt=salt,
        resume_offset=offset,
    )


class EngineModelTest(unittest.TestCase):
    def run_to_end(self, model):
        tokens = {}
        while not model.idle:
            for emission in model.step().emissions:
                tokens.setdefault(emission.attempt_id, []).append(emission.text)
        return tokens

    def test_tokens_are_a_function_of_the_prompt_and_a_resume_continues_them(self):
        model = EngineModel(EngineParameters())
        submit(model, "whole", text="hi")
        submit(model, "resumed", text="hi", offset=2)
        tokens = self.run_to_end(model)
        self.assertEqual(tokens["whole"][0], expected_first_token("hi"))
        self.assertEqual(tokens["resumed"], tokens["whole"][2:])

    def test_steps_grow_with_the_batch_and_with_uncached_prompts(self):
        def first_step(count, text="x"):
            model = EngineModel(EngineParameters())
            for number in range(count):
                submit(model, str(number), text=text)
            return model.step().duration

        self.assertLess(first_step(1), first_step(8))
        self.assertLess(first_step(1), first_step(1, "x" * 10_000))

    def test_priority_preempts(self):
        model = EngineModel(EngineParameters(slots=1))
        submit(model, "low", priority=1)
        self.assertEqual(model.step().emissions[0].attempt_id, "low")
        submit(model, "high", priority=0)
        self.assertEqual(model.step().emissions[0].attempt_id, "high")

    def test_the_prefix_cache_is_bounded_and_salted(self):
        model = EngineModel(EngineParameters(cache_blocks=3))
        text = "y" * 600
        submit(model, "a", text=text, salt="one")
        first = model.step().duration
        submit(model, "b", text=text, salt="one")
        cached = model.step().duration
        submit(model, "c", text=text, salt="other")
        self.assertLess(cached, first)
        self.assertGreater(model.step().duration, cached)
        self.assertLessEqual(len(model.cache), 3)
        self.assertTrue(any(not event.stored for event in model.cache.events))

    def test_kv_moves_to_another_engine(self):
        source, target = EngineModel(EngineParameters()), EngineModel(EngineParameters())
        submit(source, "a", text="z" * 4000, salt="s")
        cold = source.step().duration
        exported = source.export_kv("a")
        self.assertIsNone(source.export_kv("nobody"))
        self.assertGreater(target.import_kv(exported), 0)
        submit(target, "a", text="z" * 4000, salt="s", offset=exported.position)
        self.assertLess(target.step().duration, cold)


class EngineServiceTest(unittest.TestCase):
    def setUp(self):
        server = EngineServer({"m": "1"}, EngineEmulation(load_lag=0, cache_event_lag=0))
        self.server = server
        self.client = Client(server.application())

    def order(self, **fields):
        return self.client.post("/v1/orders", json=fields)

    def test_orders_are_fenced(self):
        self.assertEqual(
            self.order(fencing_token=5, action="set_role", role="decode").status_code, 200
        )
        self.assertEqual(self.client.get("/v1/load").json["role"], "decode")
        self.assertEqual(self.order(fencing_token=4, action="unload", model="m").status_code, 409)
        self.assertEqual(self.client.get("/v1/load").json["models"], {"m": "1"})
        self.assertEqual(self.order(fencing_token=5, action="unload", model="m").status_code, 200)
        self.assertEqual(self.client.get("/v1/load").json["models"], {})
        self.assertEqual(self.order(fencing_token=6, action="dance").status_code, 400)

    def test_cache_events_have_gaps(self):
        model = self.server._model
        for number in range(120):
            model.cache.admit("", f"prompt {number}")
        self.server._record_load()
        answer = self.client.get("/v1/cache-events?from=0").json
        self.assertEqual(answer["next"], 120)
        self.assertEqual(len(answer["events"]), 118)

    def test_a_model_that_is_not_loaded_is_refused(self):
        body = json.dumps({"model": "x", "messages": [{"role": "user", "content": "a"}]})
        self.assertEqual(self.client.post("/v1/chat/completions", data=body).status_code, 409)
        self.assertEqual(self.client.post("/v1/chat/completions", data="{").status_code, 400)


class PlatformModelTest(unittest.TestCase):
    def test_log_faults(self):
        log = LogModel()
        self.assertEqual(log.append("s", b"a"), 0)
        log.faults.fault = LogFault.LOSE_ANSWERS
        with self.assertRaises(LogUnavailableError) as lost:
            log.append("s", b"b")
        self.assertEqual(lost.exception.verdict, "may_have_run")
        log.faults.fault = LogFault.DOWN
        with self.assertRaises(LogUnavailableError) as down:
            log.append("s", b"c")
        self.assertEqual(down.exception.verdict, "not_run")
        log.faults.fault = LogFault.NONE
        self.assertEqual([entry.payload for entry in log.read("s", 0).entries], [b"a", b"b"])
        log.faults.cut_zones = {"z"}
        with self.assertRaises(LogUnavailableError):
            log.read("s", 0, zone="z")

    def test_the_machine_list_lags(self):
        machines = MachineListModel(lag=2.0)
        machine = Machine(machine_id="e", kind=MachineKind.ENGINE, address="127.0.0.1:1", zone="z")
        machines.put(machine, 0.0)
        self.assertEqual(machines.visible(1.9), [])
        self.assertEqual(machines.visible(2.0), [machine])
        machines.remove("e", 3.0)
        self.assertEqual(machines.visible(5.0), [])

    def test_fetches_share_the_rate_of_the_weight_store(self):
        store = WeightStoreModel(rate=100.0)
        self.assertEqual(store.schedule(500, 0.0), 5.0)
        self.assertEqual(store.schedule(500, 0.0), 10.0)
        self.assertEqual(store.schedule(100, 50.0), 51.0)


if __name__ == "__main__":
    unittest.main()
