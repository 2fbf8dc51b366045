#include "damasklink/transport/HttpServer.h"

#include <gtest/gtest.h>

#include "support/OwnAddress.h"

namespace damasklink {
namespace {

HttpServer::Options
OptionsWithAnyPort()
{
  HttpServer::Options options;
  options.endpoint.address = testing::OwnAddress(1);
  return options;
}

TEST(HttpServerTest, StartFailsWhenAddressIsInUse)
{
  HttpServer first(OptionsWithAnyPort());
  ASSERT_TRUE(first.Start());
  HttpServer::Options same = OptionsWithAnyPort();
  same.endpoint = first.Address();
  HttpServer second(same);
  const auto started = second.Start();
  ASSERT_FALSE(started);
  EXPECT_EQ(started.error().kind, ErrorKind::Unavailable);
}

} // namespace
} // namespace damasklink
