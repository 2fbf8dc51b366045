// Settings and trees come from people: whatever stands in them, the answer is a value or faults
// that name what is wrong and the remedy.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "Mutations.h"
#include "damasklink/state/CallerDirectory.h"
#include "damasklink/state/ConfigTree.h"
#include "damasklink/state/Settings.h"

namespace damasklink::testing {
namespace {

const std::string kSamples = std::string(DAMASKLINK_SOURCE_DIR) + "/samples/";

template<typename T>
void
AssertValueOrFaults(const Parsed<T>& aParsed)
{
  for (const Fault& fault : aParsed.faults) {
    RC_ASSERT(fault.file == "f.yaml");
    RC_ASSERT(fault.line >= 0);
    RC_ASSERT(!fault.problem.empty());
    RC_ASSERT(!fault.remedy.empty());
  }
}

RC_GTEST_PROP(UntrustedFilesTest, SettingsAreAValueOrFaults, ())
{
  static const std::string kValid =
    ReadWholeFile(kSamples + "02-kalahari/hosts/hall-north-1.yaml").value();
  ForNearlyValid(kValid, [](const std::string& aText) {
    AssertValueOrFaults(ParseHostSettings(aText, "f.yaml"));
  });
}

RC_GTEST_PROP(UntrustedFilesTest, TreesAreAValueOrFaultsAndResolve, ())
{
  static const std::string kValid =
    ReadWholeFile(kSamples + "03-clas/tree/parish-offices.yaml").value();
  ForNearlyValid(kValid, [](const std::string& aText) {
    const auto parsed = ParseConfigTree(aText, "f.yaml");
    AssertValueOrFaults(parsed);
    if (parsed.Ok()) {
      const CallerDirectory directory(parsed.value);
      RC_ASSERT(directory.ServiceLevels().size() == parsed.value.workspaces.size());
    }
  });
}

TEST(UntrustedFilesTest, DeepNestingAndAliasesAreFaultsNotCrashes)
{
  constexpr std::size_t kDepth = 200'000;
  EXPECT_FALSE(ParseHostSettings(std::string(kDepth, '['), "f.yaml").Ok());
  EXPECT_FALSE(ParseConfigTree(std::string(kDepth, '{'), "f.yaml").Ok());
  std::string aliases = "a0: &a0 [x]\n";
  for (int level = 1; level < 40; ++level) {
    const std::string below = "*a" + std::to_string(level - 1);
    const std::string name = "a" + std::to_string(level);
    aliases += name + ": &" + name + " [" + below + "," + below + "," + below + "]\n";
  }
  EXPECT_FALSE(ParseHostSettings(aliases, "f.yaml").Ok());
  EXPECT_FALSE(ParseHostSettings("&a [*a]", "f.yaml").Ok());
}

} // namespace
} // namespace damasklink::testing
