// Simulates entry hosts, control hosts and targets of several software versions in virtual time.
// Streams break off, and callers resume them at other entry hosts. Counts the streams that go on at
// another version than the one that began them, and those that are refused.
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>

#include <gtest/gtest.h>

#include "damasklink/coordination/SoftwareVersionHistory.h"
#include "damasklink/coordination/StreamOriginLookup.h"
#include "damasklink/coordination/StreamOriginTable.h"
#include "support/EventQueue.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kReportInterval = milliseconds(100);
constexpr Duration kSumInterval = milliseconds(50);
constexpr Duration kLookupInterval = milliseconds(60);
constexpr int kMaxRounds = 5;
constexpr std::size_t kLinks = 3;
constexpr Duration kStreamTime = milliseconds(1500);
constexpr Duration kLongStreamTime = seconds(12);
constexpr Duration kCallerPatience = seconds(15);
constexpr Duration kRetention = seconds(30);
// Until a new target is known to all entry hosts.
constexpr Duration kTargetSpread = milliseconds(300);
constexpr Duration kHostDown = seconds(1);
// Hosts that were killed, and all hosts after a fault of the control hosts, need not serve until
// then.
constexpr Duration kContact = seconds(3);
// From the start of a control host until it has a leader.
constexpr Duration kElection = seconds(1);
// Until a command is applied by a control host.
constexpr Duration kCommitTime = milliseconds(20);
const ServiceName kService("lm");

// What happens while streams run.
enum class Faults
{
  None,
  EntryHostsKilled,   // A third of them at once, again and again.
  ControlHostsKilled, // One after the other.
  AllControlHostsKilled,
  ZoneCutOff,
  AllEntryHostsKilled, // At once, around each beginning and end of a version.
  AllHostsKilled,      // The same, with all control hosts shortly before.
};

struct Case
{
  std::size_t entryHosts;
  std::size_t controlHosts;
  std::size_t zones;
  Faults faults;
  // Whether versions replace each other; otherwise two of them stay.
  bool releases;
};

class StreamOriginModel
{
public:
  StreamOriginModel(const Case& aCase, std::uint32_t aSeed)
    : parameters(aCase)
    , random(aSeed)
  {
    for (std::size_t index = 0; index < aCase.controlHosts; ++index) {
      Control& control = this->controls.emplace_back();
      control.host = HostId(std::to_string(index));
      control.zone = index % aCase.zones;
      this->StartControl(control);
    }
    for (std::size_t index = 0; index < aCase.entryHosts; ++index) {
      Entry& entry = this->entries.emplace_back();
      entry.zone = index % aCase.zones;
      entry.origins.emplace(this->clock);
      for (std::size_t link = 0; link < std::min(kLinks, aCase.controlHosts); ++link) {
        entry.links.push_back((index + link) % aCase.controlHosts);
      }
    }
    this->versions = { { SoftwareVersion("v1"), {} }, { SoftwareVersion("v2"), {} } };
  }

  void Run()
  {
    this->clock.Advance(kRetention);
    for (Entry& entry : this->entries) {
      this->Repeat(milliseconds(1000), [this, &entry] { this->BeginStream(entry); });
      this->Repeat(kReportInterval, [this, &entry] { this->Report(entry); });
    }
    for (Control& control : this->controls) {
      this->Repeat(kSumInterval, [this, &control] { this->Publish(control); });
      this->Repeat(milliseconds(500), [this, &control] { this->Hear(control); });
    }
    this->Repeat(kSumInterval, [this] { this->Propose(); });
    if (this->parameters.releases) {
      this->ScheduleReleases();
    }
    this->ScheduleFaults();
    const MonotonicTime end = this->Now() + (this->KillsAllEntries() ? seconds(90) : seconds(20));
    this->events.RunUntil(end);
  }

  int streams = 0;
  int mixed = 0;
  int resumed = 0;
  int wentOn = 0;

private:
  struct Control
  {
    HostId host;
    std::size_t zone = 0;
    std::optional<StreamOriginTable> origins;
    std::optional<SoftwareVersionHistory> history;
    // Origins of its own entry hosts that the other control hosts were not sent yet.
    std::vector<StreamOrigin> unpublished;
    MonotonicTime downUntil;
  };

