// Encodes the messages that are sent over Channel::Forwarding.
//
// An entry host that reaches no target of a service hands a call to another entry host. That host
// declines it, or runs it like a call of its own and returns the response:
//
//   ForwardedCall  ->
//                  <-  ForwardingDecline
//              or  <-  ForwardedHead, ForwardedChunk..., ForwardedEnd
//   ForwardingCancel ->    (the caller left)
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "damasklink/protocol/HttpMessage.h"
#include "damasklink/state/Clock.h"
#include "damasklink/state/Ids.h"

namespace damasklink {

// Numbers the calls that one host forwards.
using CallNumber = NumberId<struct CallNumberTag>;

// A call as its caller sent it, with what is left of its limits.
struct ForwardedCall
{
  CallNumber number;
  HttpRequestHead head;
  std::string body;
  ServiceName service;
  Duration timeLeft{ 0 };
  // The configuration by which the call was found to be valid. A host with an older one declines.
  Revision configuration;
  // Number of targets that the call may still be sent to.
  std::uint64_t sendsLeft = 0;
  // The last event that the caller has received of a stream that is resumed.
  std::optional<std::uint64_t> lastEvent;
  // The software version that began the stream, if it must be continued on the same one.
  std::optional<SoftwareVersion> software;
};

// Why a host did not take a call. The numbers are sent between hosts.
enum class DeclineReason : std::uint8_t
{
  Stopping = 1,
  OlderConfiguration = 2,
  Overloaded = 3,
  // It reaches no target of the service either.
  Unreachable = 4,
};

// Returns the name used in logs and metrics.
std::string_view
DeclineReasonName(DeclineReason aReason);

// The host did not take the call and never sends it to a target.
struct ForwardingDecline
{
  CallNumber number;
  DeclineReason reason = DeclineReason::Stopping;
};

// The head of the response with the first bytes of its body.
struct ForwardedHead
{
  CallNumber number;
  HttpResponseHead head;
  std::string bytes;
  // The response is complete; otherwise chunks and an end follow.
  bool whole = false;
  // The software version of the target that streams the response.
  std::optional<SoftwareVersion> software;
};

struct ForwardedChunk
{
  CallNumber number;
  std::string bytes;
};

struct ForwardedEnd
{
  CallNumber number;
  // Whether the response is complete, or broke off.
  bool complete = false;
};

struct ForwardingCancel
{
  CallNumber number;
};

using ForwardingMessage = std::variant<ForwardedCall,
                                       ForwardingDecline,
                                       ForwardedHead,
                                       ForwardedChunk,
                                       ForwardedEnd,
                                       ForwardingCancel>;

CallNumber
NumberOf(const ForwardingMessage& aMessage);

std::string
EncodeForwardingMessage(const ForwardingMessage& aMessage);

// Fails with Corrupt.
Result<ForwardingMessage>
DecodeForwardingMessage(std::string_view aBytes);

} // namespace damasklink
