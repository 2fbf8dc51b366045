// One host in this process on free ports, and plain HTTP calls to it.
#pragma once

#include <deque>
#include <string>

#include "damasklink/state/Digests.h"
#include "damasklink/transport/HttpClient.h"
#include "damasklink/transport/HttpServer.h"
#include "program/HostProcess.h"
#include "support/TempFolder.h"

namespace damasklink::testing {

inline const std::string kSampleFolder =
  std::string(DAMASKLINK_SOURCE_DIR) + "/samples/01-one-host/";
// The keys whose digests stand in the sample.
inline const std::string kCallerKey = "counter-key";
inline const std::string kOperatorKey = "operator-key";
inline const std::string kTargetKey = "target-key";

// Returns a new empty folder that lives as long as the test program.
inline std::string
FreshDataFolder()
{
  static std::deque<TempFolder> folders;
  return folders.emplace_back(FolderInMemory()).Path();
}

// Returns the settings of the one-host sample with its tree, on any free ports, with an empty data
// folder.
inline HostSettings
SampleSettings()
{
  HostSettings settings = LoadHostSettings(kSampleFolder + "host.yaml").value;
  settings.initialTree = kSampleFolder + "tree.yaml";
  settings.dataFolder = FreshDataFolder();
  settings.listen.callers.port = 0;
  settings.listen.operators.port = 0;
  settings.listen.targets.port = 0;
  settings.listen.peers.port = 0;
  // A closing test does not wait for idle connections.
  settings.limits.callerIdle = std::chrono::seconds(1);
  return settings;
}

inline Result<HttpClientResponse>
Call(const Endpoint& aHost,
     std::string aMethod,
     std::string aPath,
     const std::string& aKey,
     std::string aBody = "")
{
  HttpCall call;
  call.endpoint = aHost;
  call.method = std::move(aMethod);
  call.path = std::move(aPath);
  call.body = std::move(aBody);
  if (!aKey.empty()) {
    call.headers = { { "authorization", "Bearer " + aKey } };
  }
  constexpr ByteCount kMostAnswer{ 16 * kMebibyte };
  return CallHttp(std::move(call), kMostAnswer);
}

} // namespace damasklink::testing
