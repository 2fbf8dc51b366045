// Settings to run a host in the test process on free ports, and HTTP calls to it.
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
// The keys whose digests are in the sample's settings and tree.
inline const std::string kCallerKey = "counter-key";
inline const std::string kOperatorKey = "operator-key";
inline const std::string kTargetKey = "target-key";

// Returns the path of a new empty folder that is removed at the end of the test program.
inline std::string
FreshDataFolder()
{
  static std::deque<TempFolder> folders;
  return folders.emplace_back(FolderInMemory()).Path();
}

// Returns the settings of the one-host sample with its tree, on free ports and with an empty data
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
  // Short, so that stopping the host does not wait for idle connections.
  settings.limits.callerIdle = std::chrono::seconds(1);
  return settings;
}

// Makes an HTTP call with aKey as bearer token, or without one when it is empty.
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
  constexpr ByteCount kMaxAnswer{ 16 * kMebibyte };
  return CallHttp(std::move(call), kMaxAnswer);
}

} // namespace damasklink::testing
