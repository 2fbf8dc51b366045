#include "damasklink/transport/HttpServer.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

HttpServer::Options
AnyPort()
{
  HttpServer::Options options;
  options.endpoint.address = "127.0.0.1";
  return options;
}

TEST(HttpServerTest, StartFailsWhenAddressIsInUse)
{
  HttpServer first(AnyPort());
  ASSERT_TRUE(first.Start());
  HttpServer::Options same = AnyPort();
  same.endpoint = first.Address();
  HttpServer second(same);
  const auto started = second.Start();
  ASSERT_FALSE(started);
  EXPECT_EQ(started.error().kind, ErrorKind::Unavailable);
}

} // namespace
} // namespace damasklink
