// Tests that an entry host obtains the configuration while control hosts stop responding, are
// partitioned, restart or are behind. The scenario: thousands of routes are added at once, more
// follow before those have arrived, and calls saturate the link.
#include "damasklink/coordination/DocumentFetcher.h"

#include <algorithm>
#include <random>
#include <vector>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "damasklink/coordination/DocumentPublisher.h"
#include "damasklink/state/PackedText.h"

namespace damasklink {
namespace {

using std::chrono::milliseconds;

const HostId kFirst("control-1");
const HostId kSecond("control-2");

constexpr std::size_t kMostBytes = std::size_t{ 16 } * 1024 * 1024;

// Returns a text that compression cannot shorten.
std::string
RandomText(std::size_t aBytes, std::uint32_t aSeed)
{
  std::mt19937 random(aSeed);
  std::string text(aBytes, '\0');
  std::generate(text.begin(), text.end(), [&] { return static_cast<char>(random()); });
  return text;
}

class DocumentFetcherTest : public ::testing::Test
{
protected:
  // Publishes a document of several chunks, which stands for the one of all control hosts.
  void Publish(std::uint64_t aVersion, std::size_t aBytes = 100'000)
  {
    this->text = RandomText(aBytes, static_cast<std::uint32_t>(aVersion));
    this->publisher.Publish(Revision(aVersion), this->text);
  }

  void Announce(const HostId& aHost, std::uint64_t aVersion)
  {
    this->fetcher.OnVersionAnnounced(aHost, Revision(aVersion));
  }

  // Runs requests and answers until the transfer is complete. Returns the number of chunks.
  int CompleteTransfer()
  {
    for (int chunks = 1;; ++chunks) {
      const auto outgoing = this->fetcher.Next();
      if (!outgoing) {
        return 0;
      }
      const auto answer = this->publisher.Answer(outgoing->request);
      if (const auto document = this->fetcher.OnChunk(outgoing->source, *answer)) {
        this->fetched = document;
        return chunks;
      }
    }
  }

  std::string Unpacked() const { return UnpackText(this->fetched->packed, "", kMostBytes).value(); }

  ManualClock clock;
  DocumentPublisher publisher;
  DocumentFetcher fetcher{ this->clock };
  std::string text;
  std::optional<FetchedDocument> fetched;
};

TEST_F(DocumentFetcherTest, RequestsNothingBeforeAnnouncement)
{
  EXPECT_FALSE(this->fetcher.Next());
  this->Announce(kFirst, 0);
  EXPECT_FALSE(this->fetcher.Next());
}

TEST_F(DocumentFetcherTest, FetchesAnnouncedVersionInChunksFromFirstAnnouncer)
{
  this->Publish(7);
  this->Announce(kSecond, 7);
  this->Announce(kFirst, 7);
  EXPECT_EQ(this->fetcher.Next()->source, kSecond);
  EXPECT_FALSE(this->fetcher.Next()) << "one chunk at a time";
  this->fetcher.OnLost(kSecond);
  EXPECT_GT(this->CompleteTransfer(), 1);
  EXPECT_EQ(this->Unpacked(), this->text);
  this->fetcher.OnVersionInstalled(Revision(7));
  EXPECT_FALSE(this->fetcher.Next());
}

TEST_F(DocumentFetcherTest, DoesNotRequestLowerOrEqualVersions)
{
  this->fetcher.OnVersionInstalled(Revision(7));
  this->Announce(kFirst, 7);
  this->Announce(kSecond, 5);
  EXPECT_FALSE(this->fetcher.Next());
}

TEST_F(DocumentFetcherTest, ResumesTransferAtAnotherSourceAfterTimeout)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  this->Announce(kSecond, 7);
  const auto started = this->fetcher.Next();
  EXPECT_EQ(started->source, kFirst);
  EXPECT_FALSE(this->fetcher.OnChunk(kFirst, *this->publisher.Answer(started->request)));
  EXPECT_EQ(this->fetcher.Next()->source, kFirst);
  this->clock.Advance(milliseconds(499));
  EXPECT_FALSE(this->fetcher.Next());
  this->clock.Advance(milliseconds(1));
  const auto again = this->fetcher.Next();
  ASSERT_TRUE(again);
  EXPECT_EQ(again->source, kSecond);
  EXPECT_EQ(again->request.offset, started->request.mostBytes)
    << "received bytes are not requested again";
}

TEST_F(DocumentFetcherTest, PrefersSourceThatAnsweredOverSilentOne)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  this->Announce(kSecond, 7);
  EXPECT_EQ(this->fetcher.Next()->source, kFirst);
  this->clock.Advance(milliseconds(500));
  const auto outgoing = this->fetcher.Next();
  ASSERT_EQ(outgoing->source, kSecond);
  this->fetcher.OnChunk(kSecond, *this->publisher.Answer(outgoing->request));
  EXPECT_EQ(this->fetcher.Next()->source, kSecond);
}

TEST_F(DocumentFetcherTest, ReachesThirdSourceWithinASecondWhenTwoAreSilent)
{
  const HostId third("control-3");
  this->Publish(7);
  for (const HostId& host : { kFirst, kSecond, third }) {
    this->Announce(host, 7);
  }
  std::set<HostId> asked;
  const MonotonicTime started = this->clock.MonotonicNow();
  while (asked.size() < 3) {
    if (const auto outgoing = this->fetcher.Next()) {
      asked.insert(outgoing->source);
    }
    this->clock.Advance(milliseconds(10));
  }
  EXPECT_LE(this->clock.MonotonicNow() - started, milliseconds(1010));
}

TEST_F(DocumentFetcherTest, AcceptsLateChunkFromSourceThatTimedOut)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  this->Announce(kSecond, 7);
  const auto first = this->fetcher.Next();
  this->clock.Advance(milliseconds(500));
  const auto second = this->fetcher.Next();
  ASSERT_EQ(second->source, kSecond);
  this->fetcher.OnChunk(kFirst, *this->publisher.Answer(first->request));
  EXPECT_GT(this->fetcher.Next()->request.offset, 0U);
  this->fetcher.OnChunk(kSecond, *this->publisher.Answer(second->request));
  EXPECT_FALSE(this->fetcher.Next()) << "a duplicate chunk does not count as an answer";
}

