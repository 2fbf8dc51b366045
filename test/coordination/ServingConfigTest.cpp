#include "damasklink/coordination/ServingConfig.h"

#include <gtest/gtest.h>

namespace damasklink {
namespace {

ServingConfig
ValidConfig()
{
  ServingConfig config;
  config.version = Revision(1);
  ServingService service;
  service.name = ServiceName("s");
  config.services = { service };
  ServingRoute route;
  route.name = "r";
  route.host = "h";
  route.prefix = "/a/";
  route.timeout = std::chrono::seconds(1);
  route.shares = { ServiceShare{ ServiceName("s"), 1 } };
  config.routes = { route };
  WorkspaceEntry one;
  one.name = WorkspaceId("one");
  one.keys = { "k1" };
  WorkspaceEntry two;
  two.name = WorkspaceId("two");
  two.keys = { "k2" };
  config.workspaces = { one, two };
  return config;
}

TEST(ServingConfigTest, AcceptsValidConfig)
{
  EXPECT_TRUE(CheckServingConfig(ValidConfig()));
}

TEST(ServingConfigTest, RejectsUnknownService)
{
  ServingConfig config = ValidConfig();
  config.routes.front().shares.push_back(ServiceShare{ ServiceName("nobody"), 1 });
  EXPECT_FALSE(CheckServingConfig(config));
}

TEST(ServingConfigTest, RejectsRoutesWithSameHostAndPrefix)
{
  ServingConfig config = ValidConfig();
  config.routes.push_back(config.routes.front());
  EXPECT_FALSE(CheckServingConfig(config));
  config.routes.back().prefix = "/b/";
  EXPECT_TRUE(CheckServingConfig(config));
}

TEST(ServingConfigTest, RejectsWeightsThatSumToZero)
{
  ServingConfig config = ValidConfig();
  config.routes.front().shares.front().weight = 0;
  EXPECT_FALSE(CheckServingConfig(config));
}

TEST(ServingConfigTest, RejectsZeroTimeout)
{
  ServingConfig config = ValidConfig();
  config.routes.front().timeout = Duration::zero();
  EXPECT_FALSE(CheckServingConfig(config));
}

TEST(ServingConfigTest, RejectsKeyHeldByTwoWorkspaces)
{
  ServingConfig config = ValidConfig();
  config.workspaces.back().keys.push_back("k1");
  EXPECT_FALSE(CheckServingConfig(config));
}

TEST(ServingConfigTest, RejectsPrefixWithoutSlashes)
{
  ServingConfig config = ValidConfig();
  config.routes.front().prefix = "/a";
  EXPECT_FALSE(CheckServingConfig(config));
}

TEST(ServingConfigTest, RejectsUnknownRegionAndNamesItsOwner)
{
  const std::set<RegionId> regions{ RegionId("north") };
  ServingConfig config = ValidConfig();
  config.routes[0].allowedRegions = { RegionId("north") };
  EXPECT_TRUE(CheckRegions(config, regions));
  config.workspaces[1].allowedRegions = { RegionId("nowhere") };
  const auto checked = CheckRegions(config, regions);
  ASSERT_FALSE(checked);
  EXPECT_EQ(checked.error().kind, ErrorKind::InvalidArgument);
  EXPECT_NE(checked.error().message.find("workspace 'two'"), std::string::npos);
}

} // namespace
} // namespace damasklink
