// Distribution of configurations to an entry host over a slow link that it shares with calls.
//
// Guards against a failure in which entry hosts kept the previous version for good after thousands
// of routes were added, while their links were full and calls came seconds late. Each of three
// control hosts sent each version as a whole to each entry host, over one link of 10 Mbit/s. A
// connection without a complete message for 1.7 s was closed, and the next one started from the
// beginning: the links were full although nothing changed, and connections broke as often as that
// limit allows.
#include <csignal>
#include <random>
#include <thread>

#include <gtest/gtest.h>

#include "platform/Dialect.h"
#include "program/ControlHost.h"
#include "program/EntryHost.h"
#include "support/Calls.h"
#include "support/OwnAddress.h"
#include "support/SlowLink.h"
#include "support/TempFolder.h"

namespace damasklink {
namespace {

using testing::FreeEndpoint;
using testing::OwnAddress;
using testing::Send;
using testing::SendUntil;
using testing::SlowLink;
using testing::TempFolder;

// 10 Mbit/s, the link of an entry host.
constexpr double kLinkBytesPerSecond = 1'250'000;

// Other traffic on the link during a test: heartbeats and updates about hosts, less than 2 KB/s.
constexpr std::size_t kBackgroundBytes = 64 * 1024;

// Much longer than a successful transfer takes, even on a busy machine: the tests look for
// transfers that never end.
constexpr auto kTransferTimeout = std::chrono::seconds(20);

// A configuration with routes whose names are as long and as random as those of operators.
class Routes
{
public:
  void Add(std::size_t aCount)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      this->paths.push_back(this->RandomWord() + "/" + this->RandomWord());
    }
  }

  const std::string& Newest() const { return this->paths.back(); }

  std::string Document(int aVersion) const
  {
    std::string routes;
    for (const std::string& path : this->paths) {
      routes += (routes.empty() ? "" : ",") + Route(path);
    }
    return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" + routes +
           R"(],"services":[{"name":"app"}],"tenants":[{"name":"w","api-keys":["key"]}]})";
  }

  static std::string Route(const std::string& aPath)
  {
    return R"({"name":"r-)" + aPath + R"(","host":"ziba21.example","path-prefix":"/)" + aPath +
           R"(/","kind":"idempotent","timeout-ms":3000,"target-latency-ms":300,"priority":1,)"
           R"("service":"app","max-attempts":2,"public":false,"sticky":false,"resumable":false})";
  }

private:
  std::string RandomWord()
  {
    std::string word(8, 'a');
    for (char& letter : word) {
      letter = static_cast<char>('a' + this->random() % 26);
    }
    return word;
  }

  std::mt19937 random{ 20261203 };
  std::vector<std::string> paths;
};

// Three control hosts, and an entry host that is connected to them over one slow link.
class ConfigurationDistributionTest : public ::testing::Test
{
protected:
  static constexpr int kControlHosts = 3;

  ConfigurationDistributionTest()
  {
    const std::string entryIp = OwnAddress(20);
    const std::uint16_t peers = FreeEndpoint(ControlIp(0)).port;
    const std::uint16_t relayed = FreeEndpoint(ControlIp(0)).port;
    ServingSettings entry;
    entry.host = HostId(entryIp);
    entry.zone = ZoneId("z");
    entry.callers = FreeEndpoint(entryIp);
    entry.readiness = FreeEndpoint(entryIp);
    entry.peerPort = relayed;
    for (int index = 0; index < kControlHosts; ++index) {
      entry.seeds.emplace_back(ControlIp(index));
      this->link.Relay(Endpoint{ ControlIp(index), relayed }, Endpoint{ ControlIp(index), peers });
    }
    this->callers = entry.callers;
    for (int index = 0; index < kControlHosts; ++index) {
      this->StartControl(index, peers, entry.seeds);
    }
    this->link.Start();
    this->entryHost = std::make_unique<EntryHost>(entry, this->dialect, this->dialect, kNoSettings);
    this->threads.emplace_back([this] { EXPECT_TRUE(this->entryHost->Run()); });
  }

  ~ConfigurationDistributionTest() override
  {
    std::raise(SIGTERM);
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }

  static std::string ControlIp(int aIndex) { return OwnAddress(10 + aIndex); }

