// Tests of what an exchange logs of a call whose caller gets no whole response.
#include <absl/synchronization/notification.h>

#include "ExchangeFixture.h"
#include "damasklink/transport/Log.h"
#include "support/PipeOutput.h"

namespace damasklink {
namespace {

using testing::Answer;
using testing::Chunk;
using testing::PipeOutput;
using testing::ScriptedTarget;
using testing::StreamHead;
using testing::Write;

constexpr const char* kEvent = "event=answer_lost ";

class ExchangeLossTest : public testing::ExchangeFixture
{
protected:
  ExchangeLossTest() { LogToStandardOutput(); }

  // Returns the line that tells of the loss.
  std::string LossLine() const
  {
    const std::string text = this->output.ReadUntil(kEvent);
    const std::size_t found = text.find(kEvent);
    return found == std::string::npos ? "" : text.substr(found, text.find('\n', found) - found);
  }

  void CallFor(const std::string& aPath, int aMilliseconds)
  {
    Write(this->caller,
          "GET " + aPath + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Deadline-Ms: " +
            std::to_string(aMilliseconds) + "\r\n\r\n");
  }

  static void ExpectFields(const std::string& aLine, const std::vector<std::string>& aFields)
  {
    for (const std::string& field : aFields) {
      EXPECT_NE((aLine + " ").find(" " + field + " "), std::string::npos) << field << ": " << aLine;
    }
  }

  PipeOutput output;
};

// Guards against a stream that is cut off without a line that says why.
TEST_F(ExchangeLossTest, StreamThatIsCutOffIsLogged)
{
  ScriptedTarget target([&](const std::string&, TcpSocket& aSocket) {
    Write(aSocket, StreamHead() + Chunk("id: 3\ndata: a\n\n"));
    return false;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->context.shuttingDown = true;
  this->Call("/stream/");
  this->ReceiveAll();
  ExpectFields(this->LossLine(),
               { "request=r1",
                 "reason=cut_off",
                 "target=t",
                 "service=app",
                 "passed_on=1",
                 "last_event=3",
                 "sends=1",
                 "stopping=1",
                 "for_another_host=0",
                 "configuration=1" });
}

TEST_F(ExchangeLossTest, StreamWhoseDeadlinePassesIsLogged)
{
  absl::Notification ends;
  ScriptedTarget target([&](const std::string&, TcpSocket& aSocket) {
    Write(aSocket, StreamHead() + Chunk("id: 1\ndata: a\n\n"));
    ends.WaitForNotification();
    return false;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->CallFor("/stream/", 300);
  this->ReceiveAll();
  const std::string line = this->LossLine();
  ExpectFields(line, { "request=r1", "reason=deadline_passed", "target=t", "passed_on=1" });
  EXPECT_EQ(line.find(" silence_ms=0 "), std::string::npos) << line;
  ends.Notify();
}

TEST_F(ExchangeLossTest, CallWhoseCallerLeavesIsLogged)
{
  absl::Notification arrived;
  absl::Notification ends;
  ScriptedTarget target([&](const std::string&, TcpSocket&) {
    arrived.Notify();
    ends.WaitForNotification();
    return false;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/once/");
  arrived.WaitForNotification();
  this->caller.close();
  ExpectFields(this->LossLine(),
               { "request=r1", "reason=caller_left", "target=t", "passed_on=0", "last_event=0" });
  ends.Notify();
}

TEST_F(ExchangeLossTest, StreamWhoseCallerLeavesIsLogged)
{
  absl::Notification ends;
  ScriptedTarget target([&](const std::string&, TcpSocket& aSocket) {
    Write(aSocket, StreamHead() + Chunk("id: 1\ndata: a\n\n"));
    ends.WaitForNotification();
    return false;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/stream/");
  this->ReceiveUpTo("data: a\n\n\r\n");
  this->caller.close();
  ExpectFields(this->LossLine(), { "request=r1", "reason=caller_left", "passed_on=1" });
  ends.Notify();
}

// Guards against lines about requests that were answered or refused.
TEST_F(ExchangeLossTest, AnswersAndRefusalsAreNotLogged)
{
  ScriptedTarget target([&](const std::string& aRequest, TcpSocket& aSocket) {
    const bool stream = aRequest.find("/stream/") != std::string::npos;
    Write(aSocket,
          stream ? StreamHead() + Chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n" : Answer(500, "x"));
    return true;
  });
  this->AddTarget("t", target.Address());
  this->Start();
  this->Call("/once/");
  this->Receive();
  this->Call("/stream/");
  this->ReceiveUpTo("0\r\n\r\n");
  this->Call("/unknown/");
  this->Receive();
  this->Stop();
  LogEvent(LogLevel::Info, "last_line").With("text", "x");
  EXPECT_EQ(this->output.ReadUntil("event=last_line").find(kEvent), std::string::npos);
}

} // namespace
} // namespace damasklink
