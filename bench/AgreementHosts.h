// Whole agreement of a few hosts in this process: real files, real loopback links, real threads.
#pragma once

#include <atomic>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "AgreementModule.h"
#include "damasklink/state/Text.h"

namespace damasklink::bench {

// Keeps the bytes of the links only.
class LinkBytes final : public Metrics
{
public:
  void Add(Counter aCounter, const MetricKey& /*aKey*/, std::uint64_t aAmount) override
  {
    if (aCounter == Counter::PeerBytesOut) {
      this->out += aAmount;
    } else if (aCounter == Counter::PeerBytesIn) {
      this->in += aAmount;
    }
  }
  void Observe(Sample /*aSample*/, const MetricKey& /*aKey*/, Duration /*aValue*/) override {}
  void CountServiceLevel(const WorkspaceId& /*aWorkspace*/, bool /*aGood*/) override {}

  std::atomic<std::uint64_t> out{ 0 };
  std::atomic<std::uint64_t> in{ 0 };
};

// Counts its commands.
class CountMachine final : public ReplicatedStateMachine
{
public:
  std::string Apply(const ApplyContext& /*aContext*/, std::string_view /*aCommand*/) override
  {
    return std::to_string(++this->count);
  }
  std::string Save() const override { return std::to_string(this->count); }
  Result<void> Load(std::string_view aSnapshot) override
  {
    this->count = std::stoull(std::string(aSnapshot));
    return Success();
  }

  std::atomic<std::uint64_t> count{ 0 };
};

// One host with a disk, each in a zone of its own.
class AgreementHost
{
public:
  AgreementHost(std::vector<PeerSettings> aPeers, std::size_t aIndex, const std::string& aFolder)
    : settings(MakeSettings(std::move(aPeers), aIndex, aFolder))
    , publisher(this->views)
    , control(this->clock, kMailbox)
    , network(this->settings,
              this->metrics,
              [this](HostId aFrom, PeerMessage aMessage) {
                this->control.PostPeerMessage(std::move(aFrom), std::move(aMessage));
              })
    , context{ this->settings, this->clock, this->metrics,   this->control,
               this->network,  this->views, this->publisher, this->phase }
    , module(this->context)
  {
    this->module.AddMachine(ControlGroupId(), StateMachineId::Configuration, this->machine);
    this->control.Add(Channel::Agreement, this->module);
  }

  ~AgreementHost()
  {
    this->network.Stop();
    this->control.Stop();
  }
  AgreementHost(const AgreementHost&) = delete;
  AgreementHost& operator=(const AgreementHost&) = delete;

  Result<void> Start()
  {
    if (auto opened = this->module.Open(); !opened) {
      return opened;
    }
    this->control.Start();
    return this->network.Start();
  }

  // Runs a function on the control thread and returns its value.
  template<typename Value>
  Value Ask(std::function<Value()> aFunction)
  {
    std::promise<Value> promise;
    auto future = promise.get_future();
    while (!this->control.Post([&] { promise.set_value(aFunction()); })) {
      std::this_thread::yield();
    }
    return future.get();
  }

  bool LeadsControl()
  {
    return this->Ask<bool>([this] { return this->module.Status(ControlGroupId()).leaseHeld; });
  }

  ControlLoop& Control() { return this->control; }
  AgreementModule& Module() { return this->module; }
  const LinkBytes& Bytes() const { return this->metrics; }
  std::uint64_t Applied() const { return this->machine.count; }

private:
  static constexpr std::size_t kMailbox = 65'536;

  static HostSettings MakeSettings(std::vector<PeerSettings> aPeers,
                                   std::size_t aIndex,
                                   const std::string& aFolder)
  {
    HostSettings settings;
    settings.host = aPeers[aIndex].host;
    settings.zone = aPeers[aIndex].zone;
    settings.listen.peers = aPeers[aIndex].peers;
    settings.dataFolder = Concat(aFolder, "/", settings.host.Value());
    settings.peers = std::move(aPeers);
    return settings;
  }

  HostSettings settings;
  SystemClock clock;
  LinkBytes metrics;
  TrafficViewHolder views;
  ViewPublisher publisher;
  std::atomic<HostPhase> phase{ HostPhase::Ready };
  ControlLoop control;
  PeerNetwork network;
  HostContext context;
  CountMachine machine;
  AgreementModule module;
};

} // namespace damasklink::bench
