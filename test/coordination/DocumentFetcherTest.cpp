// How an entry host gets a configuration from control hosts of which some fall silent, are cut off,
// start again or are behind. The pattern: thousands of routes come at once, more follow before they
// have arrived, and the link is full of calls.
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

constexpr std::size_t kMost = std::size_t{ 16 } * 1024 * 1024;

// A text that packing cannot shorten.
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
  // Control hosts with the same document of several pieces.
  void Publish(std::uint64_t aVersion, std::size_t aBytes = 100'000)
  {
    this->text = RandomText(aBytes, static_cast<std::uint32_t>(aVersion));
    this->source.Publish(Revision(aVersion), this->text);
  }

  void Announce(const HostId& aHost, std::uint64_t aVersion)
  {
    this->fetch.OnVersionAnnounced(aHost, Revision(aVersion));
  }

  // Asks and answers until the transfer is whole, and returns how many pieces that took.
  int Finish()
  {
    for (int pieces = 1;; ++pieces) {
      const auto ask = this->fetch.Next();
      if (!ask) {
        return 0;
      }
      const auto answer = this->source.Answer(ask->question);
      if (const auto whole = this->fetch.OnChunk(ask->source, *answer)) {
        this->got = whole;
        return pieces;
      }
    }
  }

  std::string Unpacked() const { return UnpackText(this->got->packed, "", kMost).value(); }

  ManualClock clock;
  DocumentPublisher source;
  DocumentFetcher fetch{ this->clock };
  std::string text;
  std::optional<FetchedDocument> got;
};

TEST_F(DocumentFetcherTest, RequestsNothingBeforeAnnouncement)
{
  EXPECT_FALSE(this->fetch.Next());
  this->Announce(kFirst, 0);
  EXPECT_FALSE(this->fetch.Next());
}

TEST_F(DocumentFetcherTest, FetchesAnnouncedVersionInChunksFromFirstAnnouncer)
{
  this->Publish(7);
  this->Announce(kSecond, 7);
  this->Announce(kFirst, 7);
  EXPECT_EQ(this->fetch.Next()->source, kSecond);
  EXPECT_FALSE(this->fetch.Next()) << "one piece at a time";
  this->fetch.OnLost(kSecond);
  EXPECT_GT(this->Finish(), 1);
  EXPECT_EQ(this->Unpacked(), this->text);
  this->fetch.OnVersionInstalled(Revision(7));
  EXPECT_FALSE(this->fetch.Next());
}

TEST_F(DocumentFetcherTest, DoesNotRequestLowerOrEqualVersions)
{
  this->fetch.OnVersionInstalled(Revision(7));
  this->Announce(kFirst, 7);
  this->Announce(kSecond, 5);
  EXPECT_FALSE(this->fetch.Next());
}

TEST_F(DocumentFetcherTest, ResumesTransferAtAnotherSourceAfterTimeout)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  this->Announce(kSecond, 7);
  const auto begun = this->fetch.Next();
  EXPECT_EQ(begun->source, kFirst);
  EXPECT_FALSE(this->fetch.OnChunk(kFirst, *this->source.Answer(begun->question)));
  EXPECT_EQ(this->fetch.Next()->source, kFirst);
  this->clock.Advance(milliseconds(499));
  EXPECT_FALSE(this->fetch.Next());
  this->clock.Advance(milliseconds(1));
  const auto again = this->fetch.Next();
  ASSERT_TRUE(again);
  EXPECT_EQ(again->source, kSecond);
  EXPECT_EQ(again->question.offset, begun->question.mostBytes) << "what has come is not sent again";
}

TEST_F(DocumentFetcherTest, PrefersSourceThatAnsweredOverSilentOne)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  this->Announce(kSecond, 7);
  EXPECT_EQ(this->fetch.Next()->source, kFirst);
  this->clock.Advance(milliseconds(500));
  const auto ask = this->fetch.Next();
  ASSERT_EQ(ask->source, kSecond);
  this->fetch.OnChunk(kSecond, *this->source.Answer(ask->question));
  EXPECT_EQ(this->fetch.Next()->source, kSecond);
}

