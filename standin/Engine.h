// A stand-in for a model engine: takes prompts, keeps a prefix cache, streams made-up tokens.
#pragma once

#include <string>

#include <absl/synchronization/mutex.h>

#include "EngineCache.h"
#include "EngineFaults.h"
#include "EngineOrders.h"
#include "damasklink/protocol/EngineApi.h"
#include "damasklink/transport/HttpServer.h"

namespace damasklink::standin {

struct EngineOptions
{
  TargetId id;
  ZoneId zone;
  Endpoint listen;
  std::vector<ServedModel> models;
  double prefillTokensPerSecond = 20'000;
  Duration tokenInterval = std::chrono::milliseconds(2);
  std::size_t slots = 64;
  EngineCacheOptions cache;
  EngineOrderOptions orders;
  EngineFault fault;
};

class Engine
{
public:
  explicit Engine(EngineOptions aOptions);

  void AddRoutes(HttpServer& aServer);
  TargetRecord Record() const;

private:
  HttpResponse Complete(const HttpRequest& aRequest);
  bool Answer(const EnginePrompt& aPrompt, const EngineFault& aFault, StreamWriter& aWriter);
  // Computes the prompt; returns how many of its tokens were known.
  std::size_t Prefill(const EnginePrompt& aPrompt);
  bool SendTokens(const EnginePrompt& aPrompt, const EngineFault& aFault, StreamWriter& aWriter);

  EngineOptions options;
  EngineOrders orders;
  mutable absl::Mutex mutex;
  EngineCache cache;
  std::uint64_t running = 0;
  std::uint64_t answers = 0;
};

} // namespace damasklink::standin
