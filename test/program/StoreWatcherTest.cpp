#include "program/StoreWatcher.h"

#include <thread>

#include <gtest/gtest.h>

#include "platform/Dialect.h"
#include "support/ScriptedTarget.h"

namespace damasklink {
namespace {

using testing::ScriptedTarget;
using testing::Write;

const StoreWatchPlan kOnlyHost(HostId("control"), ZoneId("z"));
const auto kIgnore = [](const std::vector<StoreUpdate>&) {};

// A long list over a slow link arrives in pieces, in total later than the timeout of a store that
// sends nothing.
TEST(StoreWatcherTest, StoreWithSlowListStaysReachable)
{
  constexpr int kParts = 40;
  std::atomic<int> lists{ 0 };
  ScriptedTarget store([&](const std::string& aRequest, TcpSocket& aSocket) {
    if (aRequest.find("kv-list") == std::string::npos) {
      const std::string events = R"({"boot-epoch":1,"next":1,"events":[]})";
      Write(aSocket,
            "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(events.size()) + "\r\n\r\n" +
              events);
      return true;
    }
    ++lists;
    std::vector<std::string> rows;
    std::size_t bytes = 0;
    for (int part = 0; part < kParts; ++part) {
      rows.push_back(std::string(part == 0 ? "" : ",") + R"(["scope","part-)" +
                     std::to_string(part) + R"(",64,"m"])");
      bytes += rows.back().size();
    }
    const std::string begin = R"({"boot-epoch":1,"next":1,"held":[)";
    Write(aSocket,
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(begin.size() + bytes + 2) +
            "\r\n\r\n" + begin);
    for (const std::string& row : rows) {
      std::this_thread::sleep_for(std::chrono::milliseconds(30));
      Write(aSocket, row);
    }
    Write(aSocket, "]}");
    return true;
  });
  asio::io_context loop;
  SystemClock clock;
  MemoryBudget memory(ByteCount(256 * kMebibyte));
  platform::Dialect dialect;
  std::size_t known = 0;
  bool unreachable = false;
  const auto onChanges = [&](const auto& aUpdates) {
    for (const StoreUpdate& update : aUpdates) {
      known += update.added.size();
      unreachable = unreachable || !update.live;
    }
  };
  StoreWatcher watcher(loop, clock, dialect, kOnlyHost, memory, { onChanges, kIgnore });
  ServingService service;
  service.name = ServiceName("store");
  service.store = PromptStoreSpec{};
  service.store->endpoint = store.Address();
  watcher.Follow({ service });
  // Until the list is known, or was abandoned and requested again.
  while (known < kParts && lists < 2) {
    loop.run_one_for(std::chrono::milliseconds(20));
    loop.restart();
    watcher.PublishChanges();
  }
  EXPECT_EQ(known, static_cast<std::size_t>(kParts));
  EXPECT_EQ(lists, 1);
  EXPECT_FALSE(unreachable);
}

