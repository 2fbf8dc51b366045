// Chooses the target of a call in a serving deployment.
//
//   TargetSelector picker(health, reach, seed);
//   const TargetRecord* target = picker.Choose(question, board.Usable(service));
//   picker.OnSent(target->id, work);
//   picker.OnFirstEvent(target->id, work);
//   picker.OnEnd(target->id, work);
//
// The cost of a target is the time to its first event, as far as this host can tell: the prompt
// tokens that this host and the others sent there and that are not read yet, those of this call
// that it must read itself, the requests that it runs, and the wait for one of its slots. What
// other hosts sent is known some hundred milliseconds late. Not thread-safe.
#pragma once

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

#include <absl/container/flat_hash_map.h>

#include "damasklink/coordination/EngineLatencyModel.h"
#include "damasklink/coordination/HeldParts.h"
#include "damasklink/coordination/SendsSum.h"
#include "damasklink/coordination/ServingPicture.h"
#include "damasklink/coordination/Target.h"
#include "damasklink/coordination/TargetHealth.h"
#include "damasklink/coordination/ZoneReach.h"

namespace damasklink {

// A store that holds a part.
struct PartSource
{
  ZoneId zone;
  // Milliseconds to fetch the part within the store's zone, without waiting.
  double fetch = 0;
};

// What a choice is made for.
struct SelectionRequest
{
  // Availability zone of this host.
  ZoneId zone;
  // Tokens that one target's memory holds; zero where that is not known.
  TokenCount cacheTokens;
  // All prompt tokens of the call; zero for calls without a prompt.
  TokenCount promptTokens;
  // The parts that calls share, from the start of the prompt.
  std::vector<SizedPart> parts;
  // From where the parts can be fetched, by position; nothing for those that no store holds.
  std::vector<std::optional<PartSource>> stored;
  // The model, and the newest version of its weights; zero where that is not known.
  ModelName model;
  std::uint64_t weights = 0;
  // Targets with weights older than this are no choice any more while there is another one.
  std::uint64_t minWeights = 0;
  // Targets that were tried already.
  std::set<TargetId> excluded;
  // Targets that name a limit and may not be sent more by this host just now.
  std::set<TargetId> limited;
  // Compares all targets, and not only some of them.
  bool compareAll = false;
};

// Returns the version of a model's weights that the target has, 0 when it does not serve the model.
std::uint64_t
WeightsOf(const TargetRecord& aTarget, const ModelName& aModel);

// What one call adds to the load of its target.
struct CallLoad
{
  // Prompt tokens that the target must read.
  TokenCount uncachedTokens;
  // Prompt and answer, which take up memory until the end.
  TokenCount memory;
  bool answering = false;
  // Other prompts waited at the target to be read when it was sent.
  bool queuedBehindOthers = false;
  // The start of the target that it was sent to.
  Incarnation start;
};

// The figures of the cost, in milliseconds, beside what EngineLatencyModel learns.
struct SelectionCosts
{
  // What reading costs beyond its own time, in multiples of it: an engine reads one prompt after
  // the other, so the calls that come meanwhile wait too. With less, a part is read a second time
  // beside the engine that is reading it.
  double prefillBlocking = 1;
  // Each request that the target runs already: a step takes longer, and memory is shared.
  double perRunningRequest = 2.5;
  // Requests at which each weighs twice as much: queues grow faster than the load.
  double requestsToDouble = 10;
  // How many times as long reading takes while other requests get their tokens in between.
  double prefillInterleaving = 1.4;
  // Memory as large as the target's that is not there: about how long a request holds its own.
  double memoryOverflow = 1000;
  // Memory of running requests may fill this share of a target before it costs anything; what is
  // free above it keeps cached parts.
  double freeMemoryShare = 0.5;
  // A target whose memory would be full: requests wait there for others to end, or push them out.
  double memoryPressure = 400;
  // A transfer between zones takes so many times as long as one within a zone.
  double crossZoneFetch = 2;
  // A target whose weights are older than the newest: what begins there is worth less to the
  // caller. About what reading a long prompt anew costs a target whose caches are empty after its
  // load, so that the load decides between the two.
  double outdatedWeights = 70;
  // A target is much fuller than another one for plain calls when it runs so many times as many and
  // so many more: what chance alone makes of six slots in use is below that.
  double imbalanceFactor = 1.5;
  double imbalanceMargin = 3;
  // A target in another zone: the way, and bytes between zones that are paid for.
  double crossZone = 4;
};

class TargetSelector
{
public:
  // A prompt of which so many tokens are to be read is told to the other hosts at once: short calls
  // that they send behind it before they hear of it come late.
  static constexpr std::uint64_t kLongPrefill = 1000;

  TargetSelector(const TargetHealth& aHealth,
                 const ZoneReach& aReach,
                 std::uint64_t aSeed,
                 SelectionCosts aCosts = SelectionCosts());