TEST_F(DocumentFetcherTest, ReachesThirdSourceWithinASecondWhenTwoAreSilent)
{
  const HostId third("control-3");
  this->Publish(7);
  for (const HostId& host : { kFirst, kSecond, third }) {
    this->Announce(host, 7);
  }
  std::set<HostId> asked;
  const MonotonicTime begun = this->clock.MonotonicNow();
  while (asked.size() < 3) {
    if (const auto ask = this->fetch.Next()) {
      asked.insert(ask->source);
    }
    this->clock.Advance(milliseconds(10));
  }
  EXPECT_LE(this->clock.MonotonicNow() - begun, milliseconds(1010));
}

TEST_F(DocumentFetcherTest, AcceptsLateChunkFromSourceThatTimedOut)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  this->Announce(kSecond, 7);
  const auto first = this->fetch.Next();
  this->clock.Advance(milliseconds(500));
  const auto second = this->fetch.Next();
  ASSERT_EQ(second->source, kSecond);
  this->fetch.OnChunk(kFirst, *this->source.Answer(first->question));
  EXPECT_GT(this->fetch.Next()->question.offset, 0U);
  this->fetch.OnChunk(kSecond, *this->source.Answer(second->question));
  EXPECT_FALSE(this->fetch.Next()) << "the same piece once more is no answer";
}

TEST_F(DocumentFetcherTest, RetriesOnlySourceWithBackoff)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  int asks = 0;
  for (int step = 0; step < 600; ++step) {
    asks += this->fetch.Next() ? 1 : 0;
    this->clock.Advance(milliseconds(100));
  }
  EXPECT_GE(asks, 15);
  EXPECT_LE(asks, 20) << "a full link must not get every piece many times";
  this->clock.Advance(std::chrono::seconds(4));
  EXPECT_GT(this->Finish(), 0);
}

TEST_F(DocumentFetcherTest, CompletesStartedTransferBeforeNewerVersion)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  const auto begun = this->fetch.Next();
  this->fetch.OnChunk(kFirst, *this->source.Answer(begun->question));
  const std::string seventh = this->text;
  this->Publish(9);
  this->Announce(kFirst, 9);
  EXPECT_GT(this->Finish(), 0);
  EXPECT_EQ(this->got->transfer.version, Revision(7));
  EXPECT_EQ(this->Unpacked(), seventh);
  this->fetch.OnVersionInstalled(Revision(7));
  EXPECT_EQ(this->fetch.Next()->question.held, Revision(7));
}

TEST_F(DocumentFetcherTest, AnnouncedAtReturnsTimeOfFirstAnnouncement)
{
  const MonotonicTime begun = this->clock.MonotonicNow();
  this->Announce(kFirst, 7);
  this->clock.Advance(milliseconds(30));
  this->Announce(kSecond, 7);
  this->Announce(kSecond, 9);
  EXPECT_EQ(this->fetch.AnnouncedAt(Revision(7)), begun);
  EXPECT_EQ(this->fetch.AnnouncedAt(Revision(9)), begun + milliseconds(30));
  this->fetch.OnVersionInstalled(Revision(7));
  EXPECT_EQ(this->fetch.AnnouncedAt(Revision(8)), begun + milliseconds(30));
}

TEST_F(DocumentFetcherTest, AbandonsTransferThatNoSourceCanContinue)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  const auto begun = this->fetch.Next();
  this->fetch.OnChunk(kFirst, *this->source.Answer(begun->question));
  this->Announce(kSecond, 5);
  this->fetch.OnLost(kFirst);
  const auto ask = this->fetch.Next();
  ASSERT_TRUE(ask);
  EXPECT_EQ(ask->source, kSecond);
  EXPECT_EQ(ask->question.offset, 0U);
  EXPECT_EQ(ask->question.transfer, TransferId());
}

TEST_F(DocumentFetcherTest, RestartsTransferWhenSourceCannotContinueIt)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  this->Announce(kSecond, 7);
  this->fetch.OnChunk(kFirst, *this->source.Answer(this->fetch.Next()->question));
  this->fetch.OnLost(kFirst);
  DocumentPublisher other;
  other.Publish(Revision(7), "packed by another program");
  const auto ask = this->fetch.Next();
  ASSERT_EQ(ask->source, kSecond);
  const auto whole = this->fetch.OnChunk(kSecond, *other.Answer(ask->question));
  ASSERT_TRUE(whole);
  EXPECT_EQ(UnpackText(whole->packed, "", kMost).value(), "packed by another program");
}

