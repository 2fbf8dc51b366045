#include "damasklink/transport/LogLineQueue.h"

#include <algorithm>
#include <string_view>
#include <utility>
#include <vector>

#include "damasklink/state/Text.h"

namespace damasklink {
namespace {

constexpr std::string_view kOtherEvents = "other";

// Returns the value of one of the first fields, which are never quoted.
std::string
FieldOf(const std::string& aLine, std::string_view aName)
{
  const std::string key = Concat(" ", aName, "=");
  const std::size_t found = aLine.find(key);
  if (found == std::string::npos) {
    return "";
  }
  const std::size_t begin = found + key.size();
  return aLine.substr(begin, aLine.find(' ', begin) - begin);
}

bool
IsKeptFirst(const std::string& aLine)
{
  const std::string level = FieldOf(aLine, "level");
  return level == "warning" || level == "error";
}

} // namespace

void
LogLineQueue::Add(std::string aLine)
{
  if (this->Flush() && this->write(aLine + "\n")) {
    return;
  }
  if (IsKeptFirst(aLine) && this->keptBytes + aLine.size() <= kMostKeptBytes) {
    this->keptBytes += aLine.size();
    this->kept.push_back(std::move(aLine));
    return;
  }
  this->Drop(aLine);
}

bool
LogLineQueue::Flush()
{
  while (!this->kept.empty()) {
    if (!this->write(this->kept.front() + "\n")) {
      return false;
    }
    this->keptBytes -= this->kept.front().size();
    this->kept.pop_front();
  }
  if (this->dropped > 0) {
    if (!this->write(this->Report())) {
      return false;
    }
    this->dropped = 0;
    this->droppedByEvent.clear();
  }
  return true;
}

void
LogLineQueue::Drop(const std::string& aLine)
{
  ++this->dropped;
  const std::string event = FieldOf(aLine, "event");
  const bool counted =
    this->droppedByEvent.contains(event) || this->droppedByEvent.size() < kMostCounted;
  ++this->droppedByEvent[counted ? event : std::string(kOtherEvents)];
}

std::string
LogLineQueue::Report() const
{
  std::vector<std::pair<std::uint64_t, std::string>> events;
  for (const auto& [event, count] : this->droppedByEvent) {
    if (event != kOtherEvents) {
      events.emplace_back(count, event);
    }
  }
  std::sort(events.rbegin(), events.rend());
  events.resize(std::min(events.size(), kMostNamed));
  std::uint64_t rest = this->dropped;
  std::string named;
  for (const auto& [count, event] : events) {
    named += Concat(event, ":", count, ",");
    rest -= count;
  }
  return Concat("level=warning event=log_lines_dropped count=",
                this->dropped,
                " by_event=",
                named,
                kOtherEvents,
                ":",
                rest,
                "\n");
}

} // namespace damasklink
