#include "damasklink/transport/ConnectionEndLog.h"

#include <map>

#include <gtest/gtest.h>

#include "support/OwnAddress.h"

namespace damasklink {
namespace {

class KeepingMetrics final : public Metrics
{
public:
  void Add(Counter aCounter, const MetricKey& aKey, std::uint64_t aAmount) override
  {
    this->counts[{ aCounter, aKey.kind }] += aAmount;
  }
  void Observe(Sample /*aSample*/, const MetricKey& /*aKey*/, Duration /*aValue*/) override {}
  void CountServiceLevel(const WorkspaceId& /*aWorkspace*/, bool /*aGood*/) override {}

  std::map<std::pair<Counter, std::string>, std::uint64_t> counts;
};

// Serves one connection, whose caller is the test, and counts its end.
class ConnectionEndLogTest : public ::testing::Test
{
protected:
  ConnectionEndLogTest()
    : acceptor(testing::ListenOnFreePort(this->loop))
  {
    this->caller.connect(this->acceptor.local_endpoint());
    this->connection = std::make_unique<CallerConnection>(this->acceptor.accept());
  }

  // Reads a request, answers it or its failure, and ends the connection.
  Awaitable<void> Serve(LingeringClose& aLingering)
  {
    const auto read = co_await this->connection->Read(this->limits, this->memory);
    if (read || read.error().kind != ErrorKind::Interrupted) {
      co_await this->connection->WriteWhole(this->response, true);
    }
    const LingerEnd end = co_await aLingering.End(*this->connection);
    this->ends.OnEnd(*this->connection, end);
  }

  void Run(const std::string& aSent, std::size_t aMostLingering)
  {
    LingeringClose lingering(LingerBounds{ std::chrono::milliseconds(20), 1000 }, aMostLingering);
    asio::write(this->caller, asio::buffer(aSent));
    asio::co_spawn(this->loop, this->Serve(lingering), asio::detached);
    this->loop.run();
  }

  std::uint64_t Count(Counter aCounter, const std::string& aKind)
  {
    return this->metrics.counts[{ aCounter, aKind }];
  }

  MemoryBudget budget{ ByteCount(16 * kMebibyte) };
  ImmediateRequestMemory memory{ this->budget };
  asio::io_context loop;
  TcpAcceptor acceptor;
  TcpSocket caller{ this->loop };
  std::unique_ptr<CallerConnection> connection;
  CallerLimits limits;
  HttpResponseMessage response;
  KeepingMetrics metrics;
  ConnectionEndLog ends{ this->metrics };
};

// Guards against an end of a connection that no metric shows.
TEST_F(ConnectionEndLogTest, IdleTimeoutIsCounted)
{
  this->limits.idleTimeout = std::chrono::milliseconds(20);
  this->Run("", 1);
  EXPECT_EQ(this->Count(Counter::ConnectionEnds, "idle_timeout"), 1U);
  EXPECT_EQ(this->metrics.counts.size(), 1U);
}

// Guards against a refusal by a limit that no metric tells from other ends.
TEST_F(ConnectionEndLogTest, TooLargeBodyIsCounted)
{
  this->limits.bodyBytes = 10;
  this->Run("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nhello world", 1);
  EXPECT_EQ(this->Count(Counter::ConnectionEnds, "body_too_large"), 1U);
  EXPECT_EQ(this->Count(Counter::LingeringCloses, "time_exceeded"), 1U);
}

// Guards against connections beyond the limit of lingering ones that nobody sees.
TEST_F(ConnectionEndLogTest, CloseBeyondLimitOfLingeringOnesIsCounted)
{
  this->Run("GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b", 0);
  EXPECT_EQ(this->Count(Counter::ConnectionEnds, "answered"), 1U);
  EXPECT_EQ(this->Count(Counter::LingeringCloses, "too_many"), 1U);
  EXPECT_EQ(this->connection->UnreadBytes(), 6U);
}

} // namespace
} // namespace damasklink