TEST_F(DocumentFetcherTest, RetriesOnlySourceWithBackoff)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  int asks = 0;
  for (int step = 0; step < 600; ++step) {
    asks += this->fetcher.Next() ? 1 : 0;
    this->clock.Advance(milliseconds(100));
  }
  EXPECT_GE(asks, 15);
  EXPECT_LE(asks, 20) << "a saturated link must not be loaded with repeated chunks";
  this->clock.Advance(std::chrono::seconds(4));
  EXPECT_GT(this->CompleteTransfer(), 0);
}

TEST_F(DocumentFetcherTest, CompletesStartedTransferBeforeNewerVersion)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  const auto started = this->fetcher.Next();
  this->fetcher.OnChunk(kFirst, *this->publisher.Answer(started->request));
  const std::string seventh = this->text;
  this->Publish(9);
  this->Announce(kFirst, 9);
  EXPECT_GT(this->CompleteTransfer(), 0);
  EXPECT_EQ(this->fetched->transfer.version, Revision(7));
  EXPECT_EQ(this->Unpacked(), seventh);
  this->fetcher.OnVersionInstalled(Revision(7));
  EXPECT_EQ(this->fetcher.Next()->request.held, Revision(7));
}

TEST_F(DocumentFetcherTest, AnnouncedAtReturnsTimeOfFirstAnnouncement)
{
  const MonotonicTime started = this->clock.MonotonicNow();
  this->Announce(kFirst, 7);
  this->clock.Advance(milliseconds(30));
  this->Announce(kSecond, 7);
  this->Announce(kSecond, 9);
  EXPECT_EQ(this->fetcher.AnnouncedAt(Revision(7)), started);
  EXPECT_EQ(this->fetcher.AnnouncedAt(Revision(9)), started + milliseconds(30));
  this->fetcher.OnVersionInstalled(Revision(7));
  EXPECT_EQ(this->fetcher.AnnouncedAt(Revision(8)), started + milliseconds(30));
}