  void StartControl(int aIndex, std::uint16_t aPeers, const std::vector<HostId>& aSeeds)
  {
    ServingSettings control;
    control.host = HostId(ControlIp(aIndex));
    control.zone = ZoneId("z");
    control.control = FreeEndpoint(ControlIp(aIndex));
    control.peerPort = aPeers;
    control.seeds = aSeeds;
    control.firstStart = true;
    control.dataFolder = this->folders.at(aIndex).Path();
    this->control = control.control;
    this->controlHosts.push_back(std::make_unique<ControlHost>(
      control, this->dialect, this->dialect, this->dialect, kNoSettings));
    ControlHost& host = *this->controlHosts.back();
    this->threads.emplace_back([&host] { EXPECT_TRUE(host.Run()); });
  }

  // Puts the routes as the next version, and waits until it is acknowledged.
  void Put()
  {
    const std::string document = this->routes.Document(++this->version);
    SendUntil("HTTP/1.1 200", [&] {
      return Send(this->control, "PUT /-/config HTTP/1.1\r\nHost: c\r\n", document);
    });
  }

  // Returns whether the newest route is in force on the entry host. A call on a known route is
  // refused with 503, since there is no target.
  bool NewestIsInForce()
  {
    const std::string answer =
      Send(this->callers,
           "GET /" + this->routes.Newest() + "/x HTTP/1.1\r\nHost: ziba21.example\r\n" +
             "X-Request-Id: r\r\nX-Credential: key\r\nX-Deadline-Ms: 5000\r\n",
           "");
    return answer.find("HTTP/1.1 503") == 0 &&
           answer.find("configuration yet") == std::string::npos;
  }

  bool WaitForNewest()
  {
    const auto last = std::chrono::steady_clock::now() + kTransferTimeout;
    while (std::chrono::steady_clock::now() < last) {
      if (this->NewestIsInForce()) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  // Waits until no large transfer is in flight, and returns the bytes that the link has carried.
  std::size_t ReceivedInTotal()
  {
    std::size_t before = 0;
    std::size_t now = this->link.Received();
    while (now - before > kBackgroundBytes / 10) {
      std::this_thread::sleep_for(std::chrono::milliseconds(500));
      before = std::exchange(now, this->link.Received());
    }
    return now;
  }

  inline static const auto kNoSettings = [] { return std::optional<ServingSettings>(); };

  std::array<TempFolder, kControlHosts> folders;
  platform::Dialect dialect;
  SlowLink link{ kLinkBytesPerSecond };
  Routes routes;
  int version = 0;
  Endpoint control;
  Endpoint callers;
  std::vector<std::unique_ptr<ControlHost>> controlHosts;
  std::unique_ptr<EntryHost> entryHost;
  std::vector<std::thread> threads;
};

TEST_F(ConfigurationDistributionTest, ThousandsOfRoutesComeIntoForceWhileMoreFollow)
{
  this->routes.Add(50);
  this->Put();
  ASSERT_TRUE(this->WaitForNewest());
  for (int change = 0; change < 3; ++change) {
    this->routes.Add(1400);
    this->Put();
    // The same routes as the next version, before the first can have arrived everywhere.
    this->Put();
    ASSERT_TRUE(this->WaitForNewest()) << "after change " << change;
  }
}

TEST_F(ConfigurationDistributionTest, ChangeTransfersAddedRoutesOnlyOnce)
{
  this->routes.Add(2850);
  this->Put();
  ASSERT_TRUE(this->WaitForNewest());
  const std::size_t before = this->ReceivedInTotal();
  this->routes.Add(1400);
  this->Put();
  ASSERT_TRUE(this->WaitForNewest());
  const std::size_t added = 1400 * Routes::Route(this->routes.Newest()).size();
  EXPECT_LE(this->ReceivedInTotal() - before, added + kBackgroundBytes);
}

TEST_F(ConfigurationDistributionTest, SmallChangeOfLargeDocumentIsSmallOnTheLink)
{
  this->routes.Add(4250);
  this->Put();
  ASSERT_TRUE(this->WaitForNewest());
  const std::size_t before = this->ReceivedInTotal();
  this->routes.Add(1);
  this->Put();
  ASSERT_TRUE(this->WaitForNewest());
  EXPECT_LE(this->ReceivedInTotal() - before, kBackgroundBytes);
}

} // namespace
} // namespace damasklink
