// Agreement on this machine: changes a second, added latency, idle cost, elections, restart.
#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <iostream>

#include <absl/strings/numbers.h>
#include <absl/strings/str_format.h>
#include <absl/synchronization/mutex.h>
#include <stdlib.h>
#include <sys/resource.h>

#include "AgreementHosts.h"
#include "Bench.h"
#include "damasklink/transport/Log.h"

namespace damasklink::bench {
namespace {

namespace fs = std::filesystem;
using Seconds = std::chrono::duration<double>;
using Milliseconds = std::chrono::duration<double, std::milli>;

constexpr std::uint16_t kFirstPort = 21100;
constexpr std::size_t kCommandBytes = 100;
// What the control traffic of a host may take.
constexpr double kMostBytesASecond = 2048;
constexpr Duration kProposalTimeout = std::chrono::seconds(30);

MonotonicTime
Now()
{
  return std::chrono::steady_clock::now();
}

// Says what went wrong and ends the bench.
[[noreturn]] void
GiveUp(const std::string& aReason)
{
  std::cerr << aReason << std::endl;
  std::_Exit(1);
}

// A new folder on the disk under test, removed at the end.
class ScratchFolder
{
public:
  explicit ScratchFolder(const std::string& aParent)
    : path(aParent + "/damasklink-bench-XXXXXX")
  {
    if (mkdtemp(this->path.data()) == nullptr) {
      GiveUp("cannot create a folder in " + aParent);
    }
  }
  ~ScratchFolder() { fs::remove_all(this->path); }
  ScratchFolder(const ScratchFolder&) = delete;
  ScratchFolder& operator=(const ScratchFolder&) = delete;

  const std::string& Path() const { return this->path; }

private:
  std::string path;
};

// The hosts of one measurement.
class System
{
public:
  System(std::size_t aHosts, std::string aFolder, std::uint16_t aFirstPort)
    : folder(std::move(aFolder))
  {
    for (std::size_t index = 0; index < aHosts; ++index) {
      PeerSettings peer;
      peer.host = HostId(Concat("host-", index));
      peer.zone = ZoneId(Concat("zone-", index));
      peer.peers = Endpoint{ "127.0.0.1", static_cast<std::uint16_t>(aFirstPort + index) };
      peer.disk = true;
      this->peers.push_back(peer);
    }
    this->hosts.resize(aHosts);
    for (std::size_t index = 0; index < aHosts; ++index) {
      this->Start(index);
    }
  }

  void Start(std::size_t aIndex)
  {
    this->hosts[aIndex] = std::make_unique<AgreementHost>(this->peers, aIndex, this->folder);
    if (auto started = this->hosts[aIndex]->Start(); !started) {
      GiveUp(Describe(started.error()));
    }
  }

  void End(std::size_t aIndex) { this->hosts[aIndex].reset(); }

