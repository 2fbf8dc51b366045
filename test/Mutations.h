// Texts that are nearly right, for properties of what is read from outside.
#pragma once

#include <string>

#include <rapidcheck.h>

namespace damasklink::testing {

// Returns the text with a few bytes changed, cut out, doubled or put in at random.
inline std::string
Mutate(std::string aText)
{
  const int edits = *rc::gen::inRange(1, 6);
  for (int edit = 0; edit < edits && !aText.empty(); ++edit) {
    const std::size_t at = *rc::gen::inRange<std::size_t>(0, aText.size());
    const std::size_t count = *rc::gen::inRange<std::size_t>(1, 24);
    switch (*rc::gen::inRange(0, 5)) {
      case 0:
        aText[at] = *rc::gen::arbitrary<char>();
        break;
      case 1:
        aText.erase(at, count);
        break;
      case 2:
        aText.insert(at, aText.substr(at, count));
        break;
      case 3:
        aText.insert(at,
                     *rc::gen::element<std::string>("[", "{", "\"", ":", "\n- ", "-1", "1e999"));
        break;
      default:
        aText.resize(at);
        break;
    }
  }
  return aText;
}

// Calls aRead with many texts: arbitrary bytes and mutants of aValid. It must return, and assert
// what it must by itself.
template<typename Read>
void
ForNearlyValid(const std::string& aValid, const Read& aRead)
{
  constexpr int kMutants = 20;
  aRead(*rc::gen::arbitrary<std::string>());
  for (int index = 0; index < kMutants; ++index) {
    aRead(Mutate(aValid));
  }
}

} // namespace damasklink::testing
