// How configurations reach an entry host over a thin link that calls share.
//
// What was seen: routes were added by the thousand, and most entry hosts went on by the version
// before for as long as they lived, while their links stayed full and calls came seconds late.
// How it came about: each of three control hosts sent each version whole to each entry host, over
// one link of 10 Mbit/s. A connection on which no whole message had come for 1.7 s was given up,
// and the next one began with all of it again. What proved it: versions stood still while the
// links were full without a change, and connections broke as often as that limit allows.
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

// What a link carries besides in the course of a test: signs of life and what hosts are told of
// each other, below 2 KB/s.
constexpr std::size_t kStandingBytes = 64 * 1024;

// Far above what a sound transfer takes, on a busy machine too: a transfer that never ends is what
// the tests are after.
constexpr auto kNever = std::chrono::seconds(20);

// A configuration of routes with names as long and as random as those of operators.
class Routes
{
public:
  void Add(std::size_t aCount)
  {
    for (std::size_t index = 0; index < aCount; ++index) {
      this->places.push_back(this->Word() + "/" + this->Word());
    }
  }

  const std::string& Newest() const { return this->places.back(); }

  std::string Document(int aVersion) const
  {
    std::string routes;
    for (const std::string& place : this->places) {
      routes += (routes.empty() ? "" : ",") + Route(place);
    }
    return R"({"version":)" + std::to_string(aVersion) + R"(,"routes":[)" + routes +
           R"(],"services":[{"name":"app"}],"tenants":[{"name":"w","api-keys":["key"]}]})";
  }

  static std::string Route(const std::string& aPlace)
  {
    return R"({"name":"r-)" + aPlace + R"(","host":"ziba21.example","path-prefix":"/)" + aPlace +
           R"(/","kind":"idempotent","timeout-ms":3000,"target-latency-ms":300,"priority":1,)"
           R"("service":"app","max-attempts":2,"public":false,"sticky":false,"resumable":false})";
  }

private:
  std::string Word()
  {
    std::string word(8, 'a');
    for (char& letter : word) {
      letter = static_cast<char>('a' + this->random() % 26);
    }
    return word;
  }

  std::mt19937 random{ 20261203 };
  std::vector<std::string> places;
};

// Three control hosts, and an entry host that reaches them over one slow link.
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

  // Puts the routes under the next version, and waits until they are acknowledged.
  void Put()
  {
    const std::string document = this->routes.Document(++this->version);
    SendUntil("HTTP/1.1 200", [&] {
      return Send(this->control, "PUT /-/config HTTP/1.1\r\nHost: c\r\n", document);
    });
  }

  // Returns whether the entry host relays by the newest route; there is no target, so a call on a
  // known route is refused.
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

  bool AwaitNewest()
  {
    const auto last = std::chrono::steady_clock::now() + kNever;
    while (std::chrono::steady_clock::now() < last) {
      if (this->NewestIsInForce()) {
        return true;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    return false;
  }

  // Returns what the link has carried once nothing large is on its way any more.
  std::size_t ReceivedInAll()
  {
    std::size_t before = 0;
    std::size_t now = this->link.Received();
    while (now - before > kStandingBytes / 10) {
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

TEST_F(ConfigurationDistributionTest, RoutesByTheThousandAreInForceThoughMoreFollow)
{
  this->routes.Add(50);
  this->Put();
  ASSERT_TRUE(this->AwaitNewest());
  for (int change = 0; change < 3; ++change) {
    this->routes.Add(1400);
    this->Put();
    // The same routes under the next version, before the first can have arrived everywhere.
    this->Put();
    ASSERT_TRUE(this->AwaitNewest()) << "after change " << change;
  }
}

TEST_F(ConfigurationDistributionTest, AChangeCostsNoMoreThanOneCopyOfWhatIsNew)
{
  this->routes.Add(2850);
  this->Put();
  ASSERT_TRUE(this->AwaitNewest());
  const std::size_t before = this->ReceivedInAll();
  this->routes.Add(1400);
  this->Put();
  ASSERT_TRUE(this->AwaitNewest());
  const std::size_t added = 1400 * Routes::Route(this->routes.Newest()).size();
  EXPECT_LE(this->ReceivedInAll() - before, added + kStandingBytes);
}

TEST_F(ConfigurationDistributionTest, ASmallChangeAmongThousandsOfRoutesIsSmallOnTheLink)
{
  this->routes.Add(4250);
  this->Put();
  ASSERT_TRUE(this->AwaitNewest());
  const std::size_t before = this->ReceivedInAll();
  this->routes.Add(1);
  this->Put();
  ASSERT_TRUE(this->AwaitNewest());
  EXPECT_LE(this->ReceivedInAll() - before, kStandingBytes);
}

} // namespace
} // namespace damasklink
