// Chooses the target of a call in a serving deployment.
//
//   TargetSelector picker(health, reach, rests, seed);
//   const TargetRecord* target = picker.Choose(request, board.Usable(service));
//   picker.OnSent(target->id, request, load);
//   picker.OnFirstEvent(target->id, load);
//   picker.OnEnd(target->id, load);
//
// The cost of a target is the expected time to the first event, in milliseconds. It counts the
// prompt tokens that all entry hosts have sent there and that wait for prefill, the tokens of this
// call that are not cached there, the running requests, and the wait for a free slot. The load of
// the other hosts is known some hundred milliseconds late. Not thread-safe.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/EngineCacheModel.h"
#include "damasklink/coordination/EngineLatencyModel.h"
#include "damasklink/coordination/InFlightLoadSum.h"
#include "damasklink/coordination/ServingMessages.h"
#include "damasklink/coordination/Target.h"
#include "damasklink/coordination/TargetHealth.h"
#include "damasklink/coordination/TargetRestPeriods.h"
#include "damasklink/coordination/ZoneReachability.h"

namespace damasklink {

// A store that holds a part of a prompt.
struct PartSource
{
  ZoneId zone;
  // Milliseconds to transfer the part within the store's zone, without queueing.
  double fetch = 0;
};

// The call for which a target is chosen.
struct SelectionRequest
{
  // Availability zone of this host.
  ZoneId zone;
  // Tokens that fit into one target's memory; zero when this is not known.
  TokenCount cacheTokens;
  // Prompt tokens in total; zero for calls without a prompt.
  TokenCount promptTokens;
  // The parts that this prompt shares with other calls, from its start.
  std::vector<SizedPart> parts;
  // For each of `parts` the store that has it; empty where no store has it.
  std::vector<std::optional<PartSource>> stored;
  // The model, and the newest version of its weights; zero when this is not known.
  ModelName model;
  std::uint64_t weights = 0;
  // Targets with older weights are excluded while there is a target with these or newer ones.
  std::uint64_t minWeights = 0;
  // They are excluded even if there is none.
  bool neverBelowMinWeights = false;
  // Targets that have been tried already.
  std::set<TargetId> excluded;
  // Targets with a rate limit of which this host has used up its share for now.
  std::set<TargetId> rateLimited;
  // Compares all targets instead of a sample.
  bool compareAll = false;
};

// Returns the version of the model's weights that the target has, or 0 when it does not serve the
// model.
std::uint64_t
WeightsOf(const TargetRecord& aTarget, const ModelName& aModel);

// The load that one call puts on its target.
struct CallLoad
{
  // Prompt tokens that the target must prefill.
  TokenCount uncachedTokens;
  // Tokens of prompt and answer, which occupy memory until the end of the call.
  TokenCount memory;
  // The first event has arrived, so the prefill is done.
  bool firstEventSeen = false;
  // Other prompts waited for prefill at the target when the call was sent.
  bool queuedBehindOthers = false;
  // The incarnation of the target that the call was sent to.
  Incarnation incarnation;
};

// Coefficients of the cost, in milliseconds unless stated otherwise. EngineLatencyModel supplies
// the figures that are learnt.
struct SelectionCosts
{
  // Extra cost of prefill, as a multiple of its duration: an engine prefills one prompt after the
  // other, so calls that arrive meanwhile wait too. With a lower figure, a part is computed a
  // second time on another engine while the first one is still computing it.
  double prefillBlocking = 1;
  // Each request that the target is running: its steps take longer, and memory is shared.
  double perRunningRequest = 2.5;
  // Number of requests at which each of them costs twice as much: queues grow faster than load.
  double requestsToDouble = 10;
  // Factor by which prefill takes longer while the engine generates tokens of other requests in
  // between.
  double prefillInterleaving = 1.4;
  // Cost when the memory is exceeded by its whole size: about as long as a request holds its own
  // memory.
  double memoryOverflow = 1000;
  // Share of a target's memory that running requests may fill at no cost; the rest is left for
  // cached parts.
  double freeMemoryShare = 0.5;
  // Cost when the memory would be full: requests then wait for others to end, or evict them.
  double memoryPressure = 400;
  // Factor of the transfer time between zones, compared with that within a zone.
  double crossZoneFetch = 2;
  // A target whose weights are older than the newest: answers that begin there are worth less to
  // the caller. About the time to prefill a long prompt on a target with empty caches, as after
  // loading weights, so that the load decides between the two.
  double outdatedWeights = 70;
  // For calls without a prompt, a target counts as overloaded when it runs more than
  // imbalanceFactor times as many requests as another one plus imbalanceMargin. With six slots in
  // use, random fluctuation stays below that.
  double imbalanceFactor = 1.5;
  double imbalanceMargin = 3;
  // A target in another zone: network delay, and traffic between zones that is paid for.
  double crossZone = 4;
};

class TargetSelector
{
public:
  // From this number of uncached tokens on, a send is reported to the other hosts at once;
  // otherwise short calls that they send behind it before they know of it would be late.
  static constexpr std::uint64_t kLongPrefill = 1000;

