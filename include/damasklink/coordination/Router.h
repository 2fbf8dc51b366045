// The interface of routing policies, which choose a target for each prompt.
#pragma once

#include <map>
#include <vector>

#include "damasklink/coordination/Target.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/ConfigTree.h"
#include "damasklink/state/Error.h"

namespace damasklink {

// A prefix of the prompt that a store has.
struct StoredPrefix
{
  StoreId store;
  // Complete blocks from the start of the prompt.
  std::uint64_t blocks = 0;
  TokenCount tokens;
  ByteCount bytes;
  // Free bandwidth of the store's link for this import.
  double freeBytesPerSecond = 0;
  // Whether the store's owner recognized the prompt as the continuation of an earlier one.
  bool returning = false;
};

// The information about a prompt that a policy may use.
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
  // Names of the prompt's complete blocks, from its start (BlockNames.h).
  std::vector<Digest> blocks;
  // The version of weights that the names are derived from; targets with another version cannot use
  // the blocks.
  WeightVersion blocksVersion;
  // Stores that have a prefix, as found by the lookup.
  std::vector<StoredPrefix> stored;
  // Targets that have been tried for this request already.
  std::vector<TargetId> excluded;
  // The request continues an answer that has begun, so it needs a target that decodes; a new one
  // needs a target that prefills.
  bool continuation = false;
};

// The chosen target and what is expected of it.
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
  // The import covers the blocks from the first that the target is not expected to have, up to this
  // number.
  std::uint64_t importBlocks = 0;
  // Leading blocks that the target is expected to have cached.
  std::uint64_t heldBlocks = 0;
  // Identifies the decision to the policy that made it.
  std::uint64_t ticket = 0;
};

// Chooses targets and learns from the results. Not thread-safe: the caller must synchronize.
class Router
{
public:
  virtual ~Router() = default;

  // Returns a target that serves the model in a granted version. Fails with Unavailable when there
  // is none.
  virtual Result<RouteDecision> Choose(const RouteRequest& aRequest,
                                       const std::vector<TargetRecord>& aTargets) = 0;

  // Tells that the request was sent as decided.
  virtual void OnSent(const RouteRequest& aRequest, const RouteDecision& aDecision) = 0;

  // Tells that the first token came after aElapsed, and that aReused prompt tokens were not
  // recomputed.
  virtual void OnFirstToken(const RouteRequest& aRequest,
                            const RouteDecision& aDecision,
                            Duration aElapsed,
                            TokenCount aReused) = 0;

  // Tells that the request has ended; aWhole tells whether its answer was complete.
  virtual void OnDone(const RouteRequest& aRequest,
                      const RouteDecision& aDecision,
                      bool aWhole) = 0;
};

// Chooses the target with the fewest requests of this host in flight. The baseline that other
// policies are compared with.
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
// wrong kind or role, model not served or not granted, or target excluded.
WeightVersion
EligibleVersion(const RouteRequest& aRequest, const TargetRecord& aTarget);

} // namespace damasklink
