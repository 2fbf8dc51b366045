// A stand-in for a store host: keeps blocks in memory behind a slow link, with faults on demand.
#pragma once

#include <map>
#include <string>

#include <absl/synchronization/mutex.h>

#include "damasklink/protocol/StoreApi.h"
#include "damasklink/transport/HttpServer.h"

namespace damasklink::standin {

struct StoreOptions
{
  TargetId id;
  ZoneId zone;
  Endpoint listen;
  StoreDeclaration declared;
};

// Faults, set by POST /fault/NAME: "none", "full" (takes no block), "slow" (a hundredth of the
// link), "lying" (inventories with wrong checksums), "empty" (forgets everything at once), "save"
// and "old" (restarts with what it held at the last "save").
class Store
{
public:
  explicit Store(StoreOptions aOptions);

  void AddRoutes(HttpServer& aServer);
  TargetRecord Record() const;

private:
  struct Kept
  {
    BlockHeader header;
    std::string content;
  };
  using Blocks = std::map<Digest, Kept>;

  HttpResponse Write(const HttpRequest& aRequest);
  HttpResponse Read(const HttpRequest& aRequest);
  HttpResponse List();
  HttpResponse Free(const HttpRequest& aRequest);
  HttpResponse SetFault(const HttpRequest& aRequest);
  // Sleeps as long as the bytes take over the link, one transfer after the other.
  void Move(std::size_t aBytes);
  // Returns whether the order is no older than any before it.
  bool Accepts(FencingNumber aFencing);

  StoreOptions options;
  absl::Mutex link;
  absl::Mutex mutex;
  Blocks blocks ABSL_GUARDED_BY(mutex);
  Blocks saved ABSL_GUARDED_BY(mutex);
  std::size_t used ABSL_GUARDED_BY(mutex) = 0;
  FencingNumber highest ABSL_GUARDED_BY(mutex);
  std::string fault ABSL_GUARDED_BY(mutex) = "none";
};

} // namespace damasklink::standin
