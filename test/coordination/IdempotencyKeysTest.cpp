#include "damasklink/coordination/IdempotencyKeys.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

const WorkspaceId kOffice("head-office");
const ZoneId kNorth("hall-north");
const WallTime kCreatedAt(std::chrono::milliseconds(1'764'700'000'123));

TEST(IdempotencyKeysTest, MintedKeyCarriesItsHomeAndCreationTime)
{
  const IdempotencyKey key = MintKey(kOffice, kNorth, kCreatedAt, "00ff");
  const auto origin = ReadKeyOrigin(kOffice, key);
  ASSERT_TRUE(origin) << origin.error();
  EXPECT_EQ(origin.value().home, kNorth);
  EXPECT_EQ(origin.value().createdAt, kCreatedAt);
}

TEST(IdempotencyKeysTest, MintedKeyOfAnotherWorkspaceIsRefused)
{
  const IdempotencyKey key = MintKey(kOffice, kNorth, kCreatedAt, "00ff");
  EXPECT_FALSE(ReadKeyOrigin(WorkspaceId("branch"), key));
}

TEST(IdempotencyKeysTest, CallersOwnKeyHasNoOrigin)
{
  EXPECT_EQ(ReadKeyOrigin(kOffice, IdempotencyKey("order-17")).value(), KeyOrigin());
}

TEST(IdempotencyKeysTest, RefusesEmptyOverlongAndInvisibleKeys)
{
  for (const std::string& text :
       { std::string(), std::string("a b"), std::string("a\n"), std::string(256, 'k') }) {
    EXPECT_FALSE(ReadKeyOrigin(kOffice, IdempotencyKey(text)));
  }
}

// A key with one changed character is refused, not read as another home or creation time.
RC_GTEST_PROP(IdempotencyKeysProperty, MangledMintedKeyIsRefused, ())
{
  const IdempotencyKey key = MintKey(kOffice, kNorth, kCreatedAt, "00ff");
  std::string text = key.Value();
  const auto at = *rc::gen::inRange<std::size_t>(4, text.size());
  const char changed = *rc::gen::inRange('!', '~');
  RC_PRE(text[at] != changed);
  text[at] = changed;
  RC_ASSERT(!ReadKeyOrigin(kOffice, IdempotencyKey(text)));
}

// The home does not depend on the order of the zones, and does not change when another zone is
// removed.
RC_GTEST_PROP(IdempotencyKeysProperty, HomeStaysWhenAnotherZoneGoes, ())
{
  const IdempotencyKey key("order-" + std::to_string(*rc::gen::inRange(0, 1'000'000)));
  std::vector<ZoneId> zones{ ZoneId("a"), ZoneId("b"), ZoneId("c") };
  const ZoneId home = RendezvousHome(kOffice, key, zones);
  std::reverse(zones.begin(), zones.end());
  std::erase_if(zones, [&](const ZoneId& aZone) { return aZone > home; });
  RC_ASSERT(RendezvousHome(kOffice, key, zones) == home);
}

} // namespace
} // namespace damasklink
