#include <cstdlib>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

#include "damasklink/transport/Log.h"
#include "program/Commands.h"
#include "program/TestHost.h"
#include "support/OwnAddress.h"

namespace damasklink::testing {
namespace {

using ::testing::HasSubstr;
using ::testing::Not;
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kUnauthenticated = 401;

class OperatorPartTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    static const bool kLogging = [] {
      StartLogging(LogLevel::Info);
      return true;
    }();
    ASSERT_TRUE(kLogging);
    ASSERT_TRUE(this->host.Start());
    this->operators = this->host.Addresses().operators;
  }
  void TearDown() override { this->host.Stop(); }

  HttpClientResponse Ask(std::string aMethod,
                         std::string aPath,
                         const std::string& aKey,
                         std::string aBody = "")
  {
    return Call(this->operators, std::move(aMethod), std::move(aPath), aKey, std::move(aBody))
      .value();
  }

  HostProcess host{ SampleSettings() };
  Endpoint operators;
};

TEST_F(OperatorPartTest, HealthAndReadinessNeedNoKey)
{
  EXPECT_EQ(this->Ask("GET", "/healthz", "").status, kOk);
  EXPECT_EQ(this->Ask("GET", "/readyz", "").status, kOk);
}

TEST_F(OperatorPartTest, OtherRoutesRequireAnOperatorKey)
{
  for (const char* path : { "/metrics", "/v1/burn" }) {
    EXPECT_EQ(this->Ask("GET", path, "").status, kUnauthenticated) << path;
    EXPECT_EQ(this->Ask("GET", path, kCallerKey).status, kUnauthenticated) << path;
    EXPECT_EQ(this->Ask("GET", path, kOperatorKey).status, kOk) << path;
  }
  EXPECT_EQ(this->Ask("PUT", "/v1/log-level", "wrong", R"({"level":"info"})").status,
            kUnauthenticated);
}

TEST_F(OperatorPartTest, LogLevelChangesWhileRunning)
{
  ::testing::internal::CaptureStderr();
  EXPECT_EQ(this->Ask("PUT", "/v1/log-level", kOperatorKey, R"({"level":"error"})").status, kOk);
  LogEvent(LogLevel::Info, "left_out");
  EXPECT_EQ(this->Ask("PUT", "/v1/log-level", kOperatorKey, R"({"level":"info"})").status, kOk);
  LogEvent(LogLevel::Info, "written");
  const std::string lines = ::testing::internal::GetCapturedStderr();
  EXPECT_THAT(lines, Not(HasSubstr("left_out")));
  EXPECT_THAT(lines, HasSubstr("event=written"));
}

TEST_F(OperatorPartTest, UnknownLogLevelIsRefused)
{
  for (const char* body : { R"({"level":"loud"})", R"({"level":7})", "7", "" }) {
    EXPECT_EQ(this->Ask("PUT", "/v1/log-level", kOperatorKey, body).status, kBadRequest) << body;
  }
}

TEST_F(OperatorPartTest, BurnListsEveryWorkspaceOfTheTree)
{
  const auto burn = nlohmann::json::parse(this->Ask("GET", "/v1/burn", kOperatorKey).body);
  EXPECT_EQ(burn.at("workspaces").at(0).at("workspace"), "head-office");
  EXPECT_EQ(burn.at("workspaces").at(0).at("windows").size(), 3U);
}

// Runs the report command with the key in the environment.
class ReportCommandTest : public OperatorPartTest
{
protected:
  ExitCode Report(const std::vector<std::string>& aHosts, const char* aKey)
  {
    ::setenv("DAMASKLINK_OPERATOR_KEY", aKey, 1);
    ::testing::internal::CaptureStdout();
    ::testing::internal::CaptureStderr();
    std::vector<std::string> words{ "report", "burn" };
    for (const std::string& host : aHosts) {
      words.insert(words.end(), { "--host", host });
    }
    const ExitCode code = RunProgram(words);
    this->out = ::testing::internal::GetCapturedStdout();
    this->err = ::testing::internal::GetCapturedStderr();
    return code;
  }

  std::string out;
  std::string err;
};

TEST_F(ReportCommandTest, PrintsEachWorkspace)
{
  EXPECT_EQ(this->Report({ FormatEndpoint(this->operators) }, kOperatorKey.c_str()),
            ExitCode::Done);
  EXPECT_THAT(this->out, HasSubstr("head-office"));
  EXPECT_THAT(this->out, HasSubstr("from 1 hosts"));
}

TEST_F(ReportCommandTest, ListsUnreachableHostsAndPrintsTheRest)
{
  // After the server has stopped, nothing listens on its port.
  HttpServer stopped(
    { Endpoint{ testing::OwnAddress(1), 0 }, 1, ByteCount(kMebibyte), std::chrono::seconds(1) });
  ASSERT_TRUE(stopped.Start());
  const std::string unreachable = FormatEndpoint(stopped.Address());
  stopped.Stop();
  EXPECT_EQ(this->Report({ FormatEndpoint(this->operators), unreachable }, kOperatorKey.c_str()),
            ExitCode::Unreachable);
  EXPECT_THAT(this->out, HasSubstr("head-office"));
  EXPECT_THAT(this->out, HasSubstr("unreached: " + unreachable));
}

TEST_F(ReportCommandTest, PrintsRemedyForRefusedKey)
{
  EXPECT_EQ(this->Report({ FormatEndpoint(this->operators) }, "wrong"), ExitCode::Refused);
  EXPECT_THAT(this->err, HasSubstr("compare the key"));
}

TEST_F(ReportCommandTest, LogLevelCommandChangesHostOrReportsError)
{
  const std::string host = FormatEndpoint(this->operators);
  ::setenv("DAMASKLINK_OPERATOR_KEY", kOperatorKey.c_str(), 1);
  ::testing::internal::CaptureStdout();
  ::testing::internal::CaptureStderr();
  EXPECT_EQ(RunProgram({ "log-level", "debug", "--host", host }), ExitCode::Done);
  LogEvent(LogLevel::Debug, "now_written");
  EXPECT_EQ(RunProgram({ "log-level", "info", "--host", host }), ExitCode::Done);
  EXPECT_EQ(RunProgram({ "log-level", "loud", "--host", host }), ExitCode::InvalidUsage);
  EXPECT_THAT(::testing::internal::GetCapturedStdout(), HasSubstr(host));
  EXPECT_THAT(::testing::internal::GetCapturedStderr(), HasSubstr("now_written"));
}

TEST_F(ReportCommandTest, MissingKeyOrMalformedHostIsUsageError)
{
  EXPECT_EQ(this->Report({ FormatEndpoint(this->operators) }, ""), ExitCode::InvalidUsage);
  EXPECT_EQ(this->Report({ "localhost:1" }, kOperatorKey.c_str()), ExitCode::InvalidUsage);
}

} // namespace
} // namespace damasklink::testing
