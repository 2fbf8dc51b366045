// Counts the bytes that a process keeps for others and bounds them by the memory of its machine.
//
//   MemoryBudget budget(settings.memory);
//   auto body = budget.TryReserve(MemoryUse::RequestBodies, size);
//   if (!body) ...                    // No room: wait, or refuse.
//   if (!body->TryResize(larger)) ...
//   // Going out of scope gives the bytes back.
//
// A part of the budget is left to small reservations, so that small requests are served while large
// ones fill the rest.
//
// Must outlive its reservations. Not thread-safe: belongs to one event loop.
#pragma once

#include <array>
#include <cstddef>
#include <functional>
#include <optional>
#include <string_view>

#include "damasklink/state/Ids.h"

namespace damasklink {

// What bytes are kept for.
enum class MemoryUse
{
  RequestBodies,
  Responses,
  Events,         // Parts of events that are not complete yet.
  ForwardedCalls, // Copies that are sent to or come from other hosts.
  PeerQueues,     // Frames that wait to be written to other hosts.
  PeerFrames,     // Frames that are being read from other hosts.
};

// How many uses there are; follows the last one.
constexpr std::size_t kMemoryUseCount = static_cast<std::size_t>(MemoryUse::PeerFrames) + 1;

// Returns the name used in logs and metrics.
std::string_view
MemoryUseName(MemoryUse aUse);

class MemoryBudget;

// Bytes of a budget, which are given back on destruction. An empty reservation belongs to none.
class MemoryReservation
{
public:
  MemoryReservation() = default;
  ~MemoryReservation() { this->Release(); }
  MemoryReservation(MemoryReservation&& aOther) noexcept;
  MemoryReservation& operator=(MemoryReservation&& aOther) noexcept;
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;

  std::size_t Bytes() const { return this->bytes; }

  // Changes the size; shrinking always succeeds. Returns false, and changes nothing, when there is
  // no room. Requires a reservation of a budget.
  bool TryResize(std::size_t aBytes);

  void Release();

private:
  friend class MemoryBudget;

  MemoryReservation(MemoryBudget& aBudget, MemoryUse aUse)
    : budget(&aBudget)
    , use(aUse)
  {
  }

  MemoryBudget* budget = nullptr;
  MemoryUse use = MemoryUse::RequestBodies;
  std::size_t bytes = 0;
};

class MemoryBudget
{
public:
  // A reservation up to this size counts as small.
  static constexpr std::size_t kSmallBytes = std::size_t{ 64 } * 1024;

  // aMachine is what the process may use in total.
  explicit MemoryBudget(ByteCount aMachine);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  // Sets what the process uses for itself, which is not left for others.
  void SetOwnUse(ByteCount aOwn);

  // Returns a reservation, or nothing when there is no room. One of zero bytes always succeeds.
  std::optional<MemoryReservation> TryReserve(MemoryUse aUse, std::size_t aBytes);

  // Returns whether a reservation of this size could succeed if nothing was reserved.
  bool CouldEverFit(std::size_t aBytes) const { return aBytes <= this->LimitFor(aBytes); }

  // Returns how many bytes a reservation of this size lacks at the moment; zero if it would
  // succeed.
  std::size_t Missing(std::size_t aBytes) const;

  std::size_t Limit() const { return this->limit; }
  std::size_t Held() const { return this->held; }
  std::size_t HeldFor(MemoryUse aUse) const { return this->heldByUse[Index(aUse)]; }

  // Calls the handler after bytes were given back. It must not change reservations.
  void OnRelease(std::function<void(MemoryUse, std::size_t)> aHandler)
  {
    this->released = std::move(aHandler);
  }

private:
  friend class MemoryReservation;

  static std::size_t Index(MemoryUse aUse) { return static_cast<std::size_t>(aUse); }

  std::size_t LimitFor(std::size_t aBytes) const;
  // Returns whether the change was made.
  bool TryChange(MemoryUse aUse, std::size_t aFrom, std::size_t aTo);

  std::size_t machine;
  std::size_t limit = 0;
  std::size_t held = 0;
  std::array<std::size_t, kMemoryUseCount> heldByUse{};
  std::function<void(MemoryUse, std::size_t)> released;
};

} // namespace damasklink
