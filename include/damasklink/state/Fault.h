// Faults found in a settings or tree file, all of them at once.
#pragma once

#include <string>
#include <vector>

namespace damasklink {

// One fault: where it stands, what is wrong and how to mend it.
struct Fault
{
  std::string file;
  int line = 0; // Counted from 1; 0 when the file as a whole is meant.
  std::string key;
  std::string problem;
  std::string remedy;

  bool operator==(const Fault&) const = default;
};

// Returns "file:line: key: problem; remedy".
std::string
FormatFault(const Fault& aFault);

// A parsed value together with all faults found. Use the value only when Ok().
template<typename T>
struct Parsed
{
  T value;
  std::vector<Fault> faults;

  bool Ok() const { return this->faults.empty(); }
};

} // namespace damasklink
