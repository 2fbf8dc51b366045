// Stand-ins for the targets that the platform gives; for demos, tests and benches only.
#include <csignal>
#include <iostream>
#include <map>
#include <memory>

#include <absl/strings/numbers.h>
#include <absl/strings/str_split.h>
#include <docopt/docopt.h>

#include "Announcer.h"
#include "Engine.h"
#include "Relay.h"
#include "Service.h"
#include "Store.h"
#include "damasklink/state/Units.h"

namespace {

using namespace damasklink;
using Arguments = std::map<std::string, docopt::value>;

constexpr const char* kUsage = R"(damasklink-standin plays a target.

Usage:
  damasklink-standin engine --id ID --zone ZONE --listen ADDR --announce ADDRS [options]
  damasklink-standin service --id ID --zone ZONE --listen ADDR --announce ADDRS [options]
  damasklink-standin store --id ID --zone ZONE --listen ADDR --announce ADDRS [options]
  damasklink-standin relay --listen ADDR --to ADDR --control ADDR

Options:
  --id ID              Name of the target.
  --zone ZONE          Availability zone of the target.
  --listen ADDR        Address to serve, as IP:PORT.
  --announce ADDRS     Target addresses of hosts, separated by commas.
  --to ADDR            Where a relay passes connections on to.
  --control ADDR       Where a relay is told to drop, by HTTP (standin/Relay.h).
  --key KEY            Key of targets [default: target-key].
  --model MODEL        Model as name@version [default: plates-7b@v1].
  --service NAME       Name of the service [default: plates].
  --prefill RATE       Prompt tokens a second [default: 20000].
  --interval TIME      Time between tokens [default: 2ms].
  --work TIME          Time one service call takes [default: 5ms].
  --checks-fencing     The engine refuses orders that carry an old fencing number.
  --load-time TIME     Time an ordered load takes [default: 200ms].
  --fault FAULT        What goes wrong: none, die, cut, stall, double, reorder or refuse, with the
                       tokens before it and one answer in how many, as cut:20/3 [default: none].
  --slots N            Requests at once [default: 64].
  --cache N            Blocks of an engine's prefix cache [default: 4096].
  --memory SIZE        Memory of a store [default: 64MiB].
  --disk SIZE          Disk of a store [default: 256MiB].
  --link SIZE          Bytes a second over a store's link [default: 16MiB].
)";

constexpr std::size_t kSpareThreads = 16;

std::string
TextOf(const Arguments& aArguments, const std::string& aName)
{
  return aArguments.at(aName).asString();
}

std::uint64_t
CountOf(const Arguments& aArguments, const std::string& aName)
{
  std::uint64_t number = 0;
  if (!absl::SimpleAtoi(TextOf(aArguments, aName), &number)) {
    throw std::invalid_argument(aName + " is not a whole number");
  }
  return number;
}

std::vector<Endpoint>
EndpointsOf(const Arguments& aArguments, const std::string& aName)
{
  std::vector<Endpoint> endpoints;
  const std::vector<std::string> pieces = absl::StrSplit(TextOf(aArguments, aName), ',');
  endpoints.reserve(pieces.size());
  for (const std::string& piece : pieces) {
    endpoints.push_back(ParseEndpoint(piece).value());
  }
  return endpoints;
}

ServedModel
ModelOf(const std::string& aText)
{
  const std::pair<std::string, std::string> parts = absl::StrSplit(aText, absl::MaxSplits('@', 1));
  return ServedModel{ ModelName(parts.first), WeightVersion(parts.second), {} };
}

void
WaitForStop()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  int signal = 0;
  sigwait(&signals, &signal);
}

// Serves and announces until a signal comes.
template<typename Target>
int
Play(Target& aTarget, const Arguments& aArguments, std::size_t aThreads)
{
  HttpServer::Options options;
  options.endpoint = EndpointsOf(aArguments, "--listen").front();
  options.threads = aThreads;
  options.maxBody = ByteCount(64 * kMebibyte);
  HttpServer server(options);
  aTarget.AddRoutes(server);
  if (auto started = server.Start(); !started) {
    std::cerr << started.error() << '\n';
    return 1;
  }
  const standin::Announcer announcer(
    EndpointsOf(aArguments, "--announce"),
    [&] { return aTarget.Record(); },
    TextOf(aArguments, "--key"));
  WaitForStop();
  return 0;
}

