#include <filesystem>
#include <map>
#include <set>

#include <gtest/gtest.h>

#include "damasklink/state/ConfigTree.h"
#include "program/Commands.h"
#include "program/HostProcess.h"
#include "program/TestHost.h"

namespace damasklink::testing {
namespace {

namespace fs = std::filesystem;

const fs::path kSamples = fs::path(DAMASKLINK_SOURCE_DIR) / "samples";

std::vector<std::string>
YamlFilesBelow(const fs::path& aFolder)
{
  std::vector<std::string> files;
  for (const auto& entry : fs::recursive_directory_iterator(aFolder)) {
    if (entry.path().extension() == ".yaml") {
      files.push_back(entry.path().string());
    }
  }
  return files;
}

TEST(SamplesTest, CheckPassesOnAll)
{
  std::vector<std::string> words = YamlFilesBelow(kSamples);
  ASSERT_GT(words.size(), 40U);
  words.insert(words.begin(), "check");
  ::testing::internal::CaptureStdout();
  const ExitCode code = RunProgram(words);
  const std::string out = ::testing::internal::GetCapturedStdout();
  EXPECT_EQ(code, ExitCode::Done) << out;
}

TEST(SamplesTest, StartsOneHostWithoutInitialTree)
{
  HostSettings settings = SampleSettings();
  settings.initialTree.clear();
  HostProcess host(settings);
  EXPECT_TRUE(host.Start());
  host.Stop();
}

class UserSamplesTest : public ::testing::TestWithParam<const char*>
{
protected:
  fs::path Folder() const { return kSamples / this->GetParam(); }
};

TEST_P(UserSamplesTest, HasThreeHostsAndOneDiskInEachZone)
{
  std::map<ZoneId, int> hosts;
  std::map<ZoneId, int> disks;
  std::set<std::string> addresses;
  for (const std::string& file : YamlFilesBelow(this->Folder() / "hosts")) {
    const HostSettings settings = LoadHostSettings(file).value;
    EXPECT_EQ(fs::path(file).stem().string(), settings.host.Value());
    EXPECT_EQ(settings.peers.size(), 9U);
    addresses.insert(FormatEndpoint(settings.listen.peers));
    hosts[settings.zone] += 1;
    disks[settings.zone] += settings.dataFolder.empty() ? 0 : 1;
  }
  EXPECT_EQ(addresses.size(), 9U);
  EXPECT_EQ(hosts.size(), 3U);
  for (const auto& [zone, count] : hosts) {
    EXPECT_EQ(count, 3) << zone;
    EXPECT_EQ(disks[zone], 1) << zone;
  }
}

TEST_P(UserSamplesTest, HasTenWorkspacesWithDistinctKeys)
{
  int workspaces = 0;
  std::set<Digest> keys;
  std::size_t keyCount = 0;
  for (const std::string& file : YamlFilesBelow(this->Folder() / "tree")) {
    const ConfigTree tree = ParseConfigTree(ReadWholeFile(file).value(), file).value;
    for (const auto& [name, workspace] : tree.workspaces) {
      workspaces += 1;
      for (const auto& [team, node] : workspace.teams) {
        keys.insert(node.keys.begin(), node.keys.end());
        keyCount += node.keys.size();
      }
    }
  }
  EXPECT_EQ(workspaces, 10);
  EXPECT_EQ(keys.size(), keyCount);
}

INSTANTIATE_TEST_SUITE_P(BothUsers, UserSamplesTest, ::testing::Values("02-kalahari", "03-clas"));

} // namespace
} // namespace damasklink::testing