TEST_F(DocumentFetcherTest, AbandonsTransferThatNoSourceCanContinue)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  const auto started = this->fetcher.Next();
  this->fetcher.OnChunk(kFirst, *this->publisher.Answer(started->request));
  this->Announce(kSecond, 5);
  this->fetcher.OnLost(kFirst);
  const auto outgoing = this->fetcher.Next();
  ASSERT_TRUE(outgoing);
  EXPECT_EQ(outgoing->source, kSecond);
  EXPECT_EQ(outgoing->request.offset, 0U);
  EXPECT_EQ(outgoing->request.transfer, TransferId());
}

TEST_F(DocumentFetcherTest, RestartsTransferWhenSourceCannotContinueIt)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  this->Announce(kSecond, 7);
  this->fetcher.OnChunk(kFirst, *this->publisher.Answer(this->fetcher.Next()->request));
  this->fetcher.OnLost(kFirst);
  DocumentPublisher other;
  other.Publish(Revision(7), "packed by another program");
  const auto outgoing = this->fetcher.Next();
  ASSERT_EQ(outgoing->source, kSecond);
  const auto document = this->fetcher.OnChunk(kSecond, *other.Answer(outgoing->request));
  ASSERT_TRUE(document);
  EXPECT_EQ(UnpackText(document->packed, "", kMostBytes).value(), "packed by another program");
}

TEST_F(DocumentFetcherTest, IgnoresUnrequestedChunkOfAnotherTransfer)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  this->fetcher.OnChunk(kFirst, *this->publisher.Answer(this->fetcher.Next()->request));
  DocumentPublisher other;
  other.Publish(Revision(8), "not asked for");
  EXPECT_FALSE(
    this->fetcher.OnChunk(kSecond, *other.Answer(DocumentRequest{ {}, {}, 0, kMostBytes })));
  EXPECT_GT(this->CompleteTransfer(), 0);
  EXPECT_EQ(this->Unpacked(), this->text);
}

TEST_F(DocumentFetcherTest, RejectsChunkThatExceedsItsTransfer)
{
  this->Announce(kFirst, 7);
  this->fetcher.Next();
  const TransferId small{ Revision(7), Revision(), 3, 1 };
  EXPECT_FALSE(this->fetcher.OnChunk(kFirst, DocumentChunk{ small, 0, "more than three" }));
  const TransferId endless{ Revision(7), Revision(), std::uint64_t{ 1 } << 60U, 1 };
  EXPECT_FALSE(this->fetcher.OnChunk(kFirst, DocumentChunk{ endless, 0, "abc" }));
  EXPECT_FALSE(this->fetcher.OnChunk(kFirst, DocumentChunk{ endless, ~std::uint64_t{ 0 }, "abc" }));
  EXPECT_TRUE(this->fetcher.OnChunk(kFirst, DocumentChunk{ small, 0, "abc" }));
}

TEST_F(DocumentFetcherTest, RequestsFullDocumentWhenDeltaCannotBeUnpacked)
{
  this->fetcher.OnVersionInstalled(Revision(6));
  this->publisher.Publish(Revision(6), RandomText(1000, 6));
  this->Publish(7);
  this->Announce(kFirst, 7);
  EXPECT_GT(this->CompleteTransfer(), 0);
  EXPECT_EQ(this->fetched->transfer.base, Revision(6));
  this->fetcher.OnUnpackFailed(this->fetched->transfer);
  EXPECT_GT(this->CompleteTransfer(), 0);
  EXPECT_EQ(this->fetched->transfer.base, Revision());
  EXPECT_EQ(this->Unpacked(), this->text);
}

