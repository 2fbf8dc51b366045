#include "damasklink/transport/CallerConnection.h"

#include <thread>

#include <gtest/gtest.h>

#include "damasklink/state/Units.h"
#include "damasklink/transport/LingeringClose.h"
#include "support/OwnAddress.h"

namespace damasklink {
namespace {

// Limits that a test changes.
class ChangingLimits final : public CallerLimitsSource
{
public:
  LimitsInForce Current() const override { return this->inForce; }

  LimitsInForce inForce;
};

// Writes to one end of a connection and reads requests from the other.
class CallerConnectionTest : public ::testing::Test
{
protected:
  CallerConnectionTest()
    : acceptor(testing::ListenOnFreePort(this->loop))
  {
    this->caller.connect(this->acceptor.local_endpoint());
    this->connection = std::make_unique<CallerConnection>(this->acceptor.accept());
  }

  void Send(const std::string& aBytes) { asio::write(this->caller, asio::buffer(aBytes)); }

  // Returns the next request or the error.
  Result<HttpRequestMessage> Read()
  {
    std::optional<Result<HttpRequestMessage>> read;
    asio::co_spawn(this->loop, this->ReadInto(read), asio::detached);
    this->loop.restart();
    this->loop.run();
    return std::move(*read);
  }

  Awaitable<void> ReadInto(std::optional<Result<HttpRequestMessage>>& aTo)
  {
    aTo = co_await this->connection->Read(this->limits, this->memory);
  }

  // Begins to wait for a request with limits that may change, while nothing has arrived.
  void BeginIdleWait()
  {
    asio::co_spawn(this->loop, this->ReadChangingInto(this->waiting), asio::detached);
    this->loop.restart();
    this->loop.poll();
  }

  Awaitable<void> ReadChangingInto(std::optional<Result<HttpRequestMessage>>& aTo)
  {
    aTo = co_await this->connection->Read(this->changing, this->memory);
  }

  void RunFor(Duration aTime)
  {
    this->loop.restart();
    this->loop.run_for(aTime);
  }

  // Lets the time pass while the loop stands still, then has more sockets ready than one turn of
  // the loop takes, so that timers that are due run before the connection is read.
  void StandStill(Duration aTime, const std::string& aArrives)
  {
    std::this_thread::sleep_for(aTime);
    for (int count = 0; count < 200; ++count) {
      auto near = std::make_unique<asio::local::stream_protocol::socket>(this->loop);
      auto far = std::make_unique<asio::local::stream_protocol::socket>(this->loop);
      asio::local::connect_pair(*near, *far);
      near->async_wait(asio::socket_base::wait_read, [](const IoError& /*aError*/) {});
      asio::write(*far, asio::buffer("x", 1));
      this->others.push_back(std::move(near));
      this->others.push_back(std::move(far));
    }
    this->Send(aArrives);
  }

  // Writes a response that ends the connection, and ends it.
  Awaitable<void> AnswerAndEnd(LingeringClose& aLingering)
  {
    HttpResponseMessage response;
    response.head.status = 413;
    co_await this->connection->WriteWhole(std::move(response), true);
    this->lingerEnd = co_await aLingering.End(*this->connection);
  }

  // Returns all that the caller receives. aError is how it ends.
  std::string ReceiveAll(IoError& aError)
  {
    std::string received;
    asio::read(this->caller, asio::dynamic_buffer(received), aError);
    return received;
  }

  // Returns the error with which reading the bytes fails, Internal if it succeeds.
  ErrorKind ErrorOf(const std::string& aBytes)
  {
    this->Send(aBytes);
    const auto read = this->Read();
    return read ? ErrorKind::Internal : read.error().kind;
  }

  MemoryBudget budget{ ByteCount(16 * kMebibyte) };
  ImmediateRequestMemory memory{ this->budget };
  asio::io_context loop;
  TcpAcceptor acceptor;
  TcpSocket caller{ this->loop };
  std::unique_ptr<CallerConnection> connection;
  CallerLimits limits;
  ChangingLimits changing;
  std::optional<Result<HttpRequestMessage>> waiting;
  std::optional<LingerEnd> lingerEnd;
  std::vector<std::unique_ptr<asio::local::stream_protocol::socket>> others;
};

TEST_F(CallerConnectionTest, ReadsBodyWithContentLength)
{
  this->Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc");
  const auto request = this->Read();
  ASSERT_TRUE(request);
  EXPECT_EQ(request.value().head.target, "/a");
  EXPECT_EQ(request.value().body, "abc");
}

TEST_F(CallerConnectionTest, ReadsChunkedBody)
{
  this->Send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
             "3\r\nabc\r\n2;x=y\r\nde\r\n0\r\n\r\n");
  const auto request = this->Read();
  ASSERT_TRUE(request);
  EXPECT_EQ(request.value().body, "abcde");
}

TEST_F(CallerConnectionTest, ReadsPipelinedRequestsOneByOne)
{
  this->Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_EQ(this->Read().value().head.target, "/1");
  EXPECT_EQ(this->Read().value().head.target, "/2");
}

TEST_F(CallerConnectionTest, RefusesContentLengthBesideChunkedEncoding)
{
  EXPECT_EQ(this->ErrorOf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n"
                          "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /x HTTP/1.1\r\n\r\n"),
            ErrorKind::InvalidArgument);
}