// A store under load has an event every few milliseconds. Hundreds of entry hosts must not get an
// update for each, but one for all events since the last PublishChanges().
TEST(StoreWatcherTest, PublishesEventsOfOneStepTogether)
{
  constexpr int kEvents = 50;
  std::atomic<int> sent{ 0 };
  ScriptedTarget store([&](const std::string& aRequest, TcpSocket& aSocket) {
    std::string body = R"({"boot-epoch":1,"next":1,"held":[]})";
    if (aRequest.find("kv-list") == std::string::npos && sent < kEvents) {
      const std::string number = std::to_string(++sent);
      body = R"({"boot-epoch":1,"next":)" + std::to_string(sent + 1) + R"(,"events":[[)" + number +
             R"(,"+","scope","part-)" + number + R"(",64,"m"]]})";
    } else if (aRequest.find("kv-list") == std::string::npos) {
      body = R"({"boot-epoch":1,"next":)" + std::to_string(kEvents + 1) + R"(,"events":[]})";
    }
    Write(aSocket,
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    return true;
  });
  asio::io_context loop;
  SystemClock clock;
  MemoryBudget memory(ByteCount(256 * kMebibyte));
  platform::Dialect dialect;
  std::size_t calls = 0;
  std::size_t known = 0;
  const auto onChanges = [&](const auto& aUpdates) {
    ++calls;
    for (const StoreUpdate& update : aUpdates) {
      known += update.added.size();
    }
  };
  StoreWatcher watcher(loop, clock, dialect, kOnlyHost, memory, { onChanges, kIgnore });
  ServingService service;
  service.name = ServiceName("store");
  service.store = PromptStoreSpec{};
  service.store->endpoint = store.Address();
  watcher.Follow({ service });
  while (sent < kEvents) {
    loop.run_one_for(std::chrono::milliseconds(20));
    loop.restart();
  }
  loop.run_for(std::chrono::milliseconds(20));
  EXPECT_EQ(calls, 0U);
  watcher.PublishChanges();
  EXPECT_EQ(calls, 1U);
  EXPECT_EQ(known, static_cast<std::size_t>(kEvents));
}

// A store, and the plan of one of 25 control hosts, of which the store admits only a few.
class SharedStoreTest : public ::testing::Test
{
protected:
  static constexpr int kHosts = 25;

  SharedStoreTest()
  {
    PromptStoreSpec spec;
    spec.endpoint = this->store.Address();
    spec.zone = ZoneId("z");
    spec.mostWaiting = 12;
    this->service.name = ServiceName("store");
    this->service.store = spec;
    StoreWatchPlan any(HostId("0"), ZoneId("z"));
    Connect(any);
    this->ranking = any.Ranking(spec);
  }

  static void Connect(StoreWatchPlan& aPlan)
  {
    for (int number = 0; number < kHosts; ++number) {
      const HostId host(std::to_string(number));
      aPlan.AddHost(host, ZoneId("z"));
      aPlan.OnConnection(host, true);
    }
  }

  // Starts the watcher of the host with this rank.
  void Start(std::size_t aRank)
  {
    this->plan.emplace(this->ranking.at(aRank), ZoneId("z"));
    Connect(*this->plan);
    const auto append = [](auto& aTo) {
      return [&aTo](const std::vector<StoreUpdate>& aUpdates) {
        aTo.insert(aTo.end(), aUpdates.begin(), aUpdates.end());
      };
    };
    this->watcher.emplace(this->loop,
                          this->clock,
                          this->dialect,
                          *this->plan,
                          this->memory,
                          StoreWatcher::Handlers{ append(this->published), append(this->relayed) });
    this->watcher->Follow({ this->service });
  }

  void RunUntil(const std::function<bool()>& aDone)
  {
    for (int step = 0; step < 200 && !aDone(); ++step) {
      this->loop.run_one_for(std::chrono::milliseconds(20));
      this->loop.restart();
      this->watcher->UpdateRoles();
      this->watcher->PublishChanges();
    }
  }

  StoreUpdate Relayed(bool aLive) const
  {
    StoreUpdate update;
    update.store = this->store.Address();
    update.live = aLive;
    update.whole = true;
    update.added = { SizedPart{ PartKey(7), TokenCount(64) } };
    return update;
  }

  static bool HasParts(const std::vector<StoreUpdate>& aUpdates)
  {
    return !aUpdates.empty() && aUpdates.back().live && !aUpdates.back().added.empty();
  }

  std::atomic<int> calls{ 0 };
  ScriptedTarget store{ [this](const std::string& aRequest, TcpSocket& aSocket) {
    ++this->calls;
    const bool list = aRequest.find("kv-list") != std::string::npos;
    const std::string body = list ? R"({"boot-epoch":1,"next":1,"held":[["scope","part",64,"m"]]})"
                                  : R"({"boot-epoch":1,"next":1,"events":[]})";
    Write(aSocket,
          "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    return true;
  } };
  ServingService service;
  std::vector<HostId> ranking;
  MemoryBudget memory{ ByteCount(256 * kMebibyte) };
  asio::io_context loop;
  SystemClock clock;
  platform::Dialect dialect;
  std::optional<StoreWatchPlan> plan;
  std::vector<StoreUpdate> published;
  std::vector<StoreUpdate> relayed;
  std::optional<StoreWatcher> watcher;
};

TEST_F(SharedStoreTest, FirstHostRelaysWhatItWatches)
{
  this->Start(0);
  this->RunUntil([this] { return HasParts(this->relayed); });
  EXPECT_TRUE(HasParts(this->relayed));
  EXPECT_TRUE(HasParts(this->published));
  EXPECT_TRUE(HasParts(this->watcher->RelaySnapshot()));
}

TEST_F(SharedStoreTest, OtherHostsUseWhatIsRelayedAndDoNotCallTheStore)
{
  this->Start(StoreWatchPlan::kWatchers);
  this->watcher->OnRelayed(this->ranking.front(), { this->Relayed(true) });
  this->RunUntil([this] { return HasParts(this->published); });
  EXPECT_TRUE(HasParts(this->published));
  EXPECT_TRUE(HasParts(this->watcher->Snapshot()));
  EXPECT_EQ(this->calls, 0);
  EXPECT_TRUE(this->relayed.empty());
}

// Guards against parts that are fetched from a store of which nobody tells any more.
TEST_F(SharedStoreTest, StoreIsUnreachableWhenNobodyRelaysIt)
{
  this->Start(StoreWatchPlan::kWatchers);
  this->watcher->OnRelayed(this->ranking.front(), { this->Relayed(true) });
  this->watcher->PublishChanges();
  this->watcher->OnDisconnected(this->ranking.front());
  this->watcher->PublishChanges();
  ASSERT_FALSE(this->published.empty());
  EXPECT_FALSE(this->published.back().live);
}

TEST_F(SharedStoreTest, StandbyRelaysWhenTheFirstHostIsLost)
{
  this->Start(1);
  this->RunUntil([this] { return HasParts(this->published); });
  EXPECT_TRUE(this->relayed.empty());
  this->plan->OnConnection(this->ranking.front(), false);
  this->watcher->UpdateRoles();
  EXPECT_TRUE(HasParts(this->relayed));
}

TEST_F(SharedStoreTest, HostRelaysUntilItsSuccessorDoes)
{
  this->Start(1);
  this->plan->OnConnection(this->ranking.front(), false);
  this->RunUntil([this] { return HasParts(this->relayed); });
  this->plan->OnConnection(this->ranking.front(), true);
  this->watcher->UpdateRoles();
  EXPECT_TRUE(HasParts(this->watcher->RelaySnapshot()));
  this->watcher->OnRelayed(this->ranking.front(), { this->Relayed(true) });
  this->watcher->UpdateRoles();
  EXPECT_TRUE(this->watcher->RelaySnapshot().empty());
  EXPECT_FALSE(this->relayed.back().live) << "the others drop what it told";
}

} // namespace
} // namespace damasklink