TEST_F(DocumentFetcherTest, SkipsUnreadableVersionUntilTheNextOne)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  EXPECT_GT(this->CompleteTransfer(), 0);
  this->fetcher.OnUnpackFailed(this->fetched->transfer);
  EXPECT_FALSE(this->fetcher.Next());
  this->Announce(kFirst, 8);
  EXPECT_TRUE(this->fetcher.Next());
}

TEST_F(DocumentFetcherTest, AdaptsChunkSizeToLinkSpeed)
{
  this->Publish(7, 1'000'000);
  this->Announce(kFirst, 7);
  const auto chunkBytesAfter = [&](milliseconds aTook) {
    const auto outgoing = this->fetcher.Next();
    this->clock.Advance(aTook);
    this->fetcher.OnChunk(kFirst, *this->publisher.Answer(outgoing->request));
    return outgoing->request.mostBytes;
  };
  const std::uint64_t started = chunkBytesAfter(milliseconds(2));
  const std::uint64_t grown = chunkBytesAfter(milliseconds(200));
  EXPECT_EQ(grown, 2 * started);
  EXPECT_EQ(chunkBytesAfter(milliseconds(50)), started);
  EXPECT_EQ(chunkBytesAfter(milliseconds(50)), started) << "neither fast nor slow";
}

// Simulates one entry host and several control hosts with the same versions, connection losses,
// suspended control hosts and restarts. The link has a limited rate: an answer takes the
// transmission time of its bytes.
class Deployment
{
public:
  static constexpr int kHosts = 3;

  explicit Deployment(std::uint32_t aSeed)
    : random(aSeed)
  {
  }

  // Runs aSteps steps with faults and new versions, then removes all faults.
  void RunWithFaults(int aSteps)
  {
    for (int step = 0; step < aSteps; ++step) {
      this->InjectFaults();
      this->Step();
    }
    for (int host = 0; host < kHosts; ++host) {
      this->hosts.at(host).suspended = false;
      this->SetConnected(host, true);
    }
  }

  // Returns the time until the newest version is installed; nothing if it is not within the limit.
  std::optional<Duration> TimeUntilNewest()
  {
    const MonotonicTime started = this->clock.MonotonicNow();
    for (int step = 0; step < 3000; ++step) {
      if (this->installed == this->newest && this->text == this->newestText) {
        return this->clock.MonotonicNow() - started;
      }
      this->Step();
    }
    return std::nullopt;
  }

  bool HasGoneBack() const { return this->wentBack; }

private:
  struct Host
  {
    DocumentPublisher publisher;
    bool connected = false;
    bool suspended = false;
  };

  struct InFlightChunk
  {
    MonotonicTime at;
    int from = 0;
    DocumentChunk chunk;
  };

  static HostId Name(int aHost) { return HostId("control-" + std::to_string(aHost)); }

  bool Chance(int aPerMille) { return static_cast<int>(this->random() % 1000) < aPerMille; }

  void SetConnected(int aHost, bool aUp)
  {
    Host& host = this->hosts.at(aHost);
    if (host.connected == aUp) {
      return;
    }
    host.connected = aUp;
    if (aUp) {
      this->fetcher.OnVersionAnnounced(Name(aHost), this->newest);
    } else {
      this->fetcher.OnLost(Name(aHost));
      std::erase_if(this->inFlight,
                    [&](const InFlightChunk& aItem) { return aItem.from == aHost; });
    }
  }