TEST_F(CallerConnectionTest, RefusesRepeatedContentLength)
{
  EXPECT_EQ(this->ErrorOf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                          "Content-Length: 3\r\n\r\nabc"),
            ErrorKind::InvalidArgument);
}

TEST_F(CallerConnectionTest, RefusesBareLineFeed)
{
  EXPECT_EQ(this->ErrorOf("GET /a HTTP/1.1\nHost: h\n\n"), ErrorKind::InvalidArgument);
}

TEST_F(CallerConnectionTest, RefusesSpaceBeforeColon)
{
  EXPECT_EQ(this->ErrorOf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length : 3\r\n\r\nabc"),
            ErrorKind::InvalidArgument);
}

TEST_F(CallerConnectionTest, RefusesHeadAboveLimit)
{
  this->limits.headerBytes = 100;
  EXPECT_EQ(this->ErrorOf("GET /a HTTP/1.1\r\nHost: " + std::string(200, 'h') + "\r\n\r\n"),
            ErrorKind::Overloaded);
}

TEST_F(CallerConnectionTest, RefusesBodyAboveLimitBeforeReadingIt)
{
  this->limits.bodyBytes = 10;
  EXPECT_EQ(this->ErrorOf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\n"),
            ErrorKind::NotPermitted);
}

TEST_F(CallerConnectionTest, SlowHeadExceedsDeadline)
{
  this->limits.headerTimeout = std::chrono::milliseconds(20);
  EXPECT_EQ(this->ErrorOf("GET /a HTT"), ErrorKind::DeadlineExceeded);
}

TEST_F(CallerConnectionTest, IdleTimeoutIsInterrupted)
{
  this->limits.idleTimeout = std::chrono::milliseconds(20);
  EXPECT_EQ(this->ErrorOf(""), ErrorKind::Interrupted);
  EXPECT_TRUE(this->connection->IsIdle());
}

TEST_F(CallerConnectionTest, CloseBetweenRequestsIsInterrupted)
{
  this->caller.close();
  const auto read = this->Read();
  ASSERT_FALSE(read);
  EXPECT_EQ(read.error().kind, ErrorKind::Interrupted);
}

TEST_F(CallerConnectionTest, CloseIfIdleKeepsConnectionWithWaitingRequest)
{
  this->Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  this->connection->CloseIfIdle();
  EXPECT_EQ(this->Read().value().head.target, "/a");
}

TEST_F(CallerConnectionTest, CloseIfIdleClosesIdleConnection)
{
  this->connection->CloseIfIdle();
  char byte = 0;
  IoError error;
  this->caller.read_some(asio::buffer(&byte, 1), error);
  EXPECT_EQ(error, asio::error::eof);
}

// Guards against 413 for a body that the newer limits of a connection idle over a change allow.
TEST_F(CallerConnectionTest, RequestAfterChangeIsReadWithLimitsInForceWhenItBegins)
{
  this->changing.inForce.limits.bodyBytes = 10;
  this->BeginIdleWait();
  this->changing.inForce = LimitsInForce{ CallerLimits{}, Revision(2) };
  this->Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 11\r\n\r\nhello world");
  this->RunFor(std::chrono::seconds(5));
  ASSERT_TRUE(this->waiting);
  EXPECT_TRUE(*this->waiting);
  EXPECT_EQ(this->connection->LimitsVersion(), Revision(2));
}

// Guards against a lowered header limit that the next request still evades.
TEST_F(CallerConnectionTest, RequestAfterChangeIsHeldToLoweredHeaderLimit)
{
  this->BeginIdleWait();
  this->changing.inForce.limits.headerBytes = 100;
  this->Send("GET /a HTTP/1.1\r\nHost: " + std::string(200, 'h') + "\r\n\r\n");
  this->RunFor(std::chrono::seconds(5));
  ASSERT_TRUE(this->waiting);
  ASSERT_FALSE(*this->waiting);
  EXPECT_EQ(this->waiting->error().kind, ErrorKind::Overloaded);
}

