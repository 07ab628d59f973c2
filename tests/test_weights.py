"""What tenants are entitled to."""

import unittest

from postvalve.core.scheduling.weights import tenant_weights
from postvalve.settings.routes import RoutedTenant


class WeightTest(unittest.TestCase):
    def test_rates_weigh_where_every_tenant_has_one(self):
        tenants = (RoutedTenant(name="a", rate=4.0), RoutedTenant(name="b", rate=1.0))
        self.assertEqual(tenant_weights(tenants), {"a": 4.0, "b": 1.0})

    def test_all_count_alike_where_one_has_none(self):
        tenants = (RoutedTenant(name="a", rate=4.0), RoutedTenant(name="b"))
        self.assertEqual(tenant_weights(tenants), {"a": 1.0, "b": 1.0})
