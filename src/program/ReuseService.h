// Prompt reuse as seen by a request: look-up, import before the run, export after the answer.
#pragma once

#include "HostContext.h"
#include "StoresModule.h"
#include "damasklink/coordination/PromptReuse.h"

namespace damasklink {

// Asks the owners of stores for blocks, and orders engines to import and export them. Every wait
// has a limit; when a look-up or an import fails, the engine computes the prompt instead.
// Thread-safe.
class ReuseService final : public PromptReuse
{
public:
  ReuseService(const HostContext& aContext,
               const StoresContext& aStores,
               StoresModule& aModule,
               WorkThread& aExporter);

  void LookUp(std::string_view aPrompt, RouteRequest& aRequest) override;
  void ImportBlocks(const RouteRequest& aRequest, const RouteDecision& aDecision) override;
  void OnAnswered(const RouteRequest& aRequest,
                  const RouteDecision& aDecision,
                  const AnswerUsage& aUsage) override;

private:
  // An import or export in progress.
  struct Transfer
  {
    WorkspaceId workspace;
    Endpoint store;
    Endpoint engine;
    StoreQuestion question;
  };

  // Returns the eligible version that most targets serve; empty when there is none.
  WeightVersion MostServedVersion(const RouteRequest& aRequest, const TrafficView& aView) const;
  // Returns the stores that may hold a prompt with this first block, by rendezvous hashing.
  std::vector<StoreId> Candidates(const RouteRequest& aRequest, const TrafficView& aView) const;
  void Post(StoreQuestion aQuestion);
  std::optional<StoreAnswer> Ask(StoreQuestion aQuestion, Duration aTimeout);
  void ReportOutcome(StoreOutcome aOutcome);
  // In tokens per second, as the router has learnt it.
  double PrefillRate(const TargetId& aTarget);
  // Imports the blocks of one grant. Returns their number, or 0 when the import has to be
  // abandoned.
  std::uint64_t ImportBatch(const Transfer& aTransfer,
                            const StoreAnswer& aGrant,
                            Duration aTimeout);
  // Exports one grant after another until the owner has no more; runs on the exporter's thread.
  void ExportAll(Transfer aTransfer, int aRetries);
  // Exports the blocks of one grant. Returns whether all were exported.
  bool ExportBatch(const Transfer& aTransfer, const StoreAnswer& aGrant);

  const HostContext& context;
  StoresContext stores;
  StoresModule& module;
  WorkThread& exporter;
};

} // namespace damasklink