TEST_F(DocumentFetcherTest, IgnoresUnrequestedChunkOfAnotherTransfer)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  this->fetch.OnChunk(kFirst, *this->source.Answer(this->fetch.Next()->question));
  DocumentPublisher other;
  other.Publish(Revision(8), "not asked for");
  EXPECT_FALSE(this->fetch.OnChunk(kSecond, *other.Answer(DocumentRequest{ {}, {}, 0, kMost })));
  EXPECT_GT(this->Finish(), 0);
  EXPECT_EQ(this->Unpacked(), this->text);
}

TEST_F(DocumentFetcherTest, RejectsChunkThatExceedsItsTransfer)
{
  this->Announce(kFirst, 7);
  this->fetch.Next();
  const TransferId small{ Revision(7), Revision(), 3, 1 };
  EXPECT_FALSE(this->fetch.OnChunk(kFirst, DocumentChunk{ small, 0, "more than three" }));
  const TransferId endless{ Revision(7), Revision(), std::uint64_t{ 1 } << 60U, 1 };
  EXPECT_FALSE(this->fetch.OnChunk(kFirst, DocumentChunk{ endless, 0, "abc" }));
  EXPECT_FALSE(this->fetch.OnChunk(kFirst, DocumentChunk{ endless, ~std::uint64_t{ 0 }, "abc" }));
  EXPECT_TRUE(this->fetch.OnChunk(kFirst, DocumentChunk{ small, 0, "abc" }));
}

TEST_F(DocumentFetcherTest, RequestsFullDocumentWhenDeltaCannotBeUnpacked)
{
  this->fetch.OnVersionInstalled(Revision(6));
  this->source.Publish(Revision(6), RandomText(1000, 6));
  this->Publish(7);
  this->Announce(kFirst, 7);
  EXPECT_GT(this->Finish(), 0);
  EXPECT_EQ(this->got->transfer.base, Revision(6));
  this->fetch.OnUnpackFailed(this->got->transfer);
  EXPECT_GT(this->Finish(), 0);
  EXPECT_EQ(this->got->transfer.base, Revision());
  EXPECT_EQ(this->Unpacked(), this->text);
}

TEST_F(DocumentFetcherTest, SkipsUnreadableVersionUntilTheNextOne)
{
  this->Publish(7);
  this->Announce(kFirst, 7);
  EXPECT_GT(this->Finish(), 0);
  this->fetch.OnUnpackFailed(this->got->transfer);
  EXPECT_FALSE(this->fetch.Next());
  this->Announce(kFirst, 8);
  EXPECT_TRUE(this->fetch.Next());
}

TEST_F(DocumentFetcherTest, AdaptsChunkSizeToLinkSpeed)
{
  this->Publish(7, 1'000'000);
  this->Announce(kFirst, 7);
  const auto pieceAfter = [&](milliseconds aTook) {
    const auto ask = this->fetch.Next();
    this->clock.Advance(aTook);
    this->fetch.OnChunk(kFirst, *this->source.Answer(ask->question));
    return ask->question.mostBytes;
  };
  const std::uint64_t begun = pieceAfter(milliseconds(2));
  const std::uint64_t grown = pieceAfter(milliseconds(200));
  EXPECT_EQ(grown, 2 * begun);
  EXPECT_EQ(pieceAfter(milliseconds(50)), begun);
  EXPECT_EQ(pieceAfter(milliseconds(50)), begun) << "neither soon nor late";
}

// One entry host, several control hosts with the same versions, and whatever may go wrong between
// them. A link carries what it carries: an answer takes the time of its bytes and of a round trip.
class Deployment
{
public:
  static constexpr int kHosts = 3;

  explicit Deployment(std::uint32_t aSeed)
    : random(aSeed)
  {
  }

  // Lets time pass with faults, versions and answers, then heals everything.
  void Play(int aSteps)
  {
    for (int step = 0; step < aSteps; ++step) {
      this->Disturb();
      this->Step();
    }
    for (int host = 0; host < kHosts; ++host) {
      this->hosts.at(host).suspended = false;
      this->SetConnected(host, true);
    }
  }

