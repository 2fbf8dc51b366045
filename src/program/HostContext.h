// What the parts of one host process share.
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

// Where a host is in its life.
enum class HostPhase
{
  Starting,
  Ready,
  Leaving,
};

// Changes the picture that traffic threads read. On the control thread only.
class ViewPublisher
{
public:
  explicit ViewPublisher(TrafficViewHolder& aHolder)
    : holder(aHolder)
  {
  }

  // Lets aChange edit the control thread's own copy, then publishes it.
  void Change(const std::function<void(TrafficView&)>& aChange)
  {
    aChange(this->view);
    this->holder.Publish(this->view);
  }

  // Returns the control thread's own copy.
  const TrafficView& Current() const { return this->view; }

private:
  TrafficViewHolder& holder;
  TrafficView view;
};

// Handed to each part by reference; outlives them all.
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

// The servers of one host, for adding routes.
struct HostServers
{
  HttpServer& callers;
  HttpServer& operators;
  HttpServer& targets;
};

} // namespace damasklink
