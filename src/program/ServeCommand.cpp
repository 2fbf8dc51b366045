#include <csignal>
#include <iostream>

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

} // namespace

ExitCode
RunServe(const std::string& aSettingsFile, const std::string& aLogLevel)
{
  auto parsed = LoadHostSettings(aSettingsFile);
  for (const Fault& fault : parsed.faults) {
    std::cerr << FormatFault(fault) << '\n';
  }
  if (!parsed.Ok()) {
    return ExitCode::Refused;
  }
  LogLevel level = LogLevel::Info;
  ParseLogLevel(aLogLevel.empty() ? parsed.value.logLevel : aLogLevel, level);
  StartLogging(level);
  const sigset_t signals = BlockStopSignals();
  HostProcess host(std::move(parsed.value));
  if (auto started = host.Start(); !started) {
    LogEvent(LogLevel::Error, "start_failed").With("error", started.error());
    return ExitCode::Refused;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  host.Stop();
  return ExitCode::Done;
}

} // namespace damasklink
