// Runs the events of a simulation in virtual time.
//
//   EventQueue events(clock);
//   events.After(milliseconds(5), [&] { Deliver(message); });
//   events.RunUntil(end);
//
// Events of the same time run in the order in which they were added.
#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

#include "damasklink/state/Clock.h"

namespace damasklink::testing {

class EventQueue
{
public:
  explicit EventQueue(ManualClock& aClock)
    : clock(aClock)
  {
  }

  // Adds an event that runs aDelay from now.
  void After(Duration aDelay, std::function<void()> aRun)
  {
    this->events.push(
      Event{ this->clock.MonotonicNow() + aDelay, this->nextOrder++, std::move(aRun) });
  }

  // Runs all events before aEnd, also those that these add.
  void RunUntil(MonotonicTime aEnd)
  {
    while (!this->events.empty() && this->events.top().at < aEnd) {
      const Event event = this->events.top();
      this->events.pop();
      this->clock.Advance(event.at - this->clock.MonotonicNow());
      event.run();
    }
  }

private:
  struct Event
  {
    MonotonicTime at;
    std::uint64_t order;
    std::function<void()> run;

    // The earliest event is the greatest, as std::priority_queue wants.
    bool operator<(const Event& aOther) const
    {
      return std::tie(this->at, this->order) > std::tie(aOther.at, aOther.order);
    }
  };

  ManualClock& clock;
  std::priority_queue<Event> events;
  std::uint64_t nextOrder = 0;
};

} // namespace damasklink::testing