  struct Entry
  {
    std::size_t zone = 0;
    // The first one is the hub.
    std::vector<std::size_t> links;
    std::optional<StreamOriginTable> origins;
    MonotonicTime downUntil;
  };

  struct Stream
  {
    StreamKey key;
    SoftwareVersion begunOn;
    MonotonicTime endsAt;
    bool refused = false;
  };

  using StreamPtr = std::shared_ptr<Stream>;
  using LookupPtr = std::shared_ptr<StreamOriginLookup>;

  MonotonicTime Now() const { return this->clock.MonotonicNow(); }
  std::size_t RandomIndex(std::size_t aCount) { return this->random() % aCount; }
  Duration RandomTime(Duration aMost)
  {
    return milliseconds(this->random() % (aMost / milliseconds(1)));
  }

  void Repeat(Duration aInterval, const std::function<void()>& aRun)
  {
    this->events.After(this->RandomTime(aInterval),
                       [this, aInterval, aRun] { this->Again(aInterval, aRun); });
  }

  void Again(Duration aInterval, const std::function<void()>& aRun)
  {
    aRun();
    this->events.After(aInterval, [this, aInterval, aRun] { this->Again(aInterval, aRun); });
  }

  // Most messages take a few milliseconds, some are held up.
  void Send(std::size_t aFromZone, std::size_t aToZone, std::function<void()> aDeliver)
  {
    const bool isCut =
      this->cutZone && (aFromZone == *this->cutZone) != (aToZone == *this->cutZone);
    if (isCut) {
      return;
    }
    const bool isHeldUp = this->random() % 50 == 0;
    this->events.After(milliseconds(2) +
                         this->RandomTime(isHeldUp ? milliseconds(200) : milliseconds(10)),
                       std::move(aDeliver));
  }

  template<typename Host>
  bool IsUp(const Host& aHost) const
  {
    return this->Now() >= aHost.downUntil;
  }

  bool HasLeader(const Control& aControl) const
  {
    return this->Now() >= aControl.downUntil + kElection;
  }

  bool KillsAllEntries() const
  {
    return this->parameters.faults == Faults::AllEntryHostsKilled ||
           this->parameters.faults == Faults::AllHostsKilled;
  }

  void StartControl(Control& aControl)
  {
    aControl.origins.emplace(this->clock);
    aControl.history.emplace(this->clock);
    aControl.history->SetRetention(kRetention);
    aControl.unpublished.clear();
  }

  // The versions whose targets the host knows of.
  std::vector<SoftwareVersion> Serving() const
  {
    std::vector<SoftwareVersion> serving;
    for (const auto& [version, span] : this->versions) {
      if (this->Now() >= span.from + kTargetSpread && this->Now() < span.until) {
        serving.push_back(version);
      }
    }
    return serving;
  }

  void BeginStream(Entry& aEntry)
  {
    if (!this->IsUp(aEntry)) {
      return;
    }
    const std::vector<SoftwareVersion> serving = this->Serving();
    const auto stream = std::make_shared<Stream>();
    stream->key = StreamKey(++this->streams);
    stream->begunOn = serving[this->RandomIndex(serving.size())];
    stream->endsAt = this->Now() + this->StreamTime();
    this->RunStream(aEntry, stream);
  }

  // Some streams must outlast the hosts that are all down.
  Duration StreamTime() const { return this->KillsAllEntries() ? kLongStreamTime : kStreamTime; }

  // The stream runs at the entry host from now on, and may break off.
  void RunStream(Entry& aEntry, const StreamPtr& aStream)
  {
    aEntry.origins->Add(StreamOrigin{ aStream->key, kService, aStream->begunOn, kCallerPatience });
    const MonotonicTime startedAt = this->Now();
    const Duration breaksAfter = this->RandomTime(this->StreamTime() * 3);
    this->events.After(std::min<Duration>(breaksAfter, aStream->endsAt - this->Now()),
                       [this, &aEntry, aStream, startedAt] {
                         const bool killed = aEntry.downUntil > startedAt;
                         if (!killed && this->Now() < aStream->endsAt) {
                           this->Resume(aStream);
                         }
                       });
    this->running[&aEntry].push_back(aStream);
  }

