// One call on its way: from the caller's channel to targets and back, on the event loop.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "EntryPicture.h"
#include "FirstConfiguration.h"
#include "TargetCheck.h"
#include "damasklink/coordination/BrokenRuns.h"
#include "damasklink/coordination/ComeBack.h"
#include "damasklink/coordination/CrashWatch.h"
#include "damasklink/coordination/EventFramer.h"
#include "damasklink/coordination/ExchangePlan.h"
#include "damasklink/coordination/HomeRegions.h"
#include "damasklink/coordination/RequestFingerprint.h"
#include "damasklink/coordination/ReturnQueue.h"
#include "damasklink/coordination/ServiceRetryBudgets.h"
#include "damasklink/coordination/StorePace.h"
#include "damasklink/coordination/TargetPicker.h"
#include "damasklink/coordination/TargetRateLimiter.h"
#include "damasklink/protocol/ServingDialect.h"
#include "damasklink/state/Metrics.h"
#include "damasklink/transport/CallerChannel.h"
#include "damasklink/transport/TargetChannel.h"

namespace damasklink {

// What the exchanges of one entry host share.
struct EntryContext
{
  asio::io_context& loop;
  const Clock& clock;
  const ServingSettings& settings;
  const CallDialect& dialect;
  Metrics& metrics;
  EntryPicture& picture;
  FirstConfiguration& firstConfiguration;
  ServiceRetryBudgets& retries;
  TargetHealth& health;
  ZoneReach& reach;
  TargetPicker& picker;
  TargetChannelPool& pool;
  StorePace& pace;
  ComeBack& comeBack;
  ReturnQueue& returns;
  TargetCheck& checks;
  CrashWatch& crashes;
  BrokenRuns& broken;
  TargetRateLimiter& limits;
  MonotonicTime started;
  // Tells the other hosts at once what this one has sent.
  std::function<void()> tellSends;
  // Set when the process has been told to stop: answers then end their channels.
  bool leaving = false;
};

// Relays one request. What is decided after each attempt stands in ExchangePlan; this class
// moves the bytes.
class Exchange
{
public:
  Exchange(EntryContext& aContext, CallerChannel& aCaller, HttpRequestMessage aRequest);
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  // Answers the request. Returns whether the caller's channel may be used for another one.
  Awaitable<bool> Run();

private:
  // Why running operations were cut short.
  enum class Interrupt
  {
    None,
    Expired,
    CallerLeft,
  };

  // A target's answer that is not passed on as it comes: failures, and bodies known whole.
  struct WholeAnswer
  {
    HttpAnswerHead head;
    std::string body;
  };

  Awaitable<void> AwaitConfiguration();
  std::optional<CallerError> Resolve();
  // Returns the refusal of a call that may be sent nowhere.
  std::optional<CallerError> FindHomes();
  Awaitable<bool> Relay();
  Awaitable<AttemptResult> Attempt(const TargetRecord& aTarget);
  Awaitable<AttemptResult> Converse(const TargetRecord& aTarget);
  Awaitable<Result<HttpAnswerHead>> ReadOwnHead(const TargetRecord& aTarget);
  Awaitable<AttemptResult> TakeAnswer(const TargetRecord& aTarget, HttpAnswerHead aHead);
  Awaitable<AttemptResult> PassWhole(HttpAnswerHead aHead);
  Awaitable<AttemptResult> PassStream(const TargetRecord& aTarget, HttpAnswerHead aHead);
  Awaitable<bool> PassEvents(const HttpAnswerHead& aHead, std::string_view aEvents);
  Awaitable<bool> Finish(ExchangeStep aStep);
  Awaitable<bool> AnswerFailure(const CallerError& aError);
  Awaitable<std::unique_ptr<TargetChannel>> Connect(const TargetRecord& aTarget);
  // Keeps what an attempt showed of its target's zone, and logs when the zone is given up.
  void NoteReach(const TargetRecord& aTarget, HealthSignal aSign);
  const TargetRecord* ChooseTarget();
  // The targets of the call's service that may get it.
  const std::vector<TargetRecord>& Targets();
  TargetCall CallFor(const TargetRecord& aTarget);
  void AddPartMoves(const TargetRecord& aTarget, TargetCall& aTo);
  void LogSend(const TargetRecord& aTarget, const TargetCall& aCall) const;
  void NoteFirstEvent(const TargetRecord& aTarget);
  void NoteRun();
  CrashReport ReportOn(const TargetRecord& aTarget);
  void NoteBroken(const TargetRecord& aTarget);
  void NoteUnanswered(const TargetRecord& aTarget);
  // Whether the target surely worked on this attempt when it broke off.
  bool WasUnderWay() const;
  // Keeps what an answer says of its target's limit.
  void NoteLimit(const TargetRecord& aTarget, const TargetAnswerFacts& aFacts);
  // Notes which targets of the service may not be sent more by this host just now.
  void FindLimited();
  // When a call that no target took should come again.
  Duration ComeBackAfter();
  void NoteSound();
  // Made when it is first asked for: while nothing crashes nobody asks.
  RequestFingerprint Fingerprint();
  // Whether targets end under this request, so that it must not be sent.
  bool CrashesTargets();
  void AskWithWeights(std::uint64_t aWeights);
  std::uint64_t NewestWeights();
  void OnInterrupt(Interrupt aReason);
  AttemptResult EndOfFailure() const;
  bool ClosesAfter() const;
  Duration TimeLeft() const;
  int Priority() const;
  bool IsFit(const TargetRecord& aTarget);
  bool IsExpectedInTime(const TargetRecord& aTarget) const;
  void LogOverload(const TargetRecord& aBest) const;
  HealthSignal SignOf(AttemptResult aEnd) const;
  void Count(int aStatus, Duration aTook) const;
  void LogEnd(std::string_view aOutcome, int aStatus) const;

  EntryContext& context;
  CallerChannel& caller;
  HttpRequestMessage request;
  MonotonicTime arrived;

  // Set by Resolve(). The table is kept alive: a newer one may replace it meanwhile.
  std::shared_ptr<const RouteTable> routes;
  const ServingRoute* route = nullptr;
  const WorkspaceEntry* workspace = nullptr;
  CallerCall call;
  ServiceName service;
  HomeRegions homes;
  // Those of the home regions, where they bind.
  std::vector<TargetRecord> atHome;
  SelectionRequest question;
  CacheScope scope;
  std::uint64_t weights = 0;

  std::optional<RequestFingerprint> fingerprint;
  std::optional<ExchangePlan> plan;
  std::optional<Watchdog> ending;
  std::unique_ptr<TargetChannel> channel;
  CallLoad work;
  // Slow stores that this call does not fetch from.
  std::set<std::string> avoided;
  // The store that most of this attempt's parts come from, empty for none, and when it was sent.
  std::string fetchedFrom;
  MonotonicTime sentAt;
  MonotonicTime firstEventAt;
  // The target of this attempt has begun its answer.
  bool answerBegun = false;
  Interrupt interrupt = Interrupt::None;
  EventFramer framer;
  std::optional<WholeAnswer> failure;
  AttemptResult lastEnd = AttemptResult::Unreachable;
  // The target of this attempt did not acknowledge what was sent.
  bool unacknowledged = false;
  // It refused the connection of this attempt, so its zone is reached.
  bool refused = false;
  // No target can be expected to answer in time.
  bool overloaded = false;
  // The last attempt brought a whole answer of success.
  bool ranWell = false;
};

} // namespace damasklink
