#include "damasklink/coordination/ConnectionAdmission.h"

#include <algorithm>

namespace damasklink {

bool
ConnectionAdmission::TryAdmit(Duration aLag)
{
  if (aLag > kMaxLag || this->admitted >= this->limit) {
    ++this->declined;
    return false;
  }
  ++this->admitted;
  return true;
}

void
ConnectionAdmission::OnInterval(Duration aLag)
{
  this->overloaded = aLag > kMaxLag;
  if (this->overloaded) {
    // Connections beyond those that were admitted have not caused the lag.
    this->limit = std::max(std::min(this->limit, this->admitted) / 2, kMinLimit);
  } else if (this->admitted >= this->limit) {
    this->limit = std::min(this->limit + this->limit / 4 + 1, kMaxLimit);
  } else {
    this->limit = std::max(this->limit, std::min(this->limit + 1, kInitialLimit));
  }
  this->admitted = 0;
  this->declined = 0;
}

} // namespace damasklink
