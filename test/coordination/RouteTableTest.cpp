#include "damasklink/coordination/RouteTable.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

ServingRoute
Route(const std::string& aName, const std::string& aHost, const std::string& aPrefix)
{
  ServingRoute route;
  route.name = aName;
  route.host = aHost;
  route.prefix = aPrefix;
  route.timeout = std::chrono::seconds(1);
  route.shares = { ServiceShare{ ServiceName("s"), 1 } };
  return route;
}

class RouteTableTest : public ::testing::Test
{
protected:
  RouteTableTest()
  {
    this->config.routes = { Route("short", "shop.example", "/a/"),
                            Route("long", "shop.example", "/a/b/"),
                            Route("other", "desk.example", "/a/") };
    WorkspaceEntry workspace;
    workspace.name = WorkspaceId("w");
    workspace.keys = { "key-1", "key-2" };
    this->config.workspaces = { workspace };
  }

  std::string Found(std::string_view aHost, std::string_view aPath) const
  {
    const RouteTable table(std::make_shared<const ServingConfig>(this->config));
    const ServingRoute* route = table.FindRoute(aHost, aPath);
    return route == nullptr ? "" : route->name;
  }

  ServingConfig config;
};

TEST_F(RouteTableTest, ChoosesLongestPrefix)
{
  EXPECT_EQ(this->Found("shop.example", "/a/b/c"), "long");
  EXPECT_EQ(this->Found("shop.example", "/a/c"), "short");
}

TEST_F(RouteTableTest, PrefixMatchesOnlyUpToASlash)
{
  EXPECT_EQ(this->Found("shop.example", "/a/b"), "short");
  EXPECT_EQ(this->Found("shop.example", "/a/bc/"), "short");
  EXPECT_EQ(this->Found("shop.example", "/ab/"), "");
  EXPECT_EQ(this->Found("shop.example", "/a"), "");
}

// Guards against routes that no request matches because their host has a capital letter.
TEST_F(RouteTableTest, CaseOfTheHostInTheConfigurationIsIgnored)
{
  this->config.routes = { Route("capital", "Shop.Example", "/a/") };
  EXPECT_EQ(this->Found("shop.example", "/a/c"), "capital");
  EXPECT_EQ(this->Found("SHOP.example", "/a/c"), "capital");
}

TEST_F(RouteTableTest, PathEqualToPrefixMatches)
{
  EXPECT_EQ(this->Found("shop.example", "/a/b/"), "long");
}

TEST_F(RouteTableTest, IgnoresCaseAndPortOfHost)
{
  EXPECT_EQ(this->Found("Shop.Example:8080", "/a/x"), "short");
  EXPECT_EQ(this->Found("nobody.example", "/a/x"), "");
}

TEST_F(RouteTableTest, HostIsNotTakenFromPath)
{
  EXPECT_EQ(this->Found("", "shop.example/a/x"), "");
}

TEST_F(RouteTableTest, FindsWorkspaceByKey)
{
  const RouteTable table(std::make_shared<const ServingConfig>(this->config));
  ASSERT_NE(table.FindWorkspace("key-2"), nullptr);
  EXPECT_EQ(table.FindWorkspace("key-2")->name, WorkspaceId("w"));
  EXPECT_EQ(table.FindWorkspace("key"), nullptr);
  EXPECT_EQ(table.FindWorkspace(""), nullptr);
}

std::string
DigestOfIsolated(const std::vector<std::string>& aIsolated, const std::vector<std::string>& aOthers)
{
  ServingConfig config;
  for (const auto& [names, isolated] : { std::pair(aIsolated, true), std::pair(aOthers, false) }) {
    for (const std::string& name : names) {
      WorkspaceEntry workspace;
      workspace.name = WorkspaceId(name);
      workspace.isolated = isolated;
      config.workspaces.push_back(workspace);
    }
  }
  return RouteTable(std::make_shared<const ServingConfig>(config)).IsolationDigest();
}

TEST(IsolationDigestTest, DependsOnTheSetOfIsolatedWorkspacesOnly)
{
  EXPECT_EQ(DigestOfIsolated({}, { "a", "b" }), "");
  EXPECT_EQ(DigestOfIsolated({ "a", "b" }, { "c" }), DigestOfIsolated({ "b", "a" }, {}));
  EXPECT_NE(DigestOfIsolated({ "a" }, { "b" }), DigestOfIsolated({ "b" }, { "a" }));
  EXPECT_NE(DigestOfIsolated({ "a", "b" }, {}), DigestOfIsolated({ "ab" }, {}));
}

TEST(ChooseServiceTest, DistributesCallsByWeight)
{
  ServingRoute route;
  route.shares = { ServiceShare{ ServiceName("a"), 90 }, ServiceShare{ ServiceName("b"), 10 } };
  int b = 0;
  for (std::uint64_t number = 0; number < 1000; ++number) {
    b += ChooseService(route, number) == ServiceName("b") ? 1 : 0;
  }
  EXPECT_EQ(b, 100);
}

TEST(ChooseServiceTest, SkipsServiceWithZeroWeight)
{
  ServingRoute route;
  route.shares = { ServiceShare{ ServiceName("a"), 0 }, ServiceShare{ ServiceName("b"), 1 } };
  for (std::uint64_t number = 0; number < 10; ++number) {
    EXPECT_EQ(ChooseService(route, number), ServiceName("b"));
  }
}

} // namespace
} // namespace damasklink