  // Waits for a leader of the control group that holds its lease and returns which host it is.
  std::size_t WaitForLeader()
  {
    while (true) {
      for (std::size_t index = 0; index < this->hosts.size(); ++index) {
        if (this->hosts[index] != nullptr && this->hosts[index]->LeadsControl()) {
          return index;
        }
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  AgreementHost& Host(std::size_t aIndex) { return *this->hosts[aIndex]; }
  std::size_t Size() const { return this->hosts.size(); }

private:
  std::string folder;
  std::vector<PeerSettings> peers;
  std::vector<std::unique_ptr<AgreementHost>> hosts;
};

// Keeps a number of proposals under way until enough are done.
class Load
{
public:
  Load(AgreementHost& aHost, std::size_t aTotal)
    : host(aHost)
    , total(aTotal)
  {
    this->latencies.reserve(aTotal);
  }

  // Returns how long all took.
  Seconds Run(std::size_t aUnderWay)
  {
    const MonotonicTime start = Now();
    this->host.Control().Post([this, aUnderWay] {
      for (std::size_t index = 0; index < std::min(aUnderWay, this->total); ++index) {
        this->ProposeNext();
      }
    });
    const auto done = [this]()
                        ABSL_EXCLUSIVE_LOCKS_REQUIRED(this->mutex) { return this->finished; };
    absl::MutexLock lock(&this->mutex);
    this->mutex.Await(absl::Condition(&done));
    return Now() - start;
  }

  Milliseconds Quantile(double aShare)
  {
    std::sort(this->latencies.begin(), this->latencies.end());
    const auto position =
      static_cast<std::size_t>(aShare * static_cast<double>(this->latencies.size() - 1));
    return this->latencies[position];
  }

private:
  // On the control thread.
  void ProposeNext()
  {
    ++this->started;
    const MonotonicTime start = Now();
    this->host.Module().Propose(
      ControlGroupId(),
      StateMachineId::Configuration,
      std::string(kCommandBytes, 'x'),
      kProposalTimeout,
      [this, start](const Result<std::string>& aAnswer) { this->Finish(start, aAnswer); });
  }

  void Finish(MonotonicTime aStart, const Result<std::string>& aAnswer)
  {
    if (!aAnswer) {
      GiveUp(Describe(aAnswer.error()));
    }
    this->latencies.push_back(Now() - aStart);
    if (this->started < this->total) {
      this->ProposeNext();
    }
    if (this->latencies.size() == this->total) {
      absl::MutexLock lock(&this->mutex);
      this->finished = true;
    }
  }

  AgreementHost& host;
  std::size_t total;
  std::size_t started = 0;
  std::vector<Milliseconds> latencies;
  absl::Mutex mutex;
  bool finished ABSL_GUARDED_BY(mutex) = false;
};

// Returns how many appends with a sync of their own the disk takes a second: what a log without
// group commit could reach at best.
double
MeasureSyncs(const std::string& aFolder)
{
  constexpr int kSyncs = 500;
  PosixDisk disk;
  auto file = disk.Open(aFolder + "/syncs");
  const std::string record(kCommandBytes, 'x');
  const MonotonicTime start = Now();
  for (int index = 0; index < kSyncs; ++index) {
    if (!file.value()->Append(record) || !file.value()->Sync()) {
      GiveUp("cannot sync a file in " + aFolder);
    }
  }
  return kSyncs / Seconds(Now() - start).count();
}

void
MeasureThroughput(std::size_t aVoters, const std::string& aFolder, double aSyncs)
{
  ScratchFolder folder(aFolder);
  System system(aVoters, folder.Path(), kFirstPort);
  const std::size_t leader = system.WaitForLeader();
  struct Case
  {
    std::size_t underWay;
    std::size_t total;
  };
  for (const Case& load : { Case{ 1, 300 }, Case{ 64, 10'000 }, Case{ 1024, 50'000 } }) {
    Load run(system.Host(leader), load.total);
    const Seconds took = run.Run(load.underWay);
    const double rate = static_cast<double>(load.total) / took.count();
    absl::PrintF("changes   voters=%d under_way=%4d per_second=%8.0f per_sync=%6.2f "
                 "p50_ms=%7.2f p99_ms=%7.2f\n",
                 aVoters,
                 load.underWay,
                 rate,
                 rate / aSyncs,
                 run.Quantile(0.5).count(),
                 run.Quantile(0.99).count());
  }
}

Seconds
ProcessorTime()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto seconds = [](const timeval& aTime) {
    constexpr double kMicro = 1e-6;
    return static_cast<double>(aTime.tv_sec) + kMicro * static_cast<double>(aTime.tv_usec);
  };
  return Seconds(seconds(usage.ru_utime) + seconds(usage.ru_stime));
}

void
MeasureIdle(const std::string& aFolder)
{
  constexpr auto kSettle = std::chrono::seconds(3);
  constexpr auto kIdle = std::chrono::seconds(10);
  ScratchFolder folder(aFolder);
  System system(3, folder.Path(), kFirstPort);
  const std::size_t leader = system.WaitForLeader();
  std::this_thread::sleep_for(kSettle);
  const LinkBytes& link = system.Host(leader).Bytes();
  const std::uint64_t outBefore = link.out;
  const std::uint64_t inBefore = link.in;
  const Seconds usedBefore = ProcessorTime();
  std::this_thread::sleep_for(kIdle);
  const Seconds used = ProcessorTime() - usedBefore;
  const auto seconds = static_cast<double>(kIdle.count());
  const double out = static_cast<double>(link.out - outBefore) / seconds;
  const double in = static_cast<double>(link.in - inBefore) / seconds;
  absl::PrintF(
    "idle      voters=3 leader_out_bytes_per_second=%.0f leader_in_bytes_per_second=%.0f "
    "share_of_2KB=%.2f processor_percent_a_host=%.3f\n",
    out,
    in,
    (out + in) / kMostBytesASecond,
    100 * used.count() / seconds / static_cast<double>(system.Size()));
}

void
MeasureElections(const std::string& aFolder, bool aHandOver)
{
  constexpr int kRounds = 7;
  ScratchFolder folder(aFolder);
  System system(3, folder.Path(), kFirstPort);
  std::vector<Milliseconds> gaps;
  for (int round = 0; round < kRounds; ++round) {
    const std::size_t leader = system.WaitForLeader();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const MonotonicTime start = Now();
    if (aHandOver) {
      system.Host(leader).Control().AnnounceShutdown();
    } else {
      system.End(leader);
    }
    system.WaitForLeader();
    gaps.push_back(Now() - start);
    system.End(leader);
    system.Start(leader);
  }
  std::sort(gaps.begin(), gaps.end());
  absl::PrintF("no_leader voters=3 how=%s rounds=%d median_ms=%.0f most_ms=%.0f\n",
               aHandOver ? "shutdown" : "killed",
               kRounds,
               gaps[gaps.size() / 2].count(),
               gaps.back().count());
}

std::uint64_t
BytesBelow(const std::string& aFolder)
{
  std::uint64_t bytes = 0;
  for (const auto& entry : fs::recursive_directory_iterator(aFolder)) {
    bytes += entry.is_regular_file() ? entry.file_size() : 0;
  }
  return bytes;
}

void
MeasureRestart(const std::string& aFolder)
{
  constexpr std::size_t kChanges = 100'000;
  constexpr std::size_t kUnderWay = 1024;
  constexpr double kKibi = 1024;
  ScratchFolder folder(aFolder);
  System system(1, folder.Path(), kFirstPort);
  system.WaitForLeader();
  Load run(system.Host(0), kChanges);
  const Seconds took = run.Run(kUnderWay);
  system.End(0);
  const auto bytes = static_cast<double>(BytesBelow(folder.Path()));
  const MonotonicTime start = Now();
  system.Start(0);
  system.WaitForLeader();
  const Milliseconds restart = Now() - start;
  absl::PrintF("restart   changes=%d restart_ms=%.0f share_of_writing=%.4f disk_kib=%.0f "
               "applied=%d\n",
               kChanges,
               restart.count(),
               Seconds(restart) / took,
               bytes / kKibi,
               system.Host(0).Applied());
}

} // namespace

int
RunAgreement(const std::vector<std::string>& aArguments)
{
  const std::string folder =
    aArguments.empty() ? fs::temp_directory_path().string() : aArguments[0];
  StartLogging(LogLevel::Error);
  const double syncs = [&] {
    ScratchFolder scratch(folder);
    return MeasureSyncs(scratch.Path());
  }();
  absl::PrintF("disk      syncs_per_second=%.0f\n", syncs);
  MeasureThroughput(1, folder, syncs);
  MeasureThroughput(3, folder, syncs);
  MeasureIdle(folder);
  MeasureElections(folder, false);
  MeasureElections(folder, true);
  MeasureRestart(folder);
  return 0;
}

} // namespace damasklink::bench
