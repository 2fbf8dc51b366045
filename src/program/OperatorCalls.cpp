#include "OperatorCalls.h"

#include <cstdlib>

#include "damasklink/state/Text.h"
#include "damasklink/transport/HttpClient.h"

namespace damasklink {
namespace {

constexpr const char* kOperatorKeyVariable = "DAMASKLINK_OPERATOR_KEY";
constexpr ByteCount kMaxAnswer{ 64 * kMebibyte };
constexpr Duration kAnswerTimeout = std::chrono::seconds(5);
constexpr int kStatusOk = 200;
constexpr int kStatusUnauthenticated = 401;

std::vector<Endpoint>
ParseHosts(const std::vector<std::string>& aAddresses)
{
  std::vector<Endpoint> hosts;
  for (const std::string& address : aAddresses) {
    auto host = ParseEndpoint(address);
    if (!host) {
      throw UsageError(Concat("--host '", address, "' ", Describe(host.error())));
    }
    hosts.push_back(host.value());
  }
  return hosts;
}

std::string
ReadKeyFile(const std::string& aFile)
{
  auto text = ReadWholeFile(aFile);
  if (!text) {
    throw UsageError(Describe(text.error()));
  }
  return text.value();
}

std::string
KeyFromEnvironment()
{
  // Subcommands that call hosts have one thread, so the environment is not changed concurrently.
  // NOLINTNEXTLINE(concurrency-mt-unsafe)
  const char* key = std::getenv(kOperatorKeyVariable);
  return key == nullptr ? "" : key;
}

std::vector<Endpoint>
HostsFromSettings(const std::string& aFile)
{
  const auto parsed = LoadHostSettings(aFile);
  if (!parsed.Ok()) {
    throw UsageError(FormatFault(parsed.faults.front()));
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
  const std::vector<std::string>& hosts = aArguments.at("--host").asStringList();
  const std::string settings = TextOf(aArguments, "--settings");
  if (!hosts.empty()) {
    return ParseHosts(hosts);
  }
  if (!settings.empty()) {
    return HostsFromSettings(settings);
  }
  throw UsageError("no host was named; give --settings or --host");
}

std::string
OperatorKey(const Arguments& aArguments)
{
  const std::string file = TextOf(aArguments, "--key-file");
  std::string key = file.empty() ? KeyFromEnvironment() : ReadKeyFile(file);
  key.erase(key.find_last_not_of("\r\n ") + 1);
  if (key.empty()) {
    throw UsageError(Concat("no operator key; set ", kOperatorKeyVariable, " or --key-file"));
  }
  return key;
}

Result<std::string>
CallOperator(const OperatorCall& aCall)
{
  HttpCall call;
  call.endpoint = aCall.host;
  call.method = aCall.method;
  call.path = aCall.path;
  call.headers = { { "authorization", Concat("Bearer ", aCall.key) } };
  call.body = aCall.body;
  call.readTimeout = kAnswerTimeout;
  auto answer = CallHttp(std::move(call), kMaxAnswer);
  if (!answer) {
    return Fail(ErrorKind::Unavailable, answer.error().message, answer.error().remedy);
  }
  if (answer.value().status == kStatusUnauthenticated) {
    return Fail(ErrorKind::Unauthenticated,
                Concat(FormatEndpoint(aCall.host), " does not know the operator key"),
                "compare the key with operator_keys in the host's settings");
  }
  if (answer.value().status != kStatusOk) {
    return Fail(ErrorKind::Internal,
                Concat(FormatEndpoint(aCall.host), " answered with status ", answer.value().status),
                "read the host's log");
  }
  return std::move(answer.value().body);
}

} // namespace damasklink