  // The caller resumes the stream at any entry host that is up.
  void Resume(const StreamPtr& aStream)
  {
    this->events.After(milliseconds(5) + this->RandomTime(milliseconds(60)), [this, aStream] {
      Entry& entry = this->entries[this->RandomIndex(this->entries.size())];
      if (this->IsUp(entry) && this->Now() < aStream->endsAt) {
        this->Ask(entry, aStream, 1);
      } else if (this->KillsAllEntries() && this->Now() < aStream->endsAt) {
        this->Resume(aStream);
      }
    });
  }

  void Ask(Entry& aEntry, const StreamPtr& aStream, int aRound)
  {
    if (const std::optional<StreamOrigin> own = aEntry.origins->Find(aStream->key)) {
      this->Conclude(aEntry, aStream, own);
      return;
    }
    std::vector<HostId> asked;
    for (const std::size_t link : aEntry.links) {
      asked.push_back(this->controls[link].host);
    }
    const auto lookup = std::make_shared<StreamOriginLookup>(kService, asked);
    for (const std::size_t link : aEntry.links) {
      Control& control = this->controls[link];
      this->Send(aEntry.zone, control.zone, [this, &aEntry, &control, aStream, lookup] {
        this->Answer(aEntry, control, aStream, lookup);
      });
    }
    this->events.After(kLookupInterval, [this, &aEntry, aStream, aRound, lookup] {
      const std::optional<StreamOrigin> origin = lookup->Result();
      if (!origin && aRound < kMaxRounds && this->IsUp(aEntry)) {
        this->Ask(aEntry, aStream, aRound + 1);
      } else {
        this->Conclude(aEntry, aStream, origin);
      }
    });
  }

  void Answer(Entry& aEntry, Control& aControl, const StreamPtr& aStream, const LookupPtr& aLookup)
  {
    if (!this->IsUp(aControl)) {
      return;
    }
    StreamOriginResponse response;
    response.origin = aControl.origins->Find(aStream->key);
    response.versions = aControl.history->Versions(kService);
    response.complete = aControl.history->IsComplete();
    if (!this->committed.empty()) {
      response.versions.insert(this->committed.begin(), this->committed.end());
      response.complete = response.complete || this->HasLeader(aControl);
    }
    this->Send(aControl.zone, aEntry.zone, [aLookup, response, from = aControl.host] {
      aLookup->OnResponse(from, response);
    });
  }

  void Conclude(Entry& aEntry, const StreamPtr& aStream, const std::optional<StreamOrigin>& aOrigin)
  {
    if (!this->IsUp(aEntry)) {
      return;
    }
    const std::vector<SoftwareVersion> serving = this->Serving();
    const auto serves = [&](const SoftwareVersion& aVersion) {
      return std::find(serving.begin(), serving.end(), aVersion) != serving.end();
    };
    const Duration contact = this->KillsAllEntries() ? Duration::zero() : kContact;
    const bool counts = this->Now() >= this->calmAt && this->Now() >= aEntry.downUntil + contact &&
                        serves(aStream->begunOn) && !aStream->refused;
    const bool goesOn = aOrigin && serves(aOrigin->software);
    this->resumed += counts ? 1 : 0;
    this->wentOn += counts && goesOn ? 1 : 0;
    if (goesOn) {
      this->mixed += aOrigin->software != aStream->begunOn ? 1 : 0;
      this->RunStream(aEntry, aStream);
    } else if (this->KillsAllEntries()) {
      // Some callers come back though they were not asked to.
      aStream->refused = true;
      this->Resume(aStream);
    }
  }

  void Report(Entry& aEntry)
  {
    if (!this->IsUp(aEntry)) {
      return;
    }
    const std::vector<StreamOrigin> added = aEntry.origins->TakeAdded();
    Control& hub = this->controls[aEntry.links.front()];
    this->Send(aEntry.zone, hub.zone, [this, &hub, added] {
      if (this->IsUp(hub)) {
        this->Take(hub, added);
        hub.unpublished.insert(hub.unpublished.end(), added.begin(), added.end());
      }
    });
    aEntry.origins->RemoveExpired();
  }

  void Take(Control& aControl, const std::vector<StreamOrigin>& aOrigins)
  {
    for (const StreamOrigin& origin : aOrigins) {
      aControl.origins->Add(origin);
    }
  }

