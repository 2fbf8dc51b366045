#include "damasklink/coordination/DepartedTargets.h"

#include <algorithm>

namespace damasklink {

bool
DepartedTargets::Add(const DepartedTarget& aDeparture)
{
  if (this->Contains(aDeparture.target, aDeparture.incarnation)) {
    return false;
  }
  this->Insert(++this->count, aDeparture);
  if (this->byNumber.size() > kMaxKept) {
    const auto earliest = this->byNumber.begin();
    this->numbers.erase(earliest->second.target);
    this->byNumber.erase(earliest);
  }
  return true;
}

void
DepartedTargets::Insert(std::uint64_t aNumber, const DepartedTarget& aDeparture)
{
  const auto [position, isNew] = this->numbers.try_emplace(aDeparture.target, aNumber);
  if (!isNew) {
    this->byNumber.erase(position->second);
    position->second = aNumber;
  }
  this->byNumber.emplace(aNumber, aDeparture);
}

bool
DepartedTargets::Contains(const TargetId& aTarget, Incarnation aIncarnation) const
{
  const auto found = this->numbers.find(aTarget);
  return found != this->numbers.end() &&
         aIncarnation <= this->byNumber.at(found->second).incarnation;
}

std::vector<DepartedTarget>
DepartedTargets::After(std::uint64_t aCount) const
{
  std::vector<DepartedTarget> added;
  for (auto position = this->byNumber.upper_bound(aCount); position != this->byNumber.end();
       ++position) {
    added.push_back(position->second);
  }
  return added;
}

// The departures get the highest numbers up to aCount. Numbers that were not kept lie below them,
// so After() returns at least what it would have returned before.
void
DepartedTargets::Restore(std::uint64_t aCount, const std::vector<DepartedTarget>& aDepartures)
{
  this->byNumber.clear();
  this->numbers.clear();
  this->count = aCount;
  std::uint64_t number = aCount - std::min<std::uint64_t>(aCount, aDepartures.size());
  for (const DepartedTarget& departure : aDepartures) {
    this->Insert(++number, departure);
  }
}

} // namespace damasklink
