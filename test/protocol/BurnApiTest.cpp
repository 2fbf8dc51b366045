#include "damasklink/protocol/BurnApi.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace damasklink {
namespace {

RC_GTEST_PROP(BurnApiTest, RoundTripsAnyCounts, (std::uint32_t aGood, std::uint32_t aBad))
{
  HostBurn burn;
  burn.host = HostId("one");
  burn.workspaces.resize(2);
  burn.workspaces.front().workspace = WorkspaceId("a \"quoted\" one");
  burn.workspaces.front().objective = { std::chrono::milliseconds(700), 0.99 };
  burn.workspaces.front().windows.fill({ aGood, std::uint64_t{ aGood } + aBad });
  RC_ASSERT(ParseHostBurn(FormatHostBurn(burn)).value() == burn);
}

TEST(BurnApiTest, ErrorNamesTheInvalidField)
{
  const auto problem = [](std::string_view aBody) {
    const auto parsed = ParseHostBurn(aBody);
    return parsed ? std::string("none") : parsed.error().message;
  };
  EXPECT_NE(problem("[]").find("not a JSON object"), std::string::npos);
  EXPECT_NE(problem(R"({"workspaces": 3})").find("'workspaces'"), std::string::npos);
  EXPECT_NE(problem(R"({"workspaces": [{"share": 2, "first_token": "1s"}]})").find("'share'"),
            std::string::npos);
}

} // namespace
} // namespace damasklink
