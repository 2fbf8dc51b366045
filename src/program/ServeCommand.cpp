#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

#include "Commands.h"
#include "HostProcess.h"
#include "damasklink/transport/Log.h"

namespace damasklink {
namespace {

// Blocks the signals in this and all later threads, so that one thread can wait for them.
sigset_t
BlockStopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

// Lets running requests end; a second signal ends them with explicit errors.
void
StopGracefully(HostProcess& aHost, const sigset_t& aSignals)
{
  constexpr timespec kStep{ 0, 100'000'000 };
  std::atomic<bool> stopped{ false };
  std::thread stopping([&] {
    aHost.Stop();
    stopped.store(true);
  });
  while (!stopped.load()) {
    if (sigtimedwait(&aSignals, nullptr, &kStep) > 0) {
      LogEvent(LogLevel::Warning, "stop_hurried").With("reason", "second signal");
      aHost.Hurry();
    }
  }
  stopping.join();
}

constexpr std::string_view kUsage = R"(Usage:
  damasklink serve --settings FILE [options]

Options:
  --settings FILE    Settings of this host.
)";

ExitCode
Run(const Arguments& aArguments)
{
  auto parsed = LoadHostSettings(TextOf(aArguments, "--settings"));
  for (const Fault& fault : parsed.faults) {
    std::cerr << FormatFault(fault) << '\n';
  }
  if (!parsed.Ok()) {
    return ExitCode::Refused;
  }
  if (TextOf(aArguments, "--log-level").empty()) {
    LogLevel level = LogLevel::Info;
    ParseLogLevel(parsed.value.logLevel, level);
    SetLogLevel(level);
  }
  const sigset_t signals = BlockStopSignals();
  HostProcess host(std::move(parsed.value));
  if (auto started = host.Start(); !started) {
    LogEvent(LogLevel::Error, "start_failed").With("error", started.error());
    return ExitCode::Refused;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  StopGracefully(host, signals);
  return ExitCode::Done;
}

} // namespace

Command
ServeCommand()
{
  return Command{ "serve", "Runs a host until SIGTERM or SIGINT.", kUsage, Run };
}

} // namespace damasklink
