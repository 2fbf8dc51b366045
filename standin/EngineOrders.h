// The orders that a stand-in engine takes: which models it serves and in which role.
#pragma once

#include <absl/synchronization/mutex.h>

#include "damasklink/coordination/TargetOrders.h"
#include "damasklink/transport/HttpServer.h"

namespace damasklink::standin {

struct EngineOrderOptions
{
  // Whether orders below the highest fencing number seen are refused.
  bool checksFencing = false;
  // Time that loading a version takes.
  Duration loadTime = std::chrono::milliseconds(200);
};

// Takes POST /v1/orders at once and comes to serve what was wished after the load time.
class EngineOrders
{
public:
  EngineOrders(std::vector<ServedModel> aModels, EngineOrderOptions aOptions);

  void AddRoutes(HttpServer& aServer);

  // Fills in what the engine serves now.
  void Describe(TargetRecord& aRecord) const;

private:
  HttpResponse Take(const HttpRequest& aRequest);

  EngineOrderOptions options;
  mutable absl::Mutex mutex;
  FencingNumber highest;
  std::vector<ServedModel> models;
  TargetRole role = TargetRole::Both;
  // What will be served from loadedAt on.
  std::vector<ServedModel> loading;
  MonotonicTime loadedAt;
};

} // namespace damasklink::standin
