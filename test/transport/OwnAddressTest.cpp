#include "support/OwnAddress.h"

#include <set>

#include <gtest/gtest.h>

namespace damasklink::testing {
namespace {

// Guards against hangs of other tests: a host that got the same port for two of its listeners
// failed to start, while its first listener was still open and accepted connections that nobody
// served.
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