  void Publish(Control& aControl)
  {
    if (!this->IsUp(aControl) || aControl.unpublished.empty()) {
      return;
    }
    const std::vector<StreamOrigin> published = std::exchange(aControl.unpublished, {});
    for (Control& other : this->controls) {
      if (&other != &aControl) {
        this->Send(aControl.zone, other.zone, [this, &other, published] {
          if (this->IsUp(other)) {
            this->Take(other, published);
          }
        });
      }
    }
  }

  // A control host hears of the targets that are alive.
  void Hear(Control& aControl)
  {
    for (const auto& [version, span] : this->versions) {
      if (this->Now() >= span.from && this->Now() < span.until) {
        aControl.history->Observe(kService, version);
      }
    }
  }

  // The leader, here any control host that has one, keeps the versions in the log.
  void Propose()
  {
    for (Control& control : this->controls) {
      if (!this->IsUp(control) || !this->HasLeader(control)) {
        continue;
      }
      std::set<SoftwareVersion> versions = control.history->Versions(kService);
      if (!control.history->IsComplete()) {
        versions.insert(this->committed.begin(), this->committed.end());
      }
      if (!versions.empty()) {
        this->events.After(kCommitTime, [this, versions] { this->committed = versions; });
      }
      return;
    }
  }

  void ScheduleReleases()
  {
    const MonotonicTime start = this->Now();
    if (this->KillsAllEntries()) {
      this->versions = { { SoftwareVersion("v1"), { MonotonicTime(), start + seconds(9) } },
                         { SoftwareVersion("v2"), { start + seconds(5), start + seconds(50) } },
                         { SoftwareVersion("v3"), { start + seconds(46), MonotonicTime::max() } } };
      return;
    }
    this->versions = { { SoftwareVersion("v1"), { MonotonicTime(), start + seconds(9) } },
                       { SoftwareVersion("v2"), { start + seconds(4), start + seconds(16) } },
                       { SoftwareVersion("v3"), { start + seconds(8), MonotonicTime::max() } } };
  }

  void ScheduleFaults()
  {
    switch (this->parameters.faults) {
      case Faults::None:
        break;
      case Faults::EntryHostsKilled:
        this->Repeat(seconds(4), [this] { this->KillEntries(); });
        break;
      case Faults::ControlHostsKilled:
        this->Repeat(seconds(5), [this] {
          this->KillControl(this->controls[this->RandomIndex(this->controls.size())]);
          this->calmAt = this->Now() + kContact;
        });
        break;
      case Faults::AllControlHostsKilled:
        this->Repeat(seconds(10), [this] { this->KillAllControls(); });
        break;
      case Faults::ZoneCutOff:
        this->events.After(seconds(5), [this] { this->cutZone = 0; });
        this->events.After(seconds(12), [this] {
          this->cutZone.reset();
          this->calmAt = this->Now() + kContact;
          this->ReconnectAll();
        });
        break;
      case Faults::AllEntryHostsKilled:
      case Faults::AllHostsKilled:
        this->ScheduleKillsOfAllEntries();
        break;
    }
  }

  // Also when the control hosts are about to forget a version.
  void ScheduleKillsOfAllEntries()
  {
    for (const Duration around : { seconds(5),
                                   seconds(9),
                                   seconds(12),
                                   seconds(39),
                                   seconds(46),
                                   seconds(50),
                                   seconds(53),
                                   seconds(80) }) {
      const Duration at = around - milliseconds(500) + this->RandomTime(seconds(2));
      if (this->parameters.faults == Faults::AllHostsKilled) {
        this->events.After(at - this->RandomTime(seconds(3)), [this] { this->KillAllControls(); });
      }
      this->events.After(at, [this] {
        for (Entry& entry : this->entries) {
          this->KillEntry(entry);
        }
      });
    }
  }

  void KillEntries()
  {
    for (std::size_t count = 0; count < this->entries.size() / 3; ++count) {
      this->KillEntry(this->entries[this->RandomIndex(this->entries.size())]);
    }
  }

  void KillEntry(Entry& aEntry)
  {
    if (!this->IsUp(aEntry)) {
      return;
    }
    aEntry.downUntil = this->Now() + kHostDown;
    aEntry.origins.emplace(this->clock);
    for (const StreamPtr& stream : std::exchange(this->running[&aEntry], {})) {
      if (this->Now() < stream->endsAt) {
        this->Resume(stream);
      }
    }
  }