  TargetSelector(const TargetHealth& aHealth,
                 const ZoneReachability& aReach,
                 const TargetRestPeriods& aRests,
                 std::uint64_t aSeed,
                 SelectionCosts aCosts = SelectionCosts());

  // Returns the target of least cost, or nullptr when there is none. It compares the targets that
  // have the shared parts of the prompt, a random sample, and a sample of this host's zone. While
  // its zone has enough targets, and lightly loaded ones among them, the random sample is left out.
  //
  // Ejected targets are considered only when more than half of the list is ejected, since the cause
  // is then likely elsewhere. Targets of unreachable zones are considered only when there are no
  // others. Resting targets are never considered.
  const TargetRecord* Choose(const SelectionRequest& aRequest,
                             const std::vector<TargetRecord>& aTargets);

  // Returns the target of least cost of those that fit, or nullptr when none does. Those of this
  // host's zone come first: a call that stays in its zone does not end when the link between zones
  // is lost. aFits should leave few targets, or different ones to each host: all hosts would choose
  // the same one.
  const TargetRecord* ChooseFitting(const SelectionRequest& aRequest,
                                    const std::vector<TargetRecord>& aTargets,
                                    const std::function<bool(const TargetRecord&)>& aFits) const;

  // Returns whether the target is believed to have all shared parts of the prompt cached.
  bool HoldsAllParts(const SelectionRequest& aRequest, const TargetId& aTarget) const;

  // Returns whether fewer than half of the targets that take calls have plenty of room, so that the
  // calls of all hosts would gather at those. aCacheTokens is the memory of each of them.
  bool IsCrowded(const std::vector<TargetRecord>& aTargets, TokenCount aCacheTokens) const;

  // Returns how long the call is expected to wait at the target before its own prefill starts: for
  // the prefill of earlier prompts, for a slot, and for memory.
  // aUnseen is load that the target has in addition to what is known.
  Duration ExpectedWait(const SelectionRequest& aRequest,
                        const TargetRecord& aTarget,
                        const LoadCounts& aUnseen = LoadCounts()) const;

  // Returns the expected time to the call's first event at the target, including ExpectedWait().
  Duration ExpectedFirstEvent(const SelectionRequest& aRequest, const TargetRecord& aTarget) const;

  // Returns the share of the target's memory that requests would occupy with this call; above 1
  // some of them would have to wait for others to end. 0 when the memory is not known.
  double MemoryShare(const SelectionRequest& aRequest,
                     const TargetId& aTarget,
                     const LoadCounts& aUnseen = LoadCounts()) const;

  // Returns the prompt tokens that the target would have to prefill itself.
  TokenCount UncachedTokens(const SelectionRequest& aRequest, const TargetId& aTarget) const;

  // Records that a call was sent, got its first event, or ended.
  void OnSent(const TargetId& aTarget, const SelectionRequest& aRequest, const CallLoad& aLoad);
  void OnFirstEvent(const TargetId& aTarget, CallLoad& aLoad);
  void OnEnd(const TargetId& aTarget, const CallLoad& aLoad);

  // Clears the cached parts and the load of a target that has restarted. Calls to its earlier
  // incarnation no longer count.
  void OnRestart(const TargetRecord& aTarget);