// Guards against the end of an idle connection that callers may still use by the raised timeout.
TEST_F(CallerConnectionTest, RaisedIdleTimeoutHoldsForConnectionThatWaits)
{
  this->changing.inForce.limits.idleTimeout = std::chrono::milliseconds(200);
  this->BeginIdleWait();
  this->changing.inForce.limits.idleTimeout = std::chrono::seconds(20);
  this->connection->OnLimitsChanged();
  this->RunFor(std::chrono::milliseconds(400));
  EXPECT_FALSE(this->waiting);
  this->Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  this->RunFor(std::chrono::seconds(5));
  ASSERT_TRUE(this->waiting);
  EXPECT_TRUE(*this->waiting);
}

// Guards against idle connections that outlive a lowered timeout, or begin a new one in full.
TEST_F(CallerConnectionTest, LoweredIdleTimeoutCountsTimeThatHasPassed)
{
  this->BeginIdleWait();
  this->RunFor(std::chrono::milliseconds(300));
  EXPECT_FALSE(this->waiting);
  this->changing.inForce.limits.idleTimeout = std::chrono::milliseconds(250);
  this->connection->OnLimitsChanged();
  this->RunFor(std::chrono::milliseconds(100));
  ASSERT_TRUE(this->waiting);
  ASSERT_FALSE(*this->waiting);
  EXPECT_EQ(this->waiting->error().kind, ErrorKind::Interrupted);
}

// Guards against a reset instead of the 413 for a caller that sends its whole body first.
TEST_F(CallerConnectionTest, CallerThatSendsTooLargeBodyReadsRefusal)
{
  this->limits.bodyBytes = 100'000;
  const std::size_t size = 3 * kMebibyte;
  std::string received;
  IoError sendError;
  IoError end;
  std::thread sender([&] {
    const std::string request =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
    asio::write(this->caller, asio::buffer(request + std::string(size, 'x')), sendError);
    received = this->ReceiveAll(end);
    this->caller.close();
  });
  const auto read = this->Read();
  LingeringClose lingering;
  asio::co_spawn(this->loop, this->AnswerAndEnd(lingering), asio::detached);
  this->RunFor(std::chrono::seconds(10));
  sender.join();
  EXPECT_FALSE(read);
  EXPECT_FALSE(sendError) << sendError.message();
  EXPECT_EQ(end, asio::error::eof) << end.message();
  EXPECT_EQ(received.rfind("HTTP/1.1 413", 0), 0U) << received;
  EXPECT_EQ(this->lingerEnd, LingerEnd::CallerClosed);
}

