// An attempt beside one whose target is silent. It takes the place of the first one only once its
// response has begun, so nothing is closed before something better is there.
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "CallForwarder.h"
#include "damasklink/coordination/TargetSelector.h"
#include "damasklink/transport/TargetConnection.h"

namespace damasklink {

// Belongs to one Exchange, and to the coroutine that makes the attempt. That coroutine must not
// touch the exchange once the attempt is cancelled, since the exchange may be gone.
struct StandbyAttempt
{
  enum class Stage
  {
    Searching, // Nothing was sent.
    Sent,
    Accepted, // The response has begun.
    Ended,    // Nothing takes the place of the first attempt.
  };

  explicit StandbyAttempt(asio::io_context& aLoop)
    : changed(aLoop)
  {
  }

  // Tells the one who waits for the end of this attempt.
  void SetStage(Stage aStage)
  {
    this->stage = aStage;
    this->changed.cancel();
  }

  // Closes what it has opened. Pending operations fail.
  void Cancel()
  {
    this->cancelled = true;
    if (this->channel != nullptr) {
      this->channel->Close();
    }
    if (this->forwardingWait != nullptr) {
      this->forwardingWait->End();
    }
    if (this->forwarded != nullptr) {
      this->forwarded->Close();
    }
    this->SetStage(Stage::Ended);
  }

  Stage stage = Stage::Searching;
  bool cancelled = false;
  // Made because the first attempt is slow, not because its target may be gone: once, and within
  // the operator's limit.
  bool hedge = false;
  // Its target is silent, too.
  bool givenUp = false;
  // The first attempt has ended, so this one is not followed by another.
  bool isLast = false;
  // Waited on for a change of the stage.
  asio::steady_timer changed;
  // Targets that were not reached, while others are left to try.
  std::set<TargetId> unreached;
  // Hosts that this attempt was or should have been forwarded to.
  std::set<HostId> triedHosts;

  // The target, or the host that the call is forwarded to.
  TargetRecord target;
  std::optional<HostId> host;
  std::unique_ptr<TargetConnection> channel;
  // Set while the call waits until it can be sent to another host.
  std::shared_ptr<RoomWait> forwardingWait;
  std::unique_ptr<ForwardedResponse> forwarded;
  CallLoad load;
  std::string fetchedFrom;
  MonotonicTime sentAt;
  // When the target of this attempt was last checked because of its silence.
  MonotonicTime checkedAt;
  // The head of the target's response, and the first bytes of its body if it is a stream.
  HttpResponseHead head;
  std::string firstBytes;
};

} // namespace damasklink