  void KillAllControls()
  {
    for (Control& control : this->controls) {
      this->KillControl(control);
    }
    this->calmAt = this->Now() + kContact;
  }

  void KillControl(Control& aControl)
  {
    aControl.downUntil = this->Now() + kHostDown;
    this->StartControl(aControl);
    this->events.After(kHostDown, [this] { this->ReconnectAll(); });
  }

  // Hosts that connect again are sent everything.
  void ReconnectAll()
  {
    for (Entry& entry : this->entries) {
      entry.origins->ResendAll();
    }
    for (Control& control : this->controls) {
      control.unpublished = control.origins->All();
    }
  }

  // When targets of a version serve.
  struct Span
  {
    MonotonicTime from;
    MonotonicTime until = MonotonicTime::max();
  };

  Case parameters;
  std::mt19937 random;
  ManualClock clock;
  testing::EventQueue events{ this->clock };
  std::deque<Control> controls;
  std::deque<Entry> entries;
  std::map<SoftwareVersion, Span> versions;
  std::map<const Entry*, std::vector<StreamPtr>> running;
  // The versions that the replicated log names.
  std::set<SoftwareVersion> committed;
  std::optional<std::size_t> cutZone;
  // From when on resumed streams must be served again.
  MonotonicTime calmAt;
};

// What the users allow.
constexpr int kMaxMixed = 2;
constexpr double kMinShare = 0.5;
// Fewer resumed streams say nothing of the share.
constexpr int kMinResumed = 12;

const std::set<Faults> kFaultsOfSome = { Faults::None,
                                         Faults::EntryHostsKilled,
                                         Faults::ControlHostsKilled,
                                         Faults::AllControlHostsKilled,
                                         Faults::ZoneCutOff };

void
ExpectNoneMixed(std::size_t aEntryHosts,
                std::size_t aControlHosts,
                std::size_t aZones,
                int aSeeds,
                const std::set<Faults>& aFaults = kFaultsOfSome,
                int aMaxMixed = kMaxMixed)
{
  for (const Faults faults : aFaults) {
    for (const bool releases : { false, true }) {
      for (int seed = 1; seed <= aSeeds; ++seed) {
        StreamOriginModel model({ aEntryHosts, aControlHosts, aZones, faults, releases }, seed);
        model.Run();
        const std::string name = "faults " + std::to_string(static_cast<int>(faults)) +
                                 ", releases " + std::to_string(releases) + ", seed " +
                                 std::to_string(seed);
        EXPECT_LE(model.mixed, aMaxMixed) << name;
        EXPECT_GE(model.resumed, kMinResumed) << name;
        EXPECT_GE(model.wentOn, kMinShare * model.resumed)
          << name << ", " << model.wentOn << " of " << model.resumed;
      }
    }
  }
}

// Guards against streams that go on at another software version, or do not go on, at any size of a
// deployment.
TEST(StreamOriginModelTest, ResumedStreamsGoOnAtTheirVersionAt9Hosts)
{
  ExpectNoneMixed(9, 3, 3, 20);
}

TEST(StreamOriginModelTest, ResumedStreamsGoOnAtTheirVersionAt72Hosts)
{
  ExpectNoneMixed(72, 8, 4, 4);
}

TEST(StreamOriginModelTest, ResumedStreamsGoOnAtTheirVersionAt985Hosts)
{
  ExpectNoneMixed(985, 25, 5, 1);
}

// Guards against streams whose record was lost with all entry hosts and that go on at the version
// of the targets that are left.
TEST(StreamOriginModelTest, StreamsGoOnAtTheirVersionAfterAllEntryHostsWereKilled)
{
  ExpectNoneMixed(9, 3, 3, 40, { Faults::AllEntryHostsKilled }, 0);
  ExpectNoneMixed(72, 8, 4, 2, { Faults::AllEntryHostsKilled }, 0);
}

// Guards against the same where control hosts, too, were started a short time before.
TEST(StreamOriginModelTest, StreamsDoNotChangeTheirVersionAfterAllHostsWereKilled)
{
  ExpectNoneMixed(9, 3, 3, 40, { Faults::AllHostsKilled }, 0);
  ExpectNoneMixed(72, 8, 4, 2, { Faults::AllHostsKilled }, 0);
}

} // namespace
} // namespace damasklink
