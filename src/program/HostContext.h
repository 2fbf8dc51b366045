// What the subsystems of a host process share.
#pragma once

#include <atomic>
#include <functional>

#include "TrafficView.h"
#include "damasklink/state/Metrics.h"
#include "damasklink/state/Settings.h"
#include "damasklink/transport/ControlLoop.h"
#include "damasklink/transport/HttpServer.h"
#include "damasklink/transport/PeerNetwork.h"

namespace damasklink {

// Life cycle of a host. Starting: not ready for requests yet. Leaving: refuses new requests.
enum class HostPhase
{
  Starting,
  Ready,
  Leaving,
};

// Changes the view that traffic threads read. To be used on the control thread only.
class ViewPublisher
{
public:
  explicit ViewPublisher(TrafficViewHolder& aHolder)
    : holder(aHolder)
  {
  }

  // Applies aChange to the control thread's copy of the view, and publishes the result.
  void Change(const std::function<void(TrafficView&)>& aChange)
  {
    aChange(this->view);
    this->holder.Publish(this->view);
  }

  // Returns the control thread's copy.
  const TrafficView& Current() const { return this->view; }

private:
  TrafficViewHolder& holder;
  TrafficView view;
};

// Passed by reference to each subsystem and module; must outlive them.
struct HostContext
{
  const HostSettings& settings;
  const Clock& clock;
  Metrics& metrics;
  ControlLoop& control;
  PeerSender& peers;
  TrafficViewHolder& views;
  ViewPublisher& publisher;
  std::atomic<HostPhase>& phase;
};

// The HTTP servers of a host, to which the subsystems add their routes.
struct HostServers
{
  HttpServer& callers;
  HttpServer& operators;
  HttpServer& targets;
};

} // namespace damasklink
