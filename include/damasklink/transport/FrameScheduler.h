// Decides which frame a connection between hosts sends next, and puts fragments together.
//
// Messages are sent in the order in which they were queued, except that a large one is sent in
// fragments between the others, if the peer takes fragments. Only messages of the same channel,
// group and stream wait for it.
//
//   FrameScheduler scheduler(HostId("10.1.0.4"));
//   scheduler.Push(std::move(message));
//   const std::string bytes = scheduler.Next(kWriteBytes); // Frames with their length prefixes.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>

#include "damasklink/protocol/Envelope.h"
#include "damasklink/transport/PeerNetwork.h"

namespace damasklink {

class FrameScheduler
{
public:
  // Payloads above this size are sent in fragments of this size.
  static constexpr std::size_t kFragmentBytes = std::size_t{ 32 } * 1024;

  explicit FrameScheduler(HostId aSelf);

  // Called once the peer has shown that it puts fragments together. Until then all messages are
  // sent whole.
  void AllowFragments() { this->fragmentsAllowed = true; }

  void Push(PeerMessage aMessage);

  // Takes frames off the queue until they have about so many bytes, or none is left. At least one
  // fragment is among them if a large message waits.
  std::string Next(std::size_t aBytes);

  // Bytes of the messages that are queued, including what is left of those that are being sent.
  std::size_t QueuedBytes() const { return this->queuedBytes; }
  // Bytes that a message adds to the queue.
  static std::size_t BytesOf(const PeerMessage& aMessage);
  // Bytes of the largest queued message; zero if none is larger than a fragment.
  std::size_t LargestBytes() const { return this->large.empty() ? 0 : *this->large.rbegin(); }

private:
  using StreamId = std::tuple<Channel, GroupId, MessageStream>;

  // A stream whose first message is being sent in fragments. The others wait for it.
  struct Blocked
  {
    std::deque<PeerMessage> messages;
    std::uint64_t number = 0;
    std::size_t offset = 0;
  };

  static StreamId StreamOf(const PeerMessage& aMessage);
  bool IsLarge(const PeerMessage& aMessage) const;
  void Begin(Blocked& aStream);
  void AppendWhole(std::string& aTo);
  void Remove(const PeerMessage& aMessage);
  void AppendFragment(std::string& aTo);
  void FinishLarge(const StreamId& aStream);
  Envelope MakeEnvelope(const PeerMessage& aMessage) const;

  HostId self;
  bool fragmentsAllowed = false;
  // Messages that are sent whole and wait for nothing but those before them.
  std::deque<PeerMessage> whole;
  std::map<StreamId, Blocked> blocked;
  // The blocked streams, in the order in which their next fragments are sent.
  std::deque<StreamId> turns;
  std::multiset<std::size_t> large;
  std::uint64_t lastNumber = 0;
  std::size_t queuedBytes = 0;
};

// Puts the fragments from one connection together.
class FragmentAssembler
{
public:
  // Returns the message once it is complete, and messages that are no fragments at once. Fails with
  // Corrupt if the fragment does not continue what came before.
  Result<std::optional<Envelope>> Add(Envelope aEnvelope);

  // Bytes that the incomplete messages will have.
  std::size_t Bytes() const { return this->bytes; }

  // Drops all incomplete messages.
  void Clear();

private:
  // By number.
  std::map<std::uint64_t, Envelope> incomplete;
  std::size_t bytes = 0;
};

} // namespace damasklink
