#include "program/RolloutExecutor.h"

#include <gtest/gtest.h>

#include "platform/Dialect.h"
#include "support/ScriptedTarget.h"

namespace damasklink {
namespace {

using testing::ScriptedTarget;
using testing::Write;

constexpr const char* kRefusalWithRest =
  "HTTP/1.1 503 Busy\r\nRetry-After: 3600\r\nContent-Length: 0\r\n\r\n";

class RolloutExecutorTest : public ::testing::Test
{
protected:
  RolloutExecutorTest()
  {
    this->engine.id = TargetId("e");
    this->engine.kind = TargetKind::Engine;
    this->engine.models = { ServedModel{ ModelName("m"), WeightVersion("1"), {} } };
  }

  static RolloutOptions Options()
  {
    RolloutOptions options;
    options.orderLease = Duration::zero();
    options.drain = Duration::zero();
    return options;
  }

  // Plans, and waits for the calls, in each of several report intervals.
  void RunSteps()
  {
    for (int step = 0; step < 20; ++step) {
      this->executor.Step({ { ModelName("m"), DesiredWeights{ 2 } } }, { this->engine });
      this->loop.restart();
      this->loop.run();
      this->clock.Advance(Options().reportInterval);
    }
  }

  ManualClock clock;
  MemoryBudget memory{ ByteCount(256 * kMebibyte) };
  asio::io_context loop{ 1 };
  platform::Dialect dialect;
  TargetRecord engine;
  RolloutExecutor executor{
    this->loop,    this->clock,
    this->dialect, this->memory,
    Options(),     [] {
                             return OrderAuthority{ true, HostId("control"), FencingNumber(1) }; }
  };
};

// Guards against a control host that goes on reading an engine that asked it for rest.
TEST_F(RolloutExecutorTest, SendsNothingToEngineThatAskedForRest)
{
  ScriptedTarget target([](const std::string&, TcpSocket& aSocket) {
    Write(aSocket, kRefusalWithRest);
    return true;
  });
  this->engine.endpoint = target.Address();
  this->RunSteps();
  EXPECT_EQ(target.Requests().size(), 1U);
  this->engine.incarnation = Incarnation(2);
  this->RunSteps();
  EXPECT_EQ(target.Requests().size(), 2U);
}

// As above, where it asks for the rest in its answer to an order.
TEST_F(RolloutExecutorTest, ReadsNoReportAfterAnOrderThatWasAnsweredWithRest)
{
  ScriptedTarget target([](const std::string& aRequest, TcpSocket& aSocket) {
    const std::string report =
      R"({"busy":false,"sequence":0,"models":[{"name":"m","version":1,"adapters":[]}]})";
    Write(aSocket,
          aRequest.starts_with("GET") ? "HTTP/1.1 200 OK\r\nContent-Length: " +
                                          std::to_string(report.size()) + "\r\n\r\n" + report
                                      : kRefusalWithRest);
    return true;
  });
  this->engine.endpoint = target.Address();
  this->RunSteps();
  ASSERT_EQ(target.Requests().size(), 2U);
  EXPECT_TRUE(target.Requests().back().starts_with("POST"));
}

} // namespace
} // namespace damasklink
