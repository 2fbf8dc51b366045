// Measures how a cost grows with a size, and fits a line through it.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace damasklink::bench {

// One measured point: at `size`, `cost` in the slope's unit.
struct SlopePoint
{
  double size = 0;
  double cost = 0;
};

// A line cost = fixed + slope * size by least squares.
struct SlopeFit
{
  double fixed = 0;
  double slope = 0;
  // Share of the variance that the line explains; 1 is a perfect line.
  double quality = 0;
};

// Returns the best line. Requires at least two points of different size.
SlopeFit
FitLine(const std::vector<SlopePoint>& aPoints);

// Prints the points and the line, as "slope name=… unit=… points=… fixed=… slope=… quality=…".
SlopeFit
PrintSlope(const std::string& aName,
           const std::string& aUnit,
           const std::vector<SlopePoint>& aPoints);

// Returns the bytes that the process holds on its heap now.
double
HeapBytes();

// Returns the processor time that this thread has used, in microseconds.
double
ThreadMicroseconds();

// Returns the processor microseconds that one call of aWork takes, as the least of five rounds of
// aRounds calls each: the least is what noise from other processes disturbs least.
double
MicrosecondsPerCall(std::uint64_t aRounds, const std::function<void()>& aWork);

} // namespace damasklink::bench
