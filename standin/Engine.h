// A stand-in for a model engine: takes prompts, keeps a prefix cache, streams made-up tokens.
#pragma once

#include <list>
#include <map>
#include <string>

#include <absl/synchronization/mutex.h>

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
  std::size_t cacheBlocks = 4096;
  EngineOrderOptions orders;
};

// Counts whole blocks at the start of a prompt that were seen before, least recently used dropped.
class PrefixCache
{
public:
  explicit PrefixCache(std::size_t aMostBlocks)
    : mostBlocks(aMostBlocks)
  {
  }

  // Returns how many bytes of the text were known, and remembers all of it.
  std::size_t Touch(const std::string& aText);

private:
  std::size_t mostBlocks;
  std::list<std::uint64_t> order;
  std::map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks;
};

class Engine
{
public:
  explicit Engine(EngineOptions aOptions);

  void AddRoutes(HttpServer& aServer);
  TargetRecord Record() const;

private:
  HttpResponse Complete(const HttpRequest& aRequest);
  bool Answer(const EnginePrompt& aPrompt, StreamWriter& aWriter);

  EngineOptions options;
  EngineOrders orders;
  mutable absl::Mutex mutex;
  PrefixCache cache;
  std::uint64_t running = 0;
};

} // namespace damasklink::standin
