#include "Slope.h"

#include <algorithm>
#include <ctime>
#include <iostream>
#include <limits>

#include <malloc.h>

namespace damasklink::bench {
namespace {

constexpr int kRepeats = 5;
constexpr double kMicrosPerSecond = 1e6;
constexpr double kNanosPerMicro = 1e3;

double
Mean(const std::vector<SlopePoint>& aPoints, double SlopePoint::*aField)
{
  double sum = 0;
  for (const SlopePoint& point : aPoints) {
    sum += point.*aField;
  }
  return sum / static_cast<double>(aPoints.size());
}

} // namespace

SlopeFit
FitLine(const std::vector<SlopePoint>& aPoints)
{
  const double meanSize = Mean(aPoints, &SlopePoint::size);
  const double meanCost = Mean(aPoints, &SlopePoint::cost);
  double sizeSquares = 0;
  double products = 0;
  double costSquares = 0;
  for (const SlopePoint& point : aPoints) {
    const double size = point.size - meanSize;
    const double cost = point.cost - meanCost;
    sizeSquares += size * size;
    products += size * cost;
    costSquares += cost * cost;
  }
  SlopeFit fit;
  fit.slope = products / sizeSquares;
  fit.fixed = meanCost - fit.slope * meanSize;
  fit.quality = costSquares == 0 ? 1 : products * products / (sizeSquares * costSquares);
  return fit;
}

SlopeFit
PrintSlope(const std::string& aName,
           const std::string& aUnit,
           const std::vector<SlopePoint>& aPoints)
{
  const SlopeFit fit = FitLine(aPoints);
  std::cout << "slope name=" << aName << " unit=" << aUnit << " points=";
  const char* separator = "";
  for (const SlopePoint& point : aPoints) {
    std::cout << separator << point.size << ':' << point.cost;
    separator = ",";
  }
  std::cout << " fixed=" << fit.fixed << " slope=" << fit.slope << " quality=" << fit.quality
            << std::endl;
  return fit;
}

double
HeapBytes()
{
  const struct mallinfo2 info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

double
ThreadMicroseconds()
{
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * kMicrosPerSecond +
         static_cast<double>(time.tv_nsec) / kNanosPerMicro;
}

double
MicrosecondsPerCall(std::uint64_t aRounds, const std::function<void()>& aWork)
{
  double best = std::numeric_limits<double>::max();
  for (int repeat = 0; repeat < kRepeats; ++repeat) {
    const double begun = ThreadMicroseconds();
    for (std::uint64_t round = 0; round < aRounds; ++round) {
      aWork();
    }
    best = std::min(best, (ThreadMicroseconds() - begun) / static_cast<double>(aRounds));
  }
  return best;
}

} // namespace damasklink::bench