  // Returns the target with the least cost among those that hold its shared parts, a few that are
  // drawn at random, and a few of the host's own zone, null when there is none. Ejected targets are
  // chosen only when more than half of the list is ejected: then the fault is likely elsewhere.
  // Targets of zones that are out are chosen only when there are no others.
  const TargetRecord* Choose(const SelectionRequest& aQuestion,
                             const std::vector<TargetRecord>& aTargets);

  // Returns how long the call is expected to wait at the target before its own prompt is read: for
  // what waits there to be read, for a slot, and for memory that is not there.
  Duration ExpectedWait(const SelectionRequest& aQuestion, const TargetRecord& aTarget) const;

  // Returns how long the call's first event is expected to take at the target, that wait included.
  Duration ExpectedFirstEvent(const SelectionRequest& aQuestion, const TargetRecord& aTarget) const;

  // Returns the share of the target's memory that requests would hold with this call, above 1 when
  // some of them would have to wait for others to end; 0 where its memory is not known.
  double MemoryShare(const SelectionRequest& aQuestion, const TargetId& aTarget) const;

  // Returns the prompt tokens of the call that the target would read itself.
  TokenCount UncachedTokens(const SelectionRequest& aQuestion, const TargetId& aTarget) const;

  void OnSent(const TargetId& aTarget, const SelectionRequest& aQuestion, const CallLoad& aWork);
  void OnFirstEvent(const TargetId& aTarget, CallLoad& aWork);
  void OnEnd(const TargetId& aTarget, const CallLoad& aWork);

  // The target has started again: it holds nothing, and what an earlier start of it ran is lost.
  void OnRestart(const TargetRecord& aTarget);

  // Returns whether a long prompt was sent since the last TakeSends(): the others should hear of it
  // at once.
  bool HasUrgentSends() const { return this->urgent; }

  // Returns what this host has at the targets where that has changed since the last call, and the
  // parts that it sent there; for the control host that adds it up.
  std::vector<TargetSendsNow> TakeSends();

  // The next TakeSends() returns all that this host has: it is for another control host.
  void TellAllAnew();

  // Takes the totals that a control host made of what entry hosts have, this one among them. They
  // count until the control host tells otherwise or is forgotten.
  void TakeSum(const SendsNews& aNews, MonotonicTime aNow);

  // Forgets control hosts that have told nothing since a time.
  void ForgetSumsBefore(MonotonicTime aTime) { this->told.ForgetBefore(aTime); }

  // Returns what all hosts are believed to have at the target, this one among them.
  SentLoad LoadOf(const TargetId& aTarget) const;

  // Returns a target that is believed to hold the part, of those in the list; null when none is.
  const TargetRecord* FindHolder(const SizedPart& aPart,
                                 const std::vector<TargetRecord>& aTargets,
                                 const TargetRecord& aFor) const;

  // How fast the engines of a model read.
  const EngineLatencyModel& LatencyModelOf(const ModelName& aModel) const;

  // Takes how long the first event of a call took after it was sent. Calls before which other
  // prompts were read, as far as this host knows, say nothing of the engine and are passed over;
  // returns whether this one counted.
  bool RecordFirstEvent(const TargetId& aTarget,
                        const SelectionRequest& aQuestion,
                        const CallLoad& aWork,
                        bool aFetched,
                        Duration aTook);

  // Takes how long a call of a model ran at its engine, from its sending to its end.
  void NoteRun(const ModelName& aModel, Duration aTook) { this->paces[aModel].NoteRun(aTook); }

  HeldParts& Held() { return this->held; }

private:
  std::vector<const TargetRecord*> Candidates(const SelectionRequest& aQuestion,
                                              const std::vector<const TargetRecord*>& aFit);
  const TargetRecord* ChooseWithoutPrompt(const std::vector<const TargetRecord*>& aFit);
  bool IsOfEarlierIncarnation(const TargetId& aTarget, const CallLoad& aWork) const;
  bool HoldsAllParts(const SelectionRequest& aQuestion, const TargetId& aTarget) const;
  double CostOf(const SelectionRequest& aQuestion, const TargetRecord& aTarget) const;
  double QueueDelay(const SelectionRequest& aQuestion, const TargetRecord& aTarget) const;

  const TargetHealth& health;
  const ZoneReach& reach;
  SelectionCosts costs;
  std::minstd_rand random;
  HeldParts held;
  absl::flat_hash_map<ModelName, EngineLatencyModel> paces;
  // What this host has at targets.
  absl::flat_hash_map<TargetId, SentLoad> loads;
  // Targets that have started again under their ids, with their newest starts.
  absl::flat_hash_map<TargetId, Incarnation> starts;
  // What this host has changed since TakeSends(), with the parts sent.
  std::map<TargetId, std::vector<SizedPart>> untold;
  bool urgent = false;
  // What this host told of itself; the sums that come back contain it.
  absl::flat_hash_map<TargetId, SentLoad> ownReported;
  // Sums by control host.
  SendsSum told;
};

} // namespace damasklink
