#include "support/OwnAddress.h"

#include <set>

#include <gtest/gtest.h>

namespace damasklink::testing {
namespace {

// A host of a test that was given one port for two of its listeners ended at its start, while its
// other listener, still open, took connections that nobody answered: the test waited for ever.
TEST(OwnAddressTest, NeverReturnsSamePortTwice)
{
  constexpr int kEndpoints = 2'000;
  std::set<std::uint16_t> ports;
  for (int number = 0; number < kEndpoints; ++number) {
    EXPECT_TRUE(ports.insert(FreeEndpoint(OwnAddress(2)).port).second);
  }
}

} // namespace
} // namespace damasklink::testing
