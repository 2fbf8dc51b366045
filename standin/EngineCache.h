// The prefix cache of the stand-in engine: names, events, export to and import from a store.
#pragma once

#include <list>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "damasklink/protocol/StoreApi.h"
#include "damasklink/transport/HttpServer.h"

namespace damasklink::standin {

struct EngineCacheOptions
{
  TargetId id;
  // Hosts that cache events go to; the first that answers takes one.
  std::vector<Endpoint> hosts;
  std::string key;
  std::size_t mostBlocks = 4096;
  std::size_t bytesPerToken = 64;
};

// Holds block names, least recently used dropped; contents are made up from the names. Publishes
// what changes. Safe from any thread.
class EngineCache
{
public:
  explicit EngineCache(EngineCacheOptions aOptions);
  ~EngineCache();
  EngineCache(const EngineCache&) = delete;
  EngineCache& operator=(const EngineCache&) = delete;

  void AddRoutes(HttpServer& aServer);

  // Returns how many tokens at the start of the prompt were known, and remembers all of it.
  std::size_t Touch(const BlockScope& aScope, const std::string& aPrompt);

private:
  HttpResponse Import(const HttpRequest& aRequest);
  HttpResponse Export(const HttpRequest& aRequest);
  HttpResponse Snapshot();
  void Add(const std::vector<Digest>& aBlocks);
  bool Holds(const Digest& aBlock);
  void Publish();
  void Send(const CacheEvent& aEvent) const;

  EngineCacheOptions options;
  Incarnation incarnation;
  absl::Mutex mutex;
  std::list<Digest> order ABSL_GUARDED_BY(mutex);
  std::map<Digest, std::list<Digest>::iterator> places ABSL_GUARDED_BY(mutex);
  Sequence sequence ABSL_GUARDED_BY(mutex);
  std::vector<CacheEvent> unsent ABSL_GUARDED_BY(mutex);
  bool stopped ABSL_GUARDED_BY(mutex) = false;
  std::thread publisher;
};

} // namespace damasklink::standin
