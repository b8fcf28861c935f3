import unittest

from bluebellbeam.standins import make_weight_store


class TestWeightStore(unittest.TestCase):
    def test_transfers_are_queued_one_after_the_other(self):
        store = make_weight_store(1000.0)
        self.assertEqual(store.transfer_ms(500, 0), 500.0)
        self.assertEqual(store.transfer_ms(500, 100), 900.0)
        self.assertEqual(store.transfer_ms(500, 5000), 500.0)

    def test_slow_factor_lengthens_transfers(self):
        store = make_weight_store(1000.0)
        store.slow_factor = 3.0
        self.assertEqual(store.transfer_ms(500, 0), 1500.0)