int
PlayEngine(const Arguments& aArguments)
{
  standin::EngineOptions options;
  options.id = TargetId(TextOf(aArguments, "--id"));
  options.zone = ZoneId(TextOf(aArguments, "--zone"));
  options.listen = EndpointsOf(aArguments, "--listen").front();
  options.models = { ModelOf(TextOf(aArguments, "--model")) };
  options.prefillTokensPerSecond = static_cast<double>(CountOf(aArguments, "--prefill"));
  options.tokenInterval = ParseDuration(TextOf(aArguments, "--interval")).value();
  options.slots = CountOf(aArguments, "--slots");
  options.orders.checksFencing = aArguments.at("--checks-fencing").asBool();
  options.orders.loadTime = ParseDuration(TextOf(aArguments, "--load-time")).value();
  options.cache.id = options.id;
  options.cache.hosts = EndpointsOf(aArguments, "--announce");
  options.cache.key = TextOf(aArguments, "--key");
  options.cache.mostBlocks = CountOf(aArguments, "--cache");
  options.orders.checksFencing = aArguments.at("--checks-fencing").asBool();
  options.orders.loadTime = ParseDuration(TextOf(aArguments, "--load-time")).value();
  options.fault = standin::ParseEngineFault(TextOf(aArguments, "--fault")).value();
  standin::Engine engine(options);
  return Play(engine, aArguments, options.slots + kSpareThreads);
}

int
PlayService(const Arguments& aArguments)
{
  standin::ServiceOptions options;
  options.id = TargetId(TextOf(aArguments, "--id"));
  options.zone = ZoneId(TextOf(aArguments, "--zone"));
  options.listen = EndpointsOf(aArguments, "--listen").front();
  options.service = ServiceName(TextOf(aArguments, "--service"));
  options.work = ParseDuration(TextOf(aArguments, "--work")).value();
  standin::Service service(options);
  return Play(service, aArguments, kSpareThreads);
}

int
PlayRelay(const Arguments& aArguments)
{
  standin::Relay relay(standin::RelayOptions{ EndpointsOf(aArguments, "--listen").front(),
                                              EndpointsOf(aArguments, "--to").front() });
  HttpServer::Options options;
  options.endpoint = EndpointsOf(aArguments, "--control").front();
  options.threads = 2;
  HttpServer control(options);
  relay.AddRoutes(control);
  for (auto started : { relay.Start(), control.Start() }) {
    if (!started) {
      std::cerr << started.error() << '\n';
      return 1;
    }
  }
  WaitForStop();
  return 0;
}

int
PlayStore(const Arguments& aArguments)
{
  const auto size = [&](const char* aName) { return ParseSize(TextOf(aArguments, aName)).value(); };
  standin::StoreOptions options;
  options.id = TargetId(TextOf(aArguments, "--id"));
  options.zone = ZoneId(TextOf(aArguments, "--zone"));
  options.listen = EndpointsOf(aArguments, "--listen").front();
  options.declared = { size("--memory"), size("--disk"), size("--link"), ByteCount(64) };
  standin::Store store(options);
  return Play(store, aArguments, kSpareThreads);
}

int
Run(const Arguments& aArguments)
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  if (aArguments.at("engine").asBool()) {
    return PlayEngine(aArguments);
  }
  if (aArguments.at("relay").asBool()) {
    return PlayRelay(aArguments);
  }
  if (aArguments.at("service").asBool()) {
    return PlayService(aArguments);
  }
  return PlayStore(aArguments);
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    const std::vector<std::string> words(aArguments + 1, aArguments + aCount);
    return Run(docopt::docopt_parse(kUsage, words, true, false));
  } catch (const docopt::DocoptExitHelp&) {
    std::cout << kUsage;
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "damasklink-standin: " << error.what() << '\n';
    return 2;
  }
}
