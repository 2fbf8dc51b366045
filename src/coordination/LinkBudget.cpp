#include "damasklink/coordination/LinkBudget.h"

#include <algorithm>

#include "damasklink/state/Units.h"

namespace damasklink {
namespace {

constexpr Duration kWindow = std::chrono::seconds(1);
// How long a refused import blocks exports; it is retried sooner than that.
constexpr Duration kImportPriorityTime = std::chrono::milliseconds(200);
// Weight of a new observation in the moving average of the rate.
constexpr double kRateSmoothing = 0.3;
// Upper limit of the time that a caller waits for an import, whatever the weights.
constexpr Duration kMaxImportTime = std::chrono::seconds(10);
constexpr double kTokensPerRecomputeUnit = 1000;

} // namespace

LinkBudget::LinkBudget(const Clock& aClock, ByteCount aBytesPerSecond)
  : clock(aClock)
  , budget(aBytesPerSecond)
  , rate(static_cast<double>(aBytesPerSecond.Value()))
{
}

bool
LinkBudget::TryAcquire(Transfer aKind, ByteCount aBytes)
{
  const MonotonicTime now = this->clock.MonotonicNow();
  this->DropExpiredGrants(now);
  const bool yields = aKind == Transfer::Export && now < this->importWaitsUntil;
  const bool fits = this->grantedBytes + aBytes.Value() <= this->budget.Value();
  if (yields || !fits) {
    if (aKind == Transfer::Import) {
      this->importWaitsUntil = now + kImportPriorityTime;
    }
    return false;
  }
  this->grants.push_back({ now, aBytes.Value() });
  this->grantedBytes += aBytes.Value();
  this->inFlight = ByteCount(this->inFlight.Value() + aBytes.Value());
  return true;
}

void
LinkBudget::DropExpiredGrants(MonotonicTime aNow)
{
  while (!this->grants.empty() && aNow - this->grants.front().at >= kWindow) {
    this->grantedBytes -= this->grants.front().bytes;
    this->grants.pop_front();
  }
}

void
LinkBudget::RemoveInFlight(ByteCount aBytes)
{
  this->inFlight =
    ByteCount(this->inFlight.Value() - std::min(this->inFlight.Value(), aBytes.Value()));
}

void
LinkBudget::OnMoved(ByteCount aBytes, Duration aElapsed)
{
  const double seconds = std::chrono::duration<double>(aElapsed).count();
  if (seconds > 0) {
    // All transfers in flight shared the link during this time.
    const auto moved = static_cast<double>(std::max(aBytes.Value(), this->inFlight.Value()));
    const auto maxRate = static_cast<double>(this->budget.Value());
    const double observed = std::min(maxRate, moved / seconds);
    this->rate += kRateSmoothing * (observed - this->rate);
  }
  this->RemoveInFlight(aBytes);
}

void
LinkBudget::OnFailed(ByteCount aBytes)
{
  this->RemoveInFlight(aBytes);
  this->rate *= 1 - kRateSmoothing;
}

double
LinkBudget::RateFor(ByteCount aBytes) const
{
  if (aBytes.Value() == 0) {
    return this->rate;
  }
  const auto bytes = static_cast<double>(aBytes.Value());
  return this->rate * bytes / (bytes + static_cast<double>(this->inFlight.Value()));
}

Duration
ImportTimeLimit(const RemainingImport& aImport, const ObjectiveWeights& aWeights)
{
  if (aImport.tokensPerSecond <= 0) {
    return kMaxImportTime;
  }
  const auto tokens = static_cast<double>(aImport.tokens.Value());
  const double mebibytes =
    static_cast<double>(aImport.bytes.Value()) / static_cast<double>(kMebibyte);
  const double computing = tokens / aImport.tokensPerSecond;
  // Both alternatives are priced by the same weights. The difference in other costs is converted
  // into seconds by the price of time.
  const double otherSavings =
    (aWeights.recompute * tokens / kTokensPerRecomputeUnit) - (aWeights.link * mebibytes);
  const double limit = std::chrono::duration<double>(kMaxImportTime).count();
  const double seconds = aWeights.time > 0 ? computing + (otherSavings / aWeights.time) : limit;
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::clamp(seconds, 0.0, limit)));
}

bool
ShouldAbandonImport(const RemainingImport& aImport, const ObjectiveWeights& aWeights)
{
  if (aImport.bytesPerSecond <= 0) {
    return true;
  }
  const std::chrono::duration<double> importing(static_cast<double>(aImport.bytes.Value()) /
                                                aImport.bytesPerSecond);
  return importing > ImportTimeLimit(aImport, aWeights);
}

} // namespace damasklink
