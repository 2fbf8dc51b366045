#include <cstdlib>
#include <filesystem>
#include <fstream>

#include <gmock/gmock.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include "program/Commands.h"
#include "program/TestHost.h"

namespace damasklink::testing {
namespace {

using ::testing::HasSubstr;

// A running host, and a folder of subtrees that the commands read.
class ApplyCommandTest : public ::testing::Test
{
protected:
  void SetUp() override
  {
    ::setenv("DAMASKLINK_OPERATOR_KEY", kOperatorKey.c_str(), 1);
    this->folder =
      std::filesystem::temp_directory_path() / ("apply-command-" + std::to_string(::getpid()));
    std::filesystem::create_directories(this->folder);
    ASSERT_TRUE(this->host.Start());
  }
  void TearDown() override
  {
    this->host.Stop();
    std::filesystem::remove_all(this->folder);
  }

  void WriteFile(const std::string& aName, const std::string& aText) const
  {
    std::ofstream(this->folder / aName) << aText;
  }

  static std::string WorkspaceWithKey(const std::string& aName, const std::string& aKey)
  {
    return "workspaces:\n  " + aName + ":\n    teams:\n      t:\n        keys: [" +
           DigestOf(aKey).Value() + "]\n";
  }

  ExitCode Run(const std::vector<std::string>& aWords)
  {
    std::vector<std::string> words = aWords;
    words.insert(words.end(), { "--host", FormatEndpoint(this->host.Addresses().operators) });
    ::testing::internal::CaptureStdout();
    ::testing::internal::CaptureStderr();
    const ExitCode code = RunProgram(words);
    this->out = ::testing::internal::GetCapturedStdout();
    this->errors = ::testing::internal::GetCapturedStderr();
    return code;
  }

  HostProcess host{ SampleSettings() };
  std::filesystem::path folder;
  std::string out;
  std::string errors;
};

TEST_F(ApplyCommandTest, AppliesFolderIdempotentlyAndTouchesNothingElse)
{
  this->WriteFile("a.yaml", WorkspaceWithKey("a", "key-a"));
  this->WriteFile("b.yaml", WorkspaceWithKey("b", "key-b"));
  EXPECT_EQ(this->Run({ "apply", this->folder, "--wait", "5s" }), ExitCode::Done) << this->errors;
  EXPECT_THAT(this->out, HasSubstr("workspaces/a: accepted, revision 3"));
  EXPECT_THAT(this->out, HasSubstr("in force on: solo"));
  EXPECT_EQ(this->Run({ "apply", this->folder }), ExitCode::Done);
  EXPECT_THAT(this->out, HasSubstr("workspaces/b: unchanged, revision 4"));
  EXPECT_EQ(this->Run({ "get", "workspaces/head-office" }), ExitCode::Done);
  EXPECT_THAT(this->out, HasSubstr("made_from: 2"));
}

TEST_F(ApplyCommandTest, SendsNothingIfAnyFileHasFaults)
{
  this->WriteFile("a.yaml", WorkspaceWithKey("a", "key-a"));
  this->WriteFile("b.yaml", WorkspaceWithKey("b", "counter-key"));
  EXPECT_EQ(this->Run({ "apply", this->folder }), ExitCode::Refused);
  EXPECT_THAT(this->errors, HasSubstr("belongs to workspace 'head-office'"));
  this->WriteFile("b.yaml", "workspaces:\n  b:\n    models:\n      - model: unknown\n");
  EXPECT_EQ(this->Run({ "apply", this->folder }), ExitCode::Refused);
  EXPECT_THAT(this->errors, HasSubstr("b.yaml:4: workspaces.b.models[0]"));
  EXPECT_EQ(this->Run({ "get" }), ExitCode::Done);
  EXPECT_THAT(this->out, HasSubstr("revision 2\n"));
}

TEST_F(ApplyCommandTest, RefusesFileMadeFromOldVersionAndDiffShowsBothSides)
{
  const std::string head = "made_from: 2\nworkspaces:\n  head-office:\n    share: ";
  this->WriteFile("office.yaml", head + "5\n");
  EXPECT_EQ(this->Run({ "diff", this->folder }), ExitCode::Done);
  EXPECT_THAT(this->out, HasSubstr("-    share: 2\n"));
  EXPECT_THAT(this->out, HasSubstr("+    share: 5\n"));
  EXPECT_EQ(this->Run({ "apply", this->folder }), ExitCode::Done) << this->errors;
  this->WriteFile("office.yaml", head + "6\n");
  EXPECT_EQ(this->Run({ "apply", this->folder }), ExitCode::Refused);
  EXPECT_THAT(this->errors, HasSubstr("is at version 3"));
  EXPECT_EQ(this->Run({ "history", "workspaces/head-office" }), ExitCode::Done);
  EXPECT_THAT(this->out, HasSubstr("changed by operator as apply-"));
}

TEST_F(ApplyCommandTest, TriesNextHostIfOneIsUnreachable)
{
  EXPECT_EQ(this->Run({ "status", "--host", "127.0.0.1:1" }), ExitCode::Done) << this->errors;
  EXPECT_THAT(this->out, HasSubstr("host solo zone hall-north revision 2"));
  EXPECT_EQ(RunProgram({ "status", "--host", "127.0.0.1:1" }), ExitCode::Unreachable);
}

} // namespace
} // namespace damasklink::testing