  // Returns how long it takes until the newest version is held; nothing when it never is.
  std::optional<Duration> TimeUntilNewest()
  {
    const MonotonicTime begun = this->clock.MonotonicNow();
    for (int step = 0; step < 3000; ++step) {
      if (this->held == this->newest && this->text == this->newestText) {
        return this->clock.MonotonicNow() - begun;
      }
      this->Step();
    }
    return std::nullopt;
  }

  bool WentBack() const { return this->wentBack; }

private:
  struct Host
  {
    DocumentPublisher source;
    bool connected = false;
    bool suspended = false;
  };

  struct OnItsWay
  {
    MonotonicTime at;
    int from = 0;
    DocumentChunk piece;
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
      this->fetch.OnVersionAnnounced(Name(aHost), this->newest);
    } else {
      this->fetch.OnLost(Name(aHost));
      std::erase_if(this->way, [&](const OnItsWay& aItem) { return aItem.from == aHost; });
    }
  }

  void Disturb()
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
        // Started again: it knows the newest version alone.
        this->SetConnected(index, false);
        this->hosts.at(index).source = DocumentPublisher();
        this->hosts.at(index).source.Publish(this->newest, this->newestText);
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
      host.source.Publish(this->newest, this->newestText);
      if (host.connected) {
        this->fetch.OnVersionAnnounced(Name(index), this->newest);
      }
    }
  }

  void Step()
  {
    this->clock.Advance(milliseconds(10));
    while (!this->way.empty() && this->way.front().at <= this->clock.MonotonicNow()) {
      const OnItsWay item = std::move(this->way.front());
      this->way.erase(this->way.begin());
      this->Arrive(item);
    }
    const auto ask = this->fetch.Next();
    if (!ask) {
      return;
    }
    for (int index = 0; index < kHosts; ++index) {
      if (Name(index) == ask->source) {
        this->Ask(index, ask->question);
      }
    }
  }

  void Ask(int aHost, const DocumentRequest& aQuestion)
  {
    Host& host = this->hosts.at(aHost);
    if (!host.connected || host.suspended) {
      return;
    }
    if (auto piece = host.source.Answer(aQuestion)) {
      const auto taken = std::chrono::microseconds(piece->bytes.size());
      this->freeAt = std::max(this->freeAt, this->clock.MonotonicNow()) + taken;
      this->way.push_back(OnItsWay{ this->freeAt, aHost, std::move(*piece) });
    }
  }

  void Arrive(const OnItsWay& aItem)
  {
    const auto whole = this->fetch.OnChunk(Name(aItem.from), aItem.piece);
    if (!whole) {
      return;
    }
    const std::string base = whole->transfer.base == Revision() ? "" : this->text;
    const auto unpacked = UnpackText(whole->packed, base, kMost);
    if (!unpacked) {
      this->fetch.OnUnpackFailed(whole->transfer);
      return;
    }
    this->wentBack = this->wentBack || whole->transfer.version <= this->held;
    this->held = whole->transfer.version;
    this->text = unpacked.value();
    this->fetch.OnVersionInstalled(this->held);
  }

  ManualClock clock;
  std::mt19937 random;
  std::array<Host, kHosts> hosts;
  DocumentFetcher fetch{ this->clock };
  std::vector<OnItsWay> way;
  MonotonicTime freeAt;
  Revision newest;
  std::string newestText;
  Revision held;
  std::string text;
  bool wentBack = false;
};

RC_GTEST_PROP(DocumentFetcherProperty, ObtainsNewestVersionAfterFaultsAndNeverGoesBack, ())
{
  Deployment deployment(*rc::gen::arbitrary<std::uint32_t>());
  deployment.Play(*rc::gen::inRange(1, 600));
  const std::optional<Duration> took = deployment.TimeUntilNewest();
  RC_ASSERT(took.has_value());
  // The longest patience with a source that was silent, and the transfer.
  RC_ASSERT(*took <= std::chrono::seconds(5));
  RC_ASSERT(!deployment.WentBack());
}

} // namespace
} // namespace damasklink
