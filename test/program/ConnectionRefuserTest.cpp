#include "ConnectionRefuser.h"

#include <set>

#include <gtest/gtest.h>

#include "platform/Dialect.h"
#include "support/OwnAddress.h"

namespace damasklink {
namespace {

constexpr std::string_view kRequest = "POST /jobs/7 HTTP/1.1\r\nHost: h\r\nX-Request-Id: r\r\n"
                                      "Content-Length: 5\r\n\r\nhello";

// Refuses one connection, whose caller is the test.
class ConnectionRefuserTest : public ::testing::Test
{
protected:
  ConnectionRefuserTest()
    : acceptor(testing::ListenOnFreePort(this->loop))
  {
    this->Connect();
  }

  void Connect()
  {
    this->caller = TcpSocket(this->loop);
    this->caller.connect(this->acceptor.local_endpoint());
    this->connection = std::make_unique<CallerConnection>(this->acceptor.accept());
  }

  // Sends the bytes and ends the sending side, has the connection refused, and returns what the
  // caller receives.
  std::string Refuse(std::string_view aSent)
  {
    if (!aSent.empty()) {
      asio::write(this->caller, asio::buffer(aSent));
    }
    this->caller.shutdown(TcpSocket::shutdown_send);
    asio::co_spawn(this->loop, this->refuser.Refuse(*this->connection), asio::detached);
    this->loop.restart();
    this->loop.run();
    std::string received;
    IoError error;
    asio::read(this->caller, asio::dynamic_buffer(received), error);
    this->readEnd = error;
    return received;
  }

  // Begins as many refusals as are permitted at once, of callers that send nothing.
  void BeginBurst()
  {
    for (int number = 0; number < RefusalLimiter::kBurst; ++number) {
      this->held.push_back(std::move(this->caller));
      this->heldConnections.push_back(std::move(this->connection));
      asio::co_spawn(
        this->loop, this->refuser.Refuse(*this->heldConnections.back()), asio::detached);
      this->Connect();
    }
  }

  asio::io_context loop;
  TcpAcceptor acceptor;
  TcpSocket caller{ this->loop };
  std::unique_ptr<CallerConnection> connection;
  std::vector<TcpSocket> held;
  std::vector<std::unique_ptr<CallerConnection>> heldConnections;
  platform::Dialect dialect;
  ManualClock clock;
  ConnectionRefuser refuser{ this->clock, this->dialect, 1 };
  IoError readEnd;
};

// Guards against a new connection that ends without a word.
TEST_F(ConnectionRefuserTest, RequestIsRefusedWithAPromise)
{
  const std::string received = this->Refuse(kRequest);
  EXPECT_TRUE(received.starts_with("HTTP/1.1 503 ")) << received;
  EXPECT_NE(received.find("Connection: close\r\n"), std::string::npos) << received;
  EXPECT_NE(received.find("Retry-After: "), std::string::npos) << received;
  // Orderly, so that the response is not lost.
  EXPECT_EQ(this->readEnd, asio::error::eof);
  const RefusalCounts counts = this->refuser.TakeCounts();
  EXPECT_EQ(counts.refused, 1U);
  EXPECT_EQ(counts.closedUnread, 0U);
  EXPECT_EQ(this->refuser.Pending(), 0U);
  EXPECT_EQ(this->refuser.TakeCounts().refused, 0U);
}

// Guards against a refusal that is lost because the body that follows is not read.
TEST_F(ConnectionRefuserTest, RefusalOfALargeRequestArrives)
{
  const std::string received = this->Refuse(std::string(kRequest) + std::string(200'000, 'x'));
  EXPECT_TRUE(received.starts_with("HTTP/1.1 503 ")) << received;
  EXPECT_EQ(this->readEnd, asio::error::eof);
}

// Guards against callers that are refused together and return together.
TEST_F(ConnectionRefuserTest, CallersAreAskedToReturnAtDifferentTimes)
{
  std::set<std::string> delays;
  for (int number = 0; number < 20; ++number) {
    const std::string received = this->Refuse(kRequest);
    const std::size_t begin = received.find("Retry-After: ");
    ASSERT_NE(begin, std::string::npos) << received;
    delays.insert(received.substr(begin, received.find('\r', begin) - begin));
    this->Connect();
  }
  EXPECT_GE(delays.size(), 15U);
}

// Guards against a response that precedes its request.
TEST_F(ConnectionRefuserTest, CallerThatAsksNothingGetsNoResponse)
{
  EXPECT_EQ(this->Refuse(""), "");
  EXPECT_EQ(this->refuser.TakeCounts().closedUnread, 1U);
  EXPECT_EQ(this->refuser.Pending(), 0U);
}

// Guards against refusals without bound.
TEST_F(ConnectionRefuserTest, BeyondTheBoundConnectionsAreClosedUnread)
{
  this->BeginBurst();
  EXPECT_EQ(this->Refuse(kRequest), "");
  const RefusalCounts counts = this->refuser.TakeCounts();
  EXPECT_EQ(counts.refused, 0U);
  // Those that send nothing are given up.
  EXPECT_EQ(counts.closedUnread, RefusalLimiter::kBurst + 1);
  EXPECT_EQ(this->refuser.Pending(), 0U);
}

} // namespace
} // namespace damasklink