// Guards against an answer before "Connection: close" that is lost with the request behind it.
TEST_F(CallerConnectionTest, CallerReadsLastResponseThoughItHasSentMore)
{
  this->Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(this->Read());
  this->Send("GET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  LingeringClose lingering;
  asio::co_spawn(this->loop, this->AnswerAndEnd(lingering), asio::detached);
  this->RunFor(std::chrono::milliseconds(50));
  EXPECT_EQ(lingering.Count(), 1U);
  this->connection->CloseIfIdle();
  IoError sendError;
  asio::write(this->caller, asio::buffer(std::string(10, 'x')), sendError);
  IoError end;
  EXPECT_EQ(this->ReceiveAll(end).rfind("HTTP/1.1 413", 0), 0U);
  EXPECT_EQ(end, asio::error::eof) << end.message();
  this->caller.close();
  this->RunFor(std::chrono::seconds(5));
  EXPECT_EQ(this->lingerEnd, LingerEnd::CallerClosed);
  EXPECT_EQ(lingering.Count(), 0U);
}

// Guards against lingering connections of callers that neither read nor close.
TEST_F(CallerConnectionTest, LingeringCloseEndsAfterItsTime)
{
  LingeringClose lingering(LingerBounds{ std::chrono::milliseconds(50), kMebibyte });
  asio::co_spawn(this->loop, this->AnswerAndEnd(lingering), asio::detached);
  this->RunFor(std::chrono::seconds(5));
  EXPECT_EQ(this->lingerEnd, LingerEnd::TimeExceeded);
}

// Guards against a caller that keeps a lingering connection busy.
TEST_F(CallerConnectionTest, LingeringCloseEndsAfterItsBytes)
{
  LingeringClose lingering(LingerBounds{ std::chrono::seconds(60), 1000 });
  this->Send(std::string(5000, 'x'));
  asio::co_spawn(this->loop, this->AnswerAndEnd(lingering), asio::detached);
  this->RunFor(std::chrono::seconds(5));
  EXPECT_EQ(this->lingerEnd, LingerEnd::BytesExceeded);
}

// Guards against lingering connections without a limit to their number.
TEST_F(CallerConnectionTest, ConnectionBeyondLimitOfLingeringOnesIsClosedAtOnce)
{
  LingeringClose lingering(LingerBounds{}, 0);
  asio::co_spawn(this->loop, this->AnswerAndEnd(lingering), asio::detached);
  this->RunFor(std::chrono::seconds(5));
  EXPECT_EQ(this->lingerEnd, LingerEnd::TooMany);
}

// Guards against a lingering close that delays or hides the cut of a stream.
TEST_F(CallerConnectionTest, CutStreamIsClosedAtOnceAndNotComplete)
{
  LingeringClose lingering;
  const auto cut = [&]() -> Awaitable<void> {
    const HttpResponseHead head;
    co_await this->connection->BeginStream(head, "data", false);
    this->lingerEnd = co_await lingering.End(*this->connection);
  };
  asio::co_spawn(this->loop, cut(), asio::detached);
  this->loop.restart();
  this->loop.run();
  EXPECT_EQ(this->lingerEnd, LingerEnd::NotBegun);
  IoError end;
  EXPECT_EQ(this->ReceiveAll(end).find("0\r\n\r\n"), std::string::npos);
}

// Guards against an idle timeout that ends a connection whose next request has arrived.
TEST_F(CallerConnectionTest, RequestThatArrivedBeforeIdleTimeoutRanIsRead)
{
  this->changing.inForce.limits.idleTimeout = std::chrono::milliseconds(20);
  this->BeginIdleWait();
  this->StandStill(std::chrono::milliseconds(40), "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  this->RunFor(std::chrono::seconds(5));
  ASSERT_TRUE(this->waiting);
  EXPECT_TRUE(*this->waiting);
}

// Guards against 408 for a head that has arrived while the process stood still.
TEST_F(CallerConnectionTest, HeadThatArrivedBeforeItsTimeoutRanIsRead)
{
  this->changing.inForce.limits.headerTimeout = std::chrono::milliseconds(20);
  this->Send("GET /a HTT");
  this->BeginIdleWait();
  this->StandStill(std::chrono::milliseconds(40), "P/1.1\r\nHost: h\r\n\r\n");
  this->RunFor(std::chrono::seconds(5));
  ASSERT_TRUE(this->waiting);
  EXPECT_TRUE(*this->waiting);
}

// Guards against 408 for a body that has arrived while the process stood still.
TEST_F(CallerConnectionTest, BodyThatArrivedBeforeItsTimeoutRanIsRead)
{
  this->changing.inForce.limits.idleTimeout = std::chrono::milliseconds(20);
  this->Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
  this->BeginIdleWait();
  this->StandStill(std::chrono::milliseconds(40), "cd");
  this->RunFor(std::chrono::seconds(5));
  ASSERT_TRUE(this->waiting);
  EXPECT_TRUE(*this->waiting);
}

// Guards against a head without a limit of time once its timeout found bytes.
TEST_F(CallerConnectionTest, HeadThatStallsAfterItsTimeoutFoundBytesExceedsDeadline)
{
  this->changing.inForce.limits.headerTimeout = std::chrono::milliseconds(20);
  this->Send("GET /a HTT");
  this->BeginIdleWait();
  this->StandStill(std::chrono::milliseconds(40), "P/1.1\r\n");
  this->RunFor(std::chrono::seconds(5));
  ASSERT_TRUE(this->waiting);
  ASSERT_FALSE(*this->waiting);
  EXPECT_EQ(this->waiting->error().kind, ErrorKind::DeadlineExceeded);
}

// The idle timeout does not limit a whole body: on a slow link it takes longer than that.
TEST_F(CallerConnectionTest, ReadsSlowBodyThatKeepsArriving)
{
  this->limits.idleTimeout = std::chrono::seconds(1);
  this->Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\n");
  std::thread sender([this] {
    for (int chunk = 0; chunk < 40; ++chunk) {
      std::this_thread::sleep_for(std::chrono::milliseconds(50));
      this->Send("x");
    }
  });
  const auto request = this->Read();
  sender.join();
  ASSERT_TRUE(request);
  EXPECT_EQ(request.value().body.size(), 40U);
}

TEST_F(CallerConnectionTest, StalledBodyExceedsDeadline)
{
  this->limits.idleTimeout = std::chrono::milliseconds(100);
  EXPECT_EQ(this->ErrorOf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 40\r\n\r\nx"),
            ErrorKind::DeadlineExceeded);
}

// Guards against the body of a refusal that a caller takes for the response to its next request.
TEST_F(CallerConnectionTest, ResponseToHeadHasNoBody)
{
  this->Send("HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n");
  EXPECT_TRUE(this->Read());
  HttpResponseMessage response;
  response.head.status = 404;
  response.body = "refusal";
  const auto write = [&]() -> Awaitable<void> {
    co_await this->connection->WriteWhole(std::move(response), true);
    this->connection->Close();
  };
  asio::co_spawn(this->loop, write(), asio::detached);
  this->loop.restart();
  this->loop.run();
  IoError end;
  const std::string received = this->ReceiveAll(end);
  EXPECT_EQ(received.substr(received.size() - 4), "\r\n\r\n");
}

// Guards against bodies that are kept without being counted against the memory of the host.
TEST_F(CallerConnectionTest, BodyCountsAgainstTheMemoryUntilTheRequestIsGone)
{
  const std::string body(200 * kKibibyte, 'x');
  this->Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 204800\r\n\r\n" + body);
  {
    const auto request = this->Read();
    ASSERT_TRUE(request);
    EXPECT_EQ(request.value().body, body);
    EXPECT_GE(this->budget.Held(), body.size());
  }
  EXPECT_EQ(this->budget.Held(), 0U);
}

TEST_F(CallerConnectionTest, BodyOfStatedLengthIsRefusedUnreadWithoutMemory)
{
  const auto held = this->budget.TryReserve(MemoryUse::Responses, this->budget.Limit() * 7 / 8);
  EXPECT_EQ(this->ErrorOf("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\nx"),
            ErrorKind::Unavailable);
  EXPECT_EQ(this->connection->End(), ConnectionEnd::NoMemory);
}

TEST_F(CallerConnectionTest, ChunkedBodyIsRefusedOnceItOutgrowsTheMemory)
{
  const auto held = this->budget.TryReserve(MemoryUse::Responses, this->budget.Limit() * 7 / 8);
  const std::string chunk = "8000\r\n" + std::string(0x8000, 'x') + "\r\n";
  this->Send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk);
  EXPECT_EQ(this->ErrorOf(chunk), ErrorKind::Unavailable);
}

TEST_F(CallerConnectionTest, ReadsLargeChunkedBody)
{
  const std::string piece(0x8000, 'x');
  std::string chunks;
  for (int count = 0; count < 32; ++count) {
    chunks += "8000\r\n" + piece + "\r\n";
  }
  std::thread sender([&] {
    this->Send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks +
               "0\r\n\r\n");
  });
  const auto request = this->Read();
  sender.join();
  ASSERT_TRUE(request);
  EXPECT_EQ(request.value().body, std::string(32 * piece.size(), 'x'));
}

