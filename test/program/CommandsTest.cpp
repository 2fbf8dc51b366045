#include "program/Commands.h"

#include <filesystem>
#include <fstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace damasklink {
namespace {

using testing::HasSubstr;
using Words = std::vector<std::string>;

// Runs the program and captures its output.
class CommandsTest : public testing::Test
{
protected:
  ExitCode Run(const Words& aWords)
  {
    testing::internal::CaptureStdout();
    testing::internal::CaptureStderr();
    const ExitCode code = RunProgram(aWords);
    this->out = testing::internal::GetCapturedStdout();
    this->err = testing::internal::GetCapturedStderr();
    return code;
  }

  // Writes a file named after the test, and returns its path.
  std::string Write(const std::string& aText)
  {
    const std::string path = testing::TempDir() + "/" +
                             testing::UnitTest::GetInstance()->current_test_info()->name() +
                             ".yaml";
    std::ofstream(path) << aText;
    return path;
  }

  std::string out;
  std::string err;
};

TEST_F(CommandsTest, EveryCommandHasHelpVersionAndLogLevel)
{
  for (const Command& command : AllCommands()) {
    const std::string name(command.name);
    EXPECT_EQ(this->Run({ name, "--help" }), ExitCode::Done) << name;
    EXPECT_THAT(this->out, HasSubstr("--log-level")) << name;
    EXPECT_EQ(this->Run({ name, "--version" }), ExitCode::Done) << name;
    EXPECT_THAT(this->out, HasSubstr("damasklink 0.")) << name;
  }
}

TEST_F(CommandsTest, BadShareOfHedgesIsAnErrorThatNamesTheOptionAndTheRemedy)
{
  for (const std::string bad : { "0.21", "-0.01", "3%", "nan", "0.03x", "much" }) {
    EXPECT_EQ(this->Run({ "entry", "--hedge-share=" + bad }), ExitCode::InvalidUsage) << bad;
    EXPECT_THAT(this->err, HasSubstr("--hedge-share '" + bad + "'"));
    EXPECT_THAT(this->err, HasSubstr("from 0 (no hedges) to 0.2"));
  }
}

TEST_F(CommandsTest, OverviewListsEveryCommand)
{
  EXPECT_EQ(this->Run({ "--help" }), ExitCode::Done);
  for (const Command& command : AllCommands()) {
    EXPECT_THAT(this->out, HasSubstr(std::string(command.purpose)));
  }
}

TEST_F(CommandsTest, UsageErrorPointsToHelp)
{
  const std::vector<Words> wrong{
    {}, { "dance" }, { "check" }, { "serve" }, { "check", "--colour", "x" }
  };
  for (const Words& words : wrong) {
    EXPECT_EQ(this->Run(words), ExitCode::InvalidUsage);
    EXPECT_THAT(this->err, HasSubstr("--help"));
  }
}

TEST_F(CommandsTest, UnknownLogLevelAndFormatAreUsageErrors)
{
  EXPECT_EQ(this->Run({ "check", "--log-level", "loud", "f" }), ExitCode::InvalidUsage);
  EXPECT_EQ(this->Run({ "check", "--output", "xml", "f" }), ExitCode::InvalidUsage);
}

TEST_F(CommandsTest, CheckListsAllFaultsAsJson)
{
  const std::string file = this->Write("host: a\ncolour: red\nlimits:\n  shutdown: 30\n");
  EXPECT_EQ(this->Run({ "check", "--output", "json", file }), ExitCode::Refused);
  const auto result = nlohmann::json::parse(this->out);
  std::vector<std::string> keys;
  for (const auto& fault : result.at("faults")) {
    keys.push_back(fault.at("key"));
    EXPECT_EQ(fault.at("file"), file);
    EXPECT_GT(fault.at("line"), 0);
    EXPECT_NE(fault.at("problem"), "");
    EXPECT_NE(fault.at("remedy"), "");
  }
  EXPECT_THAT(keys, testing::IsSupersetOf({ "colour", "limits.shutdown", "zone" }));
}

TEST_F(CommandsTest, CheckOfMissingFileIsAFaultWithRemedy)
{
  EXPECT_EQ(this->Run({ "check", "/nowhere/host.yaml" }), ExitCode::Refused);
  EXPECT_THAT(this->out, HasSubstr("check the path"));
}

TEST_F(CommandsTest, ServeRefusesSettingsWithFaults)
{
  const std::string file = this->Write("host: a\n");
  EXPECT_EQ(this->Run({ "serve", "--settings", file }), ExitCode::Refused);
  EXPECT_THAT(this->err, HasSubstr("zone: is missing"));
}

} // namespace
} // namespace damasklink
