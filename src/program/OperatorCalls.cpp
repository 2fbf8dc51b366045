#include "OperatorCalls.h"

#include <cstdlib>

#include <absl/strings/str_split.h>

#include "damasklink/state/Text.h"
#include "damasklink/transport/HttpClient.h"

namespace damasklink {
namespace {

constexpr ByteCount kMostAnswer{ 64 * kMebibyte };
constexpr Duration kAnswerTimeout = std::chrono::seconds(5);
constexpr int kStatusOk = 200;
constexpr int kStatusUnauthenticated = 401;

std::vector<Endpoint>
HostsNamed(const std::string& aText)
{
  std::vector<Endpoint> hosts;
  const std::vector<std::string> pieces = absl::StrSplit(aText, ',');
  for (const std::string& piece : pieces) {
    auto host = ParseEndpoint(piece);
    if (!host) {
      throw WrongUseError(Concat("--host '", piece, "' ", Describe(host.error())));
    }
    hosts.push_back(host.value());
  }
  return hosts;
}

std::vector<Endpoint>
HostsOfSettings(const std::string& aFile)
{
  const auto parsed = LoadHostSettings(aFile);
  if (!parsed.Ok()) {
    throw WrongUseError(FormatFault(parsed.faults.front()));
  }
  std::vector<Endpoint> hosts;
  for (const PeerSettings& peer : parsed.value.peers) {
    hosts.push_back(peer.operators);
  }
  return hosts;
}

} // namespace

std::vector<Endpoint>
HostsOf(const Arguments& aArguments)
{
  const std::string hosts = TextOf(aArguments, "--host");
  const std::string settings = TextOf(aArguments, "--settings");
  if (!hosts.empty()) {
    return HostsNamed(hosts);
  }
  if (!settings.empty()) {
    return HostsOfSettings(settings);
  }
  throw WrongUseError("no host was named; give --settings or --host");
}

std::string
OperatorKey()
{
  // Subcommands that call hosts run on one thread, so nobody changes the environment meanwhile.
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  const char* key = std::getenv(kOperatorKeyVariable);
  if (key == nullptr || *key == '\0') {
    throw WrongUseError(Concat("no operator key; set ", kOperatorKeyVariable));
  }
  return key;
}

Result<std::string>
GetFromHost(const Endpoint& aHost, const std::string& aPath, const std::string& aKey)
{
  HttpCall call;
  call.endpoint = aHost;
  call.path = aPath;
  call.headers = { { "authorization", Concat("Bearer ", aKey) } };
  call.readTimeout = kAnswerTimeout;
  auto answer = CallHttp(std::move(call), kMostAnswer);
  if (!answer) {
    return Fail(ErrorKind::Unavailable, answer.error().message, answer.error().remedy);
  }
  if (answer.value().status == kStatusUnauthenticated) {
    return Fail(ErrorKind::Unauthenticated,
                Concat(FormatEndpoint(aHost), " does not know the operator key"),
                "compare the key with operator_keys in the host's settings");
  }
  if (answer.value().status != kStatusOk) {
    return Fail(ErrorKind::Internal,
                Concat(FormatEndpoint(aHost), " answered with status ", answer.value().status),
                "read the host's log");
  }
  return std::move(answer.value().body);
}

} // namespace damasklink
