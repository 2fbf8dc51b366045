// A stand-in for a plain service whose calls leave a mark: it counts its runs by body.
#pragma once

#include <map>

#include <absl/synchronization/mutex.h>

#include "damasklink/coordination/Target.h"
#include "damasklink/transport/HttpServer.h"

namespace damasklink::standin {

struct ServiceOptions
{
  TargetId id;
  ZoneId zone;
  Endpoint listen;
  ServiceName service;
  Duration work = std::chrono::milliseconds(5);
};

// Answers every call with how often the same body was run; GET /runs tells the count of each.
class Service
{
public:
  explicit Service(ServiceOptions aOptions);

  void AddRoutes(HttpServer& aServer);
  TargetRecord Record() const;

private:
  HttpResponse Run(const HttpRequest& aRequest);
  HttpResponse ListRuns();

  ServiceOptions options;
  absl::Mutex mutex;
  std::map<std::string, std::uint64_t> runs;
};

} // namespace damasklink::standin
