// The choice of a target for a prompt, as an interface that policies implement.
#pragma once

#include <map>
#include <vector>

#include "damasklink/coordination/Target.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/ConfigTree.h"
#include "damasklink/state/Error.h"

namespace damasklink {

// A prefix of the prompt that a store keeps.
struct StoredPrefix
{
  StoreId store;
  // Whole blocks from the start of the prompt.
  std::uint64_t blocks = 0;
  TokenCount tokens;
  ByteCount bytes;
  // What the store's link has left over for this import.
  double freeBytesPerSecond = 0;
  // Whether the store's owner knows the prompt as one that goes on with an earlier one.
  bool returning = false;
};

// What a policy may know of a prompt.
struct RouteRequest
{
  WorkspaceId workspace;
  ModelName model;
  // Empty: any version that the grants allow.
  WeightVersion version;
  AdapterName adapter;
  std::vector<ModelGrant> grants;
  ObjectiveWeights objective;
  TokenCount promptTokens;
  // Names of the prompt's whole blocks, from its start (BlockNames.h).
  std::vector<Digest> blocks;
  // The version that the names are rooted in; they mean nothing to a target of another one.
  WeightVersion blocksVersion;
  // Stores that keep a prefix, as the look-up found them.
  std::vector<StoredPrefix> stored;
  // Targets that this request has tried already.
  std::vector<TargetId> excluded;
  // Where a run goes on, it needs a target that decodes; a new one needs one that prefills.
  bool continuation = false;
};

// Where a prompt goes and what is expected of it.
struct RouteDecision
{
  TargetId target;
  Endpoint endpoint;
  WeightVersion version;
  Duration expectedFirstToken{ 0 };
  // Prompt tokens that the target is expected to compute.
  TokenCount expectedPrefill;
  // Store to import from before the prompt is sent; empty for none.
  StoreId importFrom;
  // The import brings the blocks from the first that the target is not believed to hold up to here.
  std::uint64_t importBlocks = 0;
  // Leading blocks that the target is believed to hold.
  std::uint64_t heldBlocks = 0;
  // The policy's own mark, by which it knows the decision again.
  std::uint64_t ticket = 0;
};

// Chooses targets and learns from what came of it. Not thread-safe: its owner holds the lock.
class Router
{
public:
  virtual ~Router() = default;

  // Returns a target that serves the model in a granted version, or Unavailable.
  virtual Result<RouteDecision> Choose(const RouteRequest& aRequest,
                                       const std::vector<TargetRecord>& aTargets) = 0;

  // Tells that the request was sent as decided.
  virtual void OnSent(const RouteRequest& aRequest, const RouteDecision& aDecision) = 0;

  // Tells that the first token came after aElapsed, with aReused prompt tokens not computed again.
  virtual void OnFirstToken(const RouteRequest& aRequest,
                            const RouteDecision& aDecision,
                            Duration aElapsed,
                            TokenCount aReused) = 0;

  // Tells that the request is over, whole or not.
  virtual void OnDone(const RouteRequest& aRequest,
                      const RouteDecision& aDecision,
                      bool aWhole) = 0;
};

// Takes the target with the fewest requests; the baseline that other policies are measured against.
class LeastLoadedRouter final : public Router
{
public:
  Result<RouteDecision> Choose(const RouteRequest& aRequest,
                               const std::vector<TargetRecord>& aTargets) override;
  void OnSent(const RouteRequest& aRequest, const RouteDecision& aDecision) override;
  void OnFirstToken(const RouteRequest& aRequest,
                    const RouteDecision& aDecision,
                    Duration aElapsed,
                    TokenCount aReused) override;
  void OnDone(const RouteRequest& aRequest, const RouteDecision& aDecision, bool aWhole) override;

private:
  std::map<TargetId, std::uint64_t> outstanding;
};

// Returns the version in which the target may serve the request, or an empty one when it may not:
// wrong kind or role, model not served or not granted, excluded.
WeightVersion
EligibleVersion(const RouteRequest& aRequest, const TargetRecord& aTarget);

} // namespace damasklink