  // Returns whether a long prompt was sent since the last TakeSends(), so that the others should be
  // told at once.
  bool HasUrgentSends() const { return this->hasUrgent; }

  // Returns this host's load at the targets where it has changed since the last call, with the
  // parts sent there. It is sent to the control host that adds up the loads of entry hosts.
  std::vector<InFlightLoad> TakeSends();

  // Makes the next TakeSends() return the load at all targets, for a new control host.
  void ResendAll();

  // Takes the sums that a control host computed over entry hosts, this one included. They apply
  // until the control host sends others or is forgotten.
  void ApplySum(const LoadReport& aNews, MonotonicTime aNow);

  // Removes the sums of control hosts that have sent nothing since a time.
  void RemoveSumsBefore(MonotonicTime aTime) { this->sums.RemoveSilentSince(aTime); }

  // Returns the estimated load of all entry hosts at the target, this one included.
  LoadCounts LoadOf(const TargetId& aTarget) const;

  // Returns a target of the list, other than aFor, that is believed to have the part cached,
  // preferably in the zone of aFor; nullptr when there is none. Ejected targets and unreachable
  // zones are left out.
  const TargetRecord* FindHolder(const SizedPart& aPart,
                                 const std::vector<TargetRecord>& aTargets,
                                 const TargetRecord& aFor) const;

  // Returns the latency model of the engines of a model.
  const EngineLatencyModel& LatencyModelOf(const ModelName& aModel) const;

  // Records the time from sending a call to its first event in the latency model. aFetched tells
  // that parts came from a store. Returns whether the call was used: calls behind which other
  // prompts were prefilled, as far as this host knows, say nothing about the engine.
  bool RecordFirstEvent(const TargetId& aTarget,
                        const SelectionRequest& aRequest,
                        const CallLoad& aLoad,
                        bool aFetched,
                        Duration aTook);

  // Records the time from sending a call to its end at an engine of the model.
  void RecordRun(const ModelName& aModel, Duration aTook) { this->paces[aModel].RecordRun(aTook); }

  EngineCacheModel& Held() { return this->held; }

private:
  // Returns the targets that may be sent the call now.
  std::vector<const TargetRecord*> Eligible(const SelectionRequest& aRequest,
                                            const std::vector<TargetRecord>& aTargets) const;
  std::vector<const TargetRecord*> Candidates(const SelectionRequest& aRequest,
                                              const std::vector<const TargetRecord*>& aEligible);
  std::vector<const TargetRecord*> LocalCandidates(
    const SelectionRequest& aRequest,
    const std::vector<const TargetRecord*>& aEligible);
  const TargetRecord* ChooseWithoutPrompt(const SelectionRequest& aRequest,
                                          const std::vector<const TargetRecord*>& aEligible);
  const TargetRecord* ChooseOfTwo(const std::vector<const TargetRecord*>& aEligible);
  bool IsLightlyLoaded(const TargetRecord& aTarget) const;
  bool IsOfEarlierIncarnation(const TargetId& aTarget, const CallLoad& aLoad) const;
  double CostOf(const SelectionRequest& aRequest, const TargetRecord& aTarget) const;
  double QueueDelay(const SelectionRequest& aRequest,
                    const TargetRecord& aTarget,
                    const LoadCounts& aUnseen = LoadCounts()) const;

  const TargetHealth& health;
  const ZoneReachability& reach;
  const TargetRestPeriods& rests;
  SelectionCosts costs;
  std::minstd_rand random;
  EngineCacheModel held;
  absl::flat_hash_map<ModelName, EngineLatencyModel> paces;
  // The load of this host.
  absl::flat_hash_map<TargetId, LoadCounts> ownLoads;
  // The newest incarnations of the targets that have restarted.
  absl::flat_hash_map<TargetId, Incarnation> incarnations;
  // Targets whose load has changed since TakeSends(), with the parts sent there.
  std::map<TargetId, std::vector<SizedPart>> unreportedParts;
  bool hasUrgent = false;
  // The load that this host has reported; the sums of control hosts include it.
  absl::flat_hash_map<TargetId, LoadCounts> ownReported;
  // The sums of all control hosts.
  InFlightLoadSum sums;
};

} // namespace damasklink