  void InjectFaults()
  {
    if (this->Chance(20)) {
      this->PublishNext();
    }
    for (int index = 0; index < kHosts; ++index) {
      if (this->Chance(10)) {
        this->SetConnected(index, !this->hosts.at(index).connected);
      }
      if (this->Chance(10)) {
        this->hosts.at(index).suspended = !this->hosts.at(index).suspended;
      }
      if (this->Chance(2)) {
        // Restarted: it has only the newest version.
        this->SetConnected(index, false);
        this->hosts.at(index).publisher = DocumentPublisher();
        this->hosts.at(index).publisher.Publish(this->newest, this->newestText);
      }
    }
  }

  void PublishNext()
  {
    this->newest = Revision(this->newest.Value() + 1 + this->random() % 4);
    this->newestText =
      RandomText(this->random() % 60'000, static_cast<std::uint32_t>(this->random())) +
      this->newestText.substr(0, 200'000);
    for (int index = 0; index < kHosts; ++index) {
      Host& host = this->hosts.at(index);
      host.publisher.Publish(this->newest, this->newestText);
      if (host.connected) {
        this->fetcher.OnVersionAnnounced(Name(index), this->newest);
      }
    }
  }

  void Step()
  {
    this->clock.Advance(milliseconds(10));
    while (!this->inFlight.empty() && this->inFlight.front().at <= this->clock.MonotonicNow()) {
      const InFlightChunk item = std::move(this->inFlight.front());
      this->inFlight.erase(this->inFlight.begin());
      this->Deliver(item);
    }
    const auto outgoing = this->fetcher.Next();
    if (!outgoing) {
      return;
    }
    for (int index = 0; index < kHosts; ++index) {
      if (Name(index) == outgoing->source) {
        this->Request(index, outgoing->request);
      }
    }
  }

  void Request(int aHost, const DocumentRequest& aRequest)
  {
    Host& host = this->hosts.at(aHost);
    if (!host.connected || host.suspended) {
      return;
    }
    if (auto chunk = host.publisher.Answer(aRequest)) {
      const auto taken = std::chrono::microseconds(chunk->bytes.size());
      this->linkFreeAt = std::max(this->linkFreeAt, this->clock.MonotonicNow()) + taken;
      this->inFlight.push_back(InFlightChunk{ this->linkFreeAt, aHost, std::move(*chunk) });
    }
  }

  void Deliver(const InFlightChunk& aItem)
  {
    const auto document = this->fetcher.OnChunk(Name(aItem.from), aItem.chunk);
    if (!document) {
      return;
    }
    const std::string base = document->transfer.base == Revision() ? "" : this->text;
    const auto unpacked = UnpackText(document->packed, base, kMostBytes);
    if (!unpacked) {
      this->fetcher.OnUnpackFailed(document->transfer);
      return;
    }
    this->wentBack = this->wentBack || document->transfer.version <= this->installed;
    this->installed = document->transfer.version;
    this->text = unpacked.value();
    this->fetcher.OnVersionInstalled(this->installed);
  }

  ManualClock clock;
  std::mt19937 random;
  std::array<Host, kHosts> hosts;
  DocumentFetcher fetcher{ this->clock };
  std::vector<InFlightChunk> inFlight;
  MonotonicTime linkFreeAt;
  Revision newest;
  std::string newestText;
  Revision installed;
  std::string text;
  bool wentBack = false;
};

RC_GTEST_PROP(DocumentFetcherProperty, ObtainsNewestVersionAfterFaultsAndNeverGoesBack, ())
{
  Deployment deployment(*rc::gen::arbitrary<std::uint32_t>());
  deployment.RunWithFaults(*rc::gen::inRange(1, 600));
  const std::optional<Duration> took = deployment.TimeUntilNewest();
  RC_ASSERT(took.has_value());
  // The longest timeout of a request to an unresponsive source, and the time of the transfer.
  RC_ASSERT(*took <= std::chrono::seconds(5));
  RC_ASSERT(!deployment.HasGoneBack());
}

} // namespace
} // namespace damasklink