// Guards against a caller that fills the memory of the host with what is no body.
TEST_F(CallerConnectionTest, ExtensionOfAChunkWithoutEndIsRefused)
{
  this->Send("POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
  std::thread sender([&] {
    IoError error;
    asio::write(this->caller, asio::buffer("3;" + std::string(kMebibyte, 'x')), error);
  });
  const auto request = this->Read();
  this->connection->Close();
  sender.join();
  ASSERT_FALSE(request);
  EXPECT_EQ(request.error().kind, ErrorKind::InvalidArgument);
}

// Writing a response continues as long as the caller reads from it.
TEST_F(CallerConnectionTest, WritesLargeResponseToSlowReader)
{
  HttpResponseMessage response;
  response.head.status = 200;
  response.body = std::string(24 * kMebibyte, 'x');
  const std::size_t expected = response.body.size();
  bool written = false;
  const auto write = [&]() -> Awaitable<void> {
    written = co_await this->connection->WriteWhole(std::move(response), true);
    this->connection->Close();
  };
  std::size_t received = 0;
  std::thread reader([&] {
    std::vector<char> bytes(kMebibyte);
    IoError error;
    while (!error) {
      received += this->caller.read_some(asio::buffer(bytes), error);
      // Takes more than ten seconds in total, the write timeout.
      std::this_thread::sleep_for(std::chrono::milliseconds(received < expected / 2 ? 1000 : 0));
    }
  });
  asio::co_spawn(this->loop, write(), asio::detached);
  this->loop.run();
  reader.join();
  EXPECT_TRUE(written);
  EXPECT_GE(received, expected);
}

} // namespace
} // namespace damasklink
