// Reuse of kept prompt state in a request's life, on the traffic threads.
#pragma once

#include "HostContext.h"
#include "StoresModule.h"
#include "damasklink/coordination/PromptReuse.h"

namespace damasklink {

// Asks the owners of stores and orders engines to import and export. Every wait has a limit; what
// fails is computed instead. Safe from any traffic thread.
class ReuseService final : public PromptReuse
{
public:
  ReuseService(const HostContext& aContext,
               const StoresContext& aStores,
               StoresModule& aModule,
               WorkThread& aKeeper);

  void LookUp(std::string_view aPrompt, RouteRequest& aRequest) override;
  void ImportBlocks(const RouteRequest& aRequest, const RouteDecision& aDecision) override;
  void OnAnswered(const RouteRequest& aRequest,
                  const RouteDecision& aDecision,
                  const AnswerUsage& aUsage) override;

private:
  // An import or export under way.
  struct Move
  {
    WorkspaceId workspace;
    Endpoint store;
    Endpoint engine;
    StoreQuestion question;
  };

  WeightVersion MostServedVersion(const RouteRequest& aRequest, const TrafficView& aView) const;
  std::vector<StoreId> Candidates(const RouteRequest& aRequest, const TrafficView& aView) const;
  void Post(StoreQuestion aQuestion);
  std::optional<StoreAnswer> Ask(StoreQuestion aQuestion, Duration aMost);
  void ReportOutcome(StoreOutcome aOutcome);
  double PrefillRate(const TargetId& aTarget);
  // Returns how many blocks came, 0 when the import is to be given up.
  std::uint64_t ImportBatch(const Move& aMove, const StoreAnswer& aGrant, Duration aPatience);
  void ExportAll(Move aMove, int aRetries);
  bool ExportBatch(const Move& aMove, const StoreAnswer& aGrant);

  const HostContext& context;
  StoresContext stores;
  StoresModule& module;
  WorkThread& keeper;
};

} // namespace damasklink
