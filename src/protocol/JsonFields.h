// Reads and prints JSON for the codecs of src/protocol and of platform/; internal to them.
#pragma once

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "damasklink/state/Text.h"

namespace damasklink::internal {

using Json = nlohmann::json;

// Returns the JSON as one line; bytes that are not UTF-8 are replaced.
inline std::string
Dump(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

// Reads typed fields of one object and remembers the first that is wrong.
class FieldReader
{
public:
  explicit FieldReader(const Json& aObject)
    : object(aObject)
  {
  }

  std::string Text(const char* aName)
  {
    const Json* found = this->Find(aName);
    if (found == nullptr) {
      return "";
    }
    if (!found->is_string()) {
      this->AddProblem(aName, "is not a text");
      return "";
    }
    return found->get<std::string>();
  }

  std::uint64_t Count(const char* aName)
  {
    const Json* found = this->Find(aName);
    if (found == nullptr) {
      return 0;
    }
    if (!found->is_number_unsigned()) {
      this->AddProblem(aName, "is not a whole number of at least zero");
      return 0;
    }
    return found->get<std::uint64_t>();
  }

  double Number(const char* aName)
  {
    const Json* found = this->Find(aName);
    if (found == nullptr) {
      return 0;
    }
    if (!found->is_number() || found->get<double>() < 0) {
      this->AddProblem(aName, "is not a number of at least zero");
      return 0;
    }
    return found->get<double>();
  }

  bool Flag(const char* aName)
  {
    const Json* found = this->Find(aName);
    if (found == nullptr) {
      return false;
    }
    if (!found->is_boolean()) {
      this->AddProblem(aName, "is neither true nor false");
      return false;
    }
    return found->get<bool>();
  }

  // Returns the array under the name, or an empty one.
  const Json& Items(const char* aName)
  {
    static const Json kNone = Json::array();
    const Json* found = this->Find(aName);
    if (found == nullptr) {
      return kNone;
    }
    if (!found->is_array()) {
      this->AddProblem(aName, "is not a list");
      return kNone;
    }
    return *found;
  }

  // Returns the object under the name, or an empty one.
  const Json& Object(const char* aName)
  {
    static const Json kNone = Json::object();
    const Json* found = this->Find(aName);
    if (found == nullptr) {
      return kNone;
    }
    if (!found->is_object()) {
      this->AddProblem(aName, "is not an object");
      return kNone;
    }
    return *found;
  }

  void AddProblem(std::string_view aName, std::string_view aProblem)
  {
    if (this->problem.empty()) {
      this->problem = Concat("field '", aName, "' ", aProblem);
    }
  }

  const std::string& Problem() const { return this->problem; }

private:
  const Json* Find(const char* aName)
  {
    const auto found = this->object.find(aName);
    return found == this->object.end() || found->is_null() ? nullptr : &*found;
  }

  const Json& object;
  std::string problem;
};

} // namespace damasklink::internal
