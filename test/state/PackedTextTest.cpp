#include "damasklink/state/PackedText.h"

#include <random>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

constexpr std::size_t kMost = std::size_t{ 16 } * 1024 * 1024;

// A list of entries with random names, each as long as an operator's route.
std::string
Entries(std::size_t aCount, std::uint32_t aSeed)
{
  std::mt19937 random(aSeed);
  std::string text = "{\"version\":" + std::to_string(aSeed) + ",\"routes\":[";
  for (std::size_t index = 0; index < aCount; ++index) {
    text += R"({"name":"r-)" + std::to_string(random()) +
            R"(","kind":"idempotent","timeout-ms":3000,"priority":1,"service":"app"},)";
  }
  return text + "]}";
}

RC_GTEST_PROP(PackedTextProperty, EveryTextComesBackWhateverItsBase, ())
{
  const auto text = *rc::gen::arbitrary<std::string>();
  const auto base = *rc::gen::arbitrary<std::string>();
  const auto unpacked = UnpackText(PackText(text, base), base, kMost);
  RC_ASSERT(bool(unpacked));
  RC_ASSERT(unpacked.value() == text);
}

RC_GTEST_PROP(PackedTextProperty, DamagedBytesAreRefusedOrHarmless, ())
{
  const std::string text = Entries(*rc::gen::inRange(0, 20), 1);
  std::string packed = PackText(text, "");
  const auto at = *rc::gen::inRange<std::size_t>(0, packed.size());
  packed[at] = static_cast<char>(packed[at] ^ *rc::gen::inRange(1, 256));
  const auto unpacked = UnpackText(packed, "", kMost);
  const bool harmless = !unpacked || unpacked.value() == text;
  RC_ASSERT(harmless);
}

TEST(PackedTextTest, SmallChangeOfALargeTextIsSmall)
{
  const std::string base = Entries(4000, 7);
  std::string text = base;
  text.replace(text.find("\"version\":7"), 11, "\"version\":8");
  text.insert(text.size() / 2, R"({"name":"new"},)");
  text.insert(text.size() - 2, R"({"name":"newer"},)");
  const std::string packed = PackText(text, base);
  EXPECT_LT(packed.size(), 300U);
  EXPECT_EQ(UnpackText(packed, base, kMost).value(), text);
}

TEST(PackedTextTest, BaseOfMegabytesIsFoundFromItsBeginningToItsEnd)
{
  const std::string base = Entries(40'000, 7);
  const std::string text = base.substr(base.size() / 2) + base.substr(0, base.size() / 2);
  EXPECT_LT(PackText(text, base).size(), 1000U);
}

TEST(PackedTextTest, AnotherBaseIsRefused)
{
  const std::string packed = PackText(Entries(500, 2), Entries(500, 1));
  const auto unpacked = UnpackText(packed, Entries(500, 3), kMost);
  ASSERT_FALSE(unpacked);
  EXPECT_EQ(unpacked.error().kind, ErrorKind::Corrupt);
}

TEST(PackedTextTest, TextOverTheLimitIsRefusedBeforeItTakesMemory)
{
  const std::string packed = PackText(std::string(kMost, 'a'), "");
  EXPECT_LT(packed.size(), 10'000U);
  EXPECT_FALSE(UnpackText(packed, "", kMost - 1));
}

TEST(PackedTextTest, NothingIsNoPackedText)
{
  EXPECT_FALSE(UnpackText("", "", kMost));
}

} // namespace
} // namespace damasklink
