// Tests of when an exchange lets the connection of its caller be closed.
#include <absl/synchronization/notification.h>

#include "ExchangeFixture.h"

namespace damasklink {
namespace {

using testing::Answer;
using testing::Chunk;
using testing::ScriptedTarget;
using testing::StreamHead;
using testing::Write;

class ExchangeCloseTest : public testing::ExchangeFixture
{};

// Guards against requests that are lost because a host closes a connection without having announced
// it: the host begins to stop, or is overloaded, while a stream runs.
TEST_F(ExchangeCloseTest, ConnectionIsKeptIfItsStreamDidNotAnnounceTheClose)
{
  absl::Notification ends;
  ScriptedTarget target([&](const std::string& aRequest, TcpSocket& aSocket) {
    if (aRequest.find("/stream/") == std::string::npos) {
      Write(aSocket, Answer(200, "next"));
      return true;
    }
    Write(aSocket, StreamHead() + Chunk("id: 1\ndata: a\n\n"));
    ends.WaitForNotification();
    Write(aSocket, "0\r\n\r\n");
    return true;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/stream/");
  this->ReceiveUpTo("data: a\n\n\r\n");
  this->OnLoop([&] { this->context.shuttingDown = true; });
  ends.Notify();
  this->ReceiveUpTo("0\r\n\r\n");
  this->Call("/idempotent/");
  const std::string answer = this->ReceiveAll();
  EXPECT_NE(answer.find("HTTP/1.1 200"), std::string::npos);
  EXPECT_NE(answer.find("Connection: close"), std::string::npos);
}

} // namespace
} // namespace damasklink
